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

// Guards against accepting requests while the event loop is so late that callers disconnect before an upstream
// receives their requests.
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

// Guards against refusing requests after a single pause, such as a suspended and resumed machine.
TEST(GatewayOverload, servesAfterASinglePause)
{
  delay(0);
  delay(7000);
  fleet.call("/stock/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against overload that is not logged, and against one log line per tick of it.
TEST(GatewayOverload, logsALateLoopOnceASecond)
{
  fleet.clearActions();
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

// Guards against metastable overload: with requests at twice the capacity, from callers that disconnect after a second
// and retry once, the gateway would serve almost none in time and would not recover.
TEST(GatewayOverload, staysUsefulAtTwiceItsCapacity)
{
  constexpr Duration kCostOfCall{ 20 };
  constexpr Duration kCostOfRefusal{ 2 };
  constexpr Duration kArrivalInterval{ 10 };
  constexpr Duration kCallerTimeout{ 1000 };
  constexpr Duration kTestDuration{ 20'000 };
  std::deque<TimePoint> unread;
  const auto begin = fleet.now;
  auto nextArrival = begin;
  auto nextTick = begin;
  std::size_t calls = 0;
  std::size_t inTime = 0;
  while (fleet.now - begin < kTestDuration) {
    for (; nextArrival <= fleet.now; nextArrival += kArrivalInterval) {
      unread.push_back(nextArrival);
    }
    if (fleet.now >= nextTick) {
      fleet.handle(LoopDelay{ fleet.now - nextTick });
      fleet.handle(Tick{});
      nextTick = fleet.now + kTickPeriod;
    }
    // One iteration of the event loop reads all requests that have arrived.
    for (auto batch = unread.size(); batch > 0; --batch) {
      const auto sentAt = unread.front();
      unread.pop_front();
      fleet.call("/stock/1");
      const auto started = fleet.take<StartCall>();
      fleet.clearActions();
      fleet.now += started.empty() ? kCostOfRefusal : kCostOfCall;
      calls += started.size();
      inTime += !started.empty() && fleet.now - sentAt < kCallerTimeout ? 1 : 0;
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
