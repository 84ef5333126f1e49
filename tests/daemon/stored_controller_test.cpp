// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "seed.h"
#include "stored_group.h"

#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::daemon;

namespace {

constexpr Duration kStartTime{ 10'000 };
/// Within which an operator's order has to be acknowledged while a majority runs (`AckMs` of the smallest deployment).
constexpr Duration kAckTime{ 4'000 };
/// Within which a controller that is back has caught up (`CatchUpS` of the smallest deployment).
constexpr Duration kCatchUpTime{ 4'000 };
constexpr int kDefaultCases = 8;

/// Number of cases; RHUBARBARCH_FULL_DISK_CASES sets another one for runs by hand.
int
cases()
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* text = std::getenv("RHUBARBARCH_FULL_DISK_CASES");
  return text == nullptr ? kDefaultCases : std::atoi(text); // NOLINT(cert-err34-c)
}

controller::PutRouting
version(std::int64_t aVersion)
{
  controller::PutRouting put;
  put.table.version = aVersion;
  put.source = "version " + std::to_string(aVersion);
  put.digest = put.source;
  return put;
}

/// Disks are full one after another, never two at once, under changes.
class FullDisksInTurn
{
public:
  FullDisksInTurn(std::size_t aSize, std::size_t aTolerated, std::uint64_t aSeed)
    : mRandom(aSeed)
    , mSeed(aSeed)
    , mGroup(aSize, aTolerated, aSeed)
  {
  }

  /// @return what went wrong; empty: nothing
  std::string play()
  {
    mGroup.run(kStartTime);
    if (mGroup.voters() != mGroup.nodes.size()) {
      return failed("the group is not complete at the start");
    }
    for (std::size_t turn = 0; turn < 2 * mGroup.nodes.size(); ++turn) {
      fill(draw(2) == 0 ? mGroup.leader() : &mGroup.nodes[turn % mGroup.nodes.size()]);
    }
    mGroup.run(kCatchUpTime);
    for (std::size_t i = 0; i < mGroup.nodes.size(); ++i) {
      const auto reply = mGroup.operate(version(++mVersion), kAckTime);
      if (!reply || reply->httpStatus != 200) {
        return failed("a change was not acknowledged after the last disk had room");
      }
      mNewest = mVersion;
    }
    const auto shown = mGroup.operate(controller::ShowRouting{}, kAckTime);
    if (!shown || shown->document != "version " + std::to_string(mNewest)) {
      return failed("the newest acknowledged version cannot be read back");
    }
    mGroup.run(kAckTime);
    const auto open = std::ranges::count_if(mGroup.asked, [](const auto& aEach) { return !aEach.answeredAt; });
    if (open > 0) {
      return failed(std::to_string(open) + " requests of operators were never answered");
    }
    const auto late =
      std::ranges::count_if(mGroup.asked, [](const auto& aEach) { return *aEach.answeredAt - aEach.at > kAckTime; });
    return late > 0 ? failed(std::to_string(late) + " requests of operators were answered late") : std::string();
  }

private:
  std::size_t draw(std::size_t aBound) { return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(mRandom); }

  /// Fills a disk for 0.5 to 6 s, while the operator changes the configuration; the next one may follow at once.
  void fill(StoredNode* aNode)
  {
    if (aNode == nullptr) {
      mGroup.run(Duration{ 200 });
      return;
    }
    aNode->full = true;
    const auto until = mGroup.now + Duration{ 500 + static_cast<Duration::rep>(draw(5'500)) };
    while (mGroup.now < until) {
      const auto reply = mGroup.operate(version(++mVersion), until - mGroup.now);
      mNewest = reply && reply->httpStatus == 200 ? mVersion : mNewest;
      mGroup.run(Duration{ 50 + static_cast<Duration::rep>(draw(400)) });
    }
    aNode->full = false;
    mGroup.run(Duration{ static_cast<Duration::rep>(draw(1'500)) });
  }

  std::string failed(const std::string& aWhat) const { return aWhat + ", seed " + std::to_string(mSeed); }

  std::mt19937_64 mRandom;
  std::uint64_t mSeed;
  StoredGroup mGroup;
  std::int64_t mVersion = 0;
  std::int64_t mNewest = 0;
};

} // namespace

TEST_GROUP(StoredController)
{
  StoredGroup group{ 3, 1, testSeed() };

  void setup() override
  {
    group.run(kStartTime);
    CHECK(group.leader() != nullptr);
    CHECK(group.operate(version(1), kAckTime).has_value());
  }

  StoredNode& follower()
  {
    const auto* leader = group.leader();
    return *std::ranges::find_if(group.nodes, [&](const auto& aNode) { return &aNode != leader; });
  }

  /// Lets a controller write something while its disk is full.
  void refuseWrite(StoredNode & aNode)
  {
    aNode.full = true;
    group.operate(version(2), kAckTime);
    CHECK_EQUAL(0.0, StoredGroup::metric(aNode, "rhubarbarch_controller_store_open"));
  }
};

// Guards against operators' requests that get no answer because the disk of the controller that took them is full: the
// controller began anew from its disk, which knows nothing of them.
TEST(StoredController, answersTheOperatorsOfAControllerWhoseDiskIsFull)
{
  auto& leader = *group.leader();
  leader.full = true;
  const auto open = group.ask(leader, version(2));
  group.run(kTickPeriod);
  CHECK(group.asked[open].answeredAt.has_value());
  CHECK_EQUAL(503, group.asked[open].reply.httpStatus);
  const auto later = group.ask(leader, controller::ShowRouting{});
  CHECK(group.asked[later].answeredAt.has_value());
  CHECK_EQUAL(503, group.asked[later].reply.httpStatus);
}

// Guards against a planned stop that never ends because its signal came while the disk was full.
TEST(StoredController, stopsWhileItsDiskIsFull)
{
  auto& node = follower();
  refuseWrite(node);
  group.handle(node, controller::Shutdown{});
  CHECK_EQUAL(1, group.stopped[node.name]);
}

// Guards against a planned stop that never ends because the disk refused a write after its signal.
TEST(StoredController, stopsWhenItsDiskRefusesAWriteDuringAStop)
{
  auto& leader = *group.leader();
  leader.full = true;
  group.handle(leader, controller::Shutdown{});
  group.ask(leader, version(2));
  group.run(kAckTime);
  CHECK_EQUAL(1, group.stopped[leader.name]);
}

// Guards against a controller that comes back with the seed controllers of its start, although its settings have
// changed since.
TEST(StoredController, keepsTheContactsThatItWasTold)
{
  auto& node = follower();
  group.handle(node, controller::Contacts{ { "c1", "c2", "c3", "c9" } });
  refuseWrite(node);
  node.full = false;
  group.run(kAckTime);
  CHECK_EQUAL(1.0, StoredGroup::metric(node, "rhubarbarch_controller_store_open"));
  // Without a leader it asks all its contacts for the group.
  for (auto& each : group.nodes) {
    each.full = &each != &node;
  }
  group.operate(version(3), kCatchUpTime);
  CHECK(group.addressed[node.name].contains("c9"));
}

// Guards against a group that takes no change, or answers no operator, long after disks were full one after another.
TEST(StoredController, takesChangesAfterDisksWereFullInTurn)
{
  for (int number = 0; number < cases(); ++number) {
    const auto seed = testSeed() + static_cast<std::uint64_t>(number);
    STRCMP_EQUAL("", FullDisksInTurn(3, 1, seed).play().c_str());
    STRCMP_EQUAL("", FullDisksInTurn(8, 2, seed).play().c_str());
  }
}
