#include "rhubarbarch/net/memory_account.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

TEST_GROUP(MemoryAccount)
{
  std::shared_ptr<MemoryAccount> account = std::make_shared<MemoryAccount>(8000);
};

// Guards against a process that holds more than its machine allows.
TEST(MemoryAccount, refusesWhatExceedsTheCeiling)
{
  MemoryCharge first(account);
  MemoryCharge second(account);
  CHECK(first.trySet(5000, 0));
  CHECK_FALSE(second.trySet(3001, 0));
  CHECK_EQUAL(0U, second.bytes());
  CHECK(second.trySet(3000, 0));
  CHECK_FALSE(first.trySet(5001, 0));
  CHECK_EQUAL(8000U, account->used());
}

// Guards against large requests that take the part kept for small ones.
TEST(MemoryAccount, keepsTheReserveForSmallRequests)
{
  MemoryCharge large(account);
  MemoryCharge small(account);
  CHECK_EQUAL(1000U, account->reserve());
  CHECK_FALSE(large.trySet(7001, account->reserve()));
  CHECK(large.trySet(7000, account->reserve()));
  CHECK(small.trySet(1000, 0));
}

// Guards against an account that fills up with bytes that nobody holds any more.
TEST(MemoryAccount, returnsWhatIsNoLongerHeld)
{
  {
    MemoryCharge charge(account);
    charge.set(9000);
    CHECK_EQUAL(9000U, account->used());
    CHECK(charge.trySet(4000, 0));
    CHECK_EQUAL(4000U, account->used());
  }
  CHECK_EQUAL(0U, account->used());
}

// Guards against an account without a bound that refuses by an overflow of its sums.
TEST(MemoryAccount, withoutACeilingRefusesNothing)
{
  const auto unbounded = std::make_shared<MemoryAccount>();
  MemoryCharge charge(unbounded);
  CHECK(charge.trySet(std::size_t{ 1 } << 40U, unbounded->reserve()));
}

TEST_GROUP(Evictions)
{
  static constexpr std::size_t kLarge = 10 * kSmallRequestBytes;
  std::vector<Receiving> requests{ { 0, 2 * kLarge, Duration{ 10 } },
                                   { 1, kSmallRequestBytes, kStallTime },
                                   { 2, kLarge, kStallTime },
                                   { 3, 3 * kLarge, Duration{ 0 } },
                                   { 4, kSmallRequestBytes, Duration{ 0 } } };

  std::vector<std::size_t> chosen(std::size_t aBytes, bool aForSmall) const
  {
    return chooseEvictions(requests, aBytes, aForSmall);
  }
};

// Guards against requests that make progress being given up for others of their kind, which would let none end.
TEST(Evictions, onlyStalledRequestsMakeRoomForLargeOnes)
{
  CHECK((chosen(100 * kLarge, false) == std::vector<std::size_t>{ 2, 1 }));
}

// Guards against small requests that find no memory because a few large ones hold it.
TEST(Evictions, largeRequestsMakeRoomForSmallOnes)
{
  CHECK((chosen(100 * kLarge, true) == std::vector<std::size_t>{ 2, 1, 3, 0 }));
}

// Guards against more requests given up than necessary.
TEST(Evictions, endOnceEnoughIsFree)
{
  CHECK((chosen(kLarge, true) == std::vector<std::size_t>{ 2 }));
  CHECK(chosen(0, true).empty());
}
