#include "rhubarbarch/net/inbox.h"

#include <numeric>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch::net;

TEST_GROUP(Inbox){};

namespace {

std::vector<int>
take(Inbox<int>& aInbox)
{
  std::vector<int> taken;
  aInbox.drain([&](int aEvent) { taken.push_back(aEvent); });
  return taken;
}

std::vector<int>
numbers(int aCount)
{
  std::vector<int> all(static_cast<std::size_t>(aCount));
  std::iota(all.begin(), all.end(), 0);
  return all;
}

} // namespace

// Guards against a full ring losing or reordering events.
TEST(Inbox, keepsOrderWhenRingIsFull)
{
  Inbox<int> inbox(1, 4, 100, [] {});
  for (int event = 0; event < 20; ++event) {
    inbox.push(0, event);
  }
  CHECK(inbox.congested(0));
  CHECK_EQUAL(20U, inbox.depth());
  CHECK(take(inbox) == numbers(20));
  CHECK_FALSE(inbox.congested(0));
}

// Guards against memory growing without bound by events that their senders repeat.
TEST(Inbox, refusesRepeatableEventsOverLimit)
{
  Inbox<int> inbox(1, 2, 3, [] {});
  int accepted = 0;
  while (accepted < 100 && inbox.pushUnlessFull(0, accepted)) {
    ++accepted;
  }
  CHECK_EQUAL(5, accepted);
  CHECK_EQUAL(1U, inbox.refused());
}

// Guards against a thousand large messages in a ring that counts messages only.
TEST(Inbox, isCongestedByBytes)
{
  Inbox<int> inbox(1, 16, 100, [] {}, 100);
  CHECK(inbox.pushUnlessFull(0, 1, 60));
  CHECK_FALSE(inbox.congested(0));
  CHECK(inbox.pushUnlessFull(0, 2, 60));
  CHECK(inbox.congested(0));
  CHECK_FALSE(inbox.pushUnlessFull(0, 3, 100));
  CHECK_EQUAL(120U, inbox.bytes());
  CHECK_EQUAL(2U, take(inbox).size());
  CHECK_EQUAL(0U, inbox.bytes());
  CHECK_FALSE(inbox.congested(0));
}

// Guards against a message over the limit that never gets through.
TEST(Inbox, takesOneEventOfAnySize)
{
  Inbox<int> inbox(1, 16, 100, [] {}, 100);
  CHECK(inbox.pushUnlessFull(0, 1, 1000));
  CHECK_FALSE(inbox.pushUnlessFull(0, 2, 1));
  CHECK_EQUAL(1U, take(inbox).size());
  CHECK(inbox.pushUnlessFull(0, 2, 1));
}

// Guards against a deadlock when the reader's own lane overflows while it is being emptied.
TEST(Inbox, readerMayPushToItself)
{
  Inbox<int> inbox(1, 2, 100, [] {});
  for (int event = 0; event < 6; ++event) {
    inbox.push(0, event);
  }
  std::vector<int> taken;
  for (int round = 0; round < 4; ++round) {
    inbox.drain([&](int aEvent) {
      taken.push_back(aEvent);
      if (aEvent < 6) {
        inbox.push(0, aEvent + 6);
      }
    });
  }
  CHECK(taken == numbers(12));
}

// Guards against a wake that is lost between two threads, and against events lost at the edge of the overflow.
TEST(Inbox, passesEverythingBetweenThreads)
{
  constexpr int kCount = 200000;
  std::atomic<int> wakes{ 0 };
  Inbox<int> inbox(1, 16, kCount, [&] {
    ++wakes;
    wakes.notify_one();
  });
  std::thread producer([&] {
    for (int event = 0; event < kCount; ++event) {
      inbox.push(0, event);
    }
  });
  std::vector<int> taken;
  int seenWakes = 0;
  while (taken.size() < kCount) {
    wakes.wait(seenWakes);
    seenWakes = wakes;
    inbox.drain([&](int aEvent) { taken.push_back(aEvent); });
  }
  producer.join();
  CHECK(taken == numbers(kCount));
}
