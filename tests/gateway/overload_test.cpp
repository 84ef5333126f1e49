#include "fixture.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(GatewayOverload)
{
  Fixture fleet;

  void setup() override
  {
    fleet.start();
  }

  void delay(int aMilliseconds)
  {
    fleet.handle(LoopDelay{ Duration{ aMilliseconds } });
  }
};

// Guards against a gateway that takes in requests although its event loop is so late that their callers leave before
// an upstream gets them.
TEST(GatewayOverload, refusesRequestsWhileTheLoopStaysLate)
{
  delay(250);
  delay(300);
  fleet.call("/stock/1");
  CHECK_EQUAL(0U, fleet.take<StartCall>().size());
  const auto head = fleet.takeOne<ReplyHead>();
  CHECK_EQUAL(503, head.httpStatus);
  CHECK(head.retryAfter > Duration{ 0 });
  delay(10);
  fleet.call("/stock/2");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against callers sent away after a single pause, such as a machine that was suspended and runs again.
TEST(GatewayOverload, servesAfterASinglePause)
{
  delay(0);
  delay(7000);
  fleet.call("/stock/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against overload that no log line tells, and against a line for each tick of it.
TEST(GatewayOverload, logsALateLoopOnceASecond)
{
  fleet.takeAll();
  for (int tick = 0; tick < 30; ++tick) {
    delay(tick == 5 ? 180 : 120);
    fleet.tick(Duration{ 50 });
  }
  std::vector<Log> late;
  std::ranges::copy_if(
    fleet.take<Log>(), std::back_inserter(late), [](const Log& aLog) { return aLog.line.event == "loop_delayed"; });
  CHECK_EQUAL(2U, late.size());
  CHECK_EQUAL(180, late.back().line.fields.at("longest_ms").get<int>());
}

// Guards against a metastable overload: a machine that gets twice the work that it can do, from callers that leave
// after a second and come back once, serves almost nobody in time and does not recover.
TEST(GatewayOverload, staysUsefulAtTwiceItsCapacity)
{
  constexpr Duration kCostOfCall{ 20 };
  constexpr Duration kCostOfRefusal{ 2 };
  constexpr Duration kArrivals{ 10 };
  constexpr Duration kPatience{ 1000 };
  constexpr Duration kDay{ 20'000 };
  std::deque<TimePoint> unread;
  const auto begin = fleet.now;
  auto nextArrival = begin;
  auto nextTick = begin;
  std::size_t calls = 0;
  std::size_t inTime = 0;
  while (fleet.now - begin < kDay) {
    for (; nextArrival <= fleet.now; nextArrival += kArrivals) {
      unread.push_back(nextArrival);
    }
    if (fleet.now >= nextTick) {
      fleet.handle(LoopDelay{ fleet.now - nextTick });
      fleet.handle(Tick{});
      nextTick = fleet.now + kTickPeriod;
    }
    // One turn of the loop reads what has arrived.
    for (auto batch = unread.size(); batch > 0; --batch) {
      const auto sentAt = unread.front();
      unread.pop_front();
      fleet.call("/stock/1");
      const auto started = fleet.take<StartCall>();
      fleet.takeAll();
      fleet.now += started.empty() ? kCostOfRefusal : kCostOfCall;
      calls += started.size();
      inTime += !started.empty() && fleet.now - sentAt < kPatience ? 1 : 0;
      for (const auto& call : started) {
        fleet.head(call.exchange, 200);
        fleet.handle(UpstreamEnd{ call.exchange });
      }
    }
    fleet.now += Duration{ 1 };
  }
  CHECK(calls > 300);
  CHECK_EQUAL(calls, inTime);
}
