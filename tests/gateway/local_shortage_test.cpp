#include "fixture.h"

#include "../../src/gateway/local_shortage.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(GatewayLocalShortage)
{
  LocalShortage shortage;
  TimePoint now{ Duration{ 1'000'000 } };

  void contact(int aUpstream, bool aLocal, bool aTimedOut)
  {
    recordContact(shortage, { now, "u" + std::to_string(aUpstream), aLocal, aTimedOut });
  }
};

// Guards against blaming sound upstreams when this machine's link is full: connections to all of them time out at once.
TEST(GatewayLocalShortage, blamesTheLinkWhenMostConnectionsTimeOut)
{
  for (int upstream = 0; upstream < 12; ++upstream) {
    contact(upstream, upstream % 4 == 0, upstream % 3 != 0);
  }
  CHECK_TRUE(connectionsFail(shortage, now));
  now += Duration{ 1000 };
  CHECK_FALSE(connectionsFail(shortage, now));
}

// Guards against blaming the link for a partition between data centres, or for a few upstreams that crash together.
TEST(GatewayLocalShortage, blamesNoLinkForAPartitionOrACrash)
{
  for (int upstream = 0; upstream < 12; ++upstream) {
    contact(upstream, upstream % 4 == 0, upstream % 4 != 0);
  }
  CHECK_FALSE(connectionsFail(shortage, now));
  now += Duration{ 1000 };
  for (int upstream = 0; upstream < 3; ++upstream) {
    contact(upstream, true, true);
  }
  CHECK_FALSE(connectionsFail(shortage, now));
}

// Guards against a queue on the link that delays each request: long prompts in a burst on a 10 Mbit/s link.
TEST(GatewayLocalShortage, carriesWhatTheLinkBears)
{
  constexpr std::size_t kPrompt = 9000;
  shortage.linkRate = 1'250'000;
  shortage.updatedAt = now;
  std::size_t carried = 0;
  for (int request = 0; request < 1000; ++request) {
    now += Duration{ 2 };
    if (linkCarries(shortage, kPrompt, now)) {
      recordSent(shortage, kPrompt, now);
      ++carried;
    }
  }
  // Two seconds of 85 in 100 of the link, and the queue of 0.1 s.
  CHECK(carried > 225);
  CHECK(carried < 255);
  CHECK_TRUE(linkCarries(shortage, 100, now));
}

// Guards against refusing a single request whose body takes the link longer than the queue may.
TEST(GatewayLocalShortage, carriesOneLargeRequestWhileNothingWaits)
{
  shortage.linkRate = 1'250'000;
  shortage.updatedAt = now;
  CHECK_TRUE(linkCarries(shortage, std::size_t{ 4 } << 20U, now));
}

// Guards against a rate from the settings that the link does not reach, and against one that never recovers.
TEST(GatewayLocalShortage, lowersTheRateAndRecovers)
{
  shortage.linkRate = 1'000'000;
  shortage.updatedAt = now;
  lowerLinkShare(shortage, now);
  lowerLinkShare(shortage, now);
  DOUBLES_EQUAL(0.7, shortage.usableShare, 0.01);
  now += Duration{ 4000 };
  linkCarries(shortage, 1, now);
  DOUBLES_EQUAL(1.0, shortage.usableShare, 0.01);
}

// Guards against repeats from a gateway whose link is full: each time-out sent the prompt to another upstream, up to
// three times, which kept the link full.
TEST(GatewayLocalShortage, endsRequestsWithoutRepeatsWhileConnectionsTimeOut)
{
  Fixture fleet;
  for (int upstream = 3; upstream < 9; ++upstream) {
    const auto id = "d" + std::to_string(upstream);
    fleet.upstreams.push_back({ id, "desk", "10.1.0." + std::to_string(upstream + 4) + ":80", "a", "v1", 4, 0, false });
  }
  fleet.start();
  std::size_t calls = 0;
  for (int request = 0; request < 20; ++request) {
    fleet.call("/stock/1");
    for (auto sent = fleet.take<StartCall>(); !sent.empty(); sent = fleet.take<StartCall>()) {
      ++calls;
      fleet.handle(UpstreamError{ sent.front().exchange, false, true, "no progress", false });
    }
  }
  // The first requests are tried at three upstreams each, until four upstreams have timed out.
  CHECK(calls < 30);
  const auto answers = fleet.take<ReplyHead>();
  CHECK_EQUAL(20U, answers.size());
  CHECK_EQUAL(503, answers.back().httpStatus);
  CHECK(answers.back().retryAfter > Duration{ 0 });
}

// Guards against a gateway that calls itself ready while its link is full: the balancer goes on sending it callers,
// whose requests keep the link full although each is refused, and it hears nothing of the controllers for as long.
TEST(GatewayLocalShortage, isNotReadyWhileTheLinkIsFull)
{
  Fixture fleet;
  for (int upstream = 3; upstream < 9; ++upstream) {
    const auto id = "d" + std::to_string(upstream);
    fleet.upstreams.push_back({ id, "desk", "10.1.0." + std::to_string(upstream + 4) + ":80", "a", "v1", 4, 0, false });
  }
  fleet.start();
  CHECK_TRUE(fleet.role.ready());
  for (int request = 0; request < 4; ++request) {
    fleet.call("/stock/1");
    for (auto sent = fleet.take<StartCall>(); !sent.empty(); sent = fleet.take<StartCall>()) {
      fleet.handle(UpstreamError{ sent.front().exchange, false, true, "no progress", false });
    }
  }
  CHECK_FALSE(fleet.role.ready());
  for (int poll = 0; poll < 10; ++poll) {
    fleet.tick(GatewayOptions{}.pollPeriod);
    fleet.answer();
  }
  CHECK_TRUE(fleet.role.ready());
}
