#include "agent_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::agent;

TEST_GROUP(Admission)
{
  Driver driver;

  bool refused(RefusalReason aReason)
  {
    const auto refusals = driver.sent<DispatchRefused>(kRouter);
    return !refusals.empty() && refusals.back().reason == aReason;
  }
};

// A dispatch must run once, return its complete answer and charge the reported usage.
TEST(Admission, runsADispatchAndChargesItsUsage)
{
  driver.start();
  CHECK(driver.role().ready());
  driver.message(kRouter, dispatchOf("r1-1-1"));
  const auto starts = driver.actions<UpstreamStart>();
  CHECK_EQUAL(1U, starts.size());
  CHECK_EQUAL(std::string("m"), starts[0].model);
  driver.head(starts[0].exchange);
  driver.data(starts[0].exchange, "data: {\"x\":1}\n\n" + kUsageTail);
  driver.event(UpstreamEnd{ starts[0].exchange });
  CHECK_EQUAL("data: {\"x\":1}\n\n" + kUsageTail, driver.answer(kRouter));
  CHECK_EQUAL(200, driver.last<RunHead>().httpStatus);
  const auto done = driver.last<RunDone>(kRouter);
  CHECK(done.outcome == RunOutcome::kCompleted);
  CHECK_EQUAL(42, done.charge);
  CHECK_EQUAL(("data: {\"x\":1}\n\n" + kUsageTail).size(), done.totalBytes);
}

// Guards against a leaving agent that accepts new dispatches, and against a shutdown that interrupts runs or ends
// before RunDone and charges are delivered.
TEST(Admission, finishesRunsBeforeItStops)
{
  driver.start();
  driver.event(PeerUp{ kOtherRouter });
  driver.message(kRouter, dispatchOf("r1-1-1"));
  driver.clear();
  driver.event(Shutdown{});
  CHECK(driver.last<AgentStatus>(kRouter).leaving);
  CHECK(driver.last<AgentStatus>(kOtherRouter).leaving);
  CHECK(driver.last<ConfigPoll>().load.leaving);
  CHECK_FALSE(driver.role().ready());
  driver.message(kRouter, dispatchOf("r1-1-2"));
  CHECK(refused(RefusalReason::kLeaving));
  driver.head(ExchangeId{ 1 });
  driver.data(ExchangeId{ 1 }, kUsageTail);
  driver.event(UpstreamEnd{ ExchangeId{ 1 } });
  driver.message(kRouter, RunDoneAck{ { "r1-1-1", 1 } });
  driver.tick(testOptions().pollPeriod);
  CHECK_FALSE(driver.last<ConfigPoll>().load.drained);
  CHECK(driver.actions<Stopped>().empty());
  driver.message(kRouter, ChargeSettled{ { "r1-1-1", 1 } });
  driver.tick(testOptions().pollPeriod);
  CHECK(driver.last<ConfigPoll>().load.drained);
  CHECK(driver.actions<Stopped>().empty());
  ConfigState state;
  state.number = driver.last<ConfigPoll>().number;
  driver.message(kController, state);
  driver.tick(kTickPeriod);
  driver.tick(kTickPeriod);
  CHECK_EQUAL(1U, driver.actions<Stopped>().size());
}

// Guards against admitted requests exceeding the memory of the engine, whose load report lags.
TEST(Admission, limitsReservedMemory)
{
  auto options = testOptions();
  options.kvHeadroomPerMille = 100;
  Driver engine{ options };
  engine.start();
  engine.message(kRouter, dispatchOf("r1-1-1", 8000));
  engine.message(kRouter, dispatchOf("r1-1-2", 1001));
  CHECK(engine.last<DispatchRefused>().reason == RefusalReason::kMemory);
  engine.message(kRouter, dispatchOf("r1-1-3", 1000));
  CHECK_EQUAL(1U, engine.sent<DispatchRefused>().size());
  for (std::uint64_t exchange = 1; exchange <= 2; ++exchange) {
    engine.head(ExchangeId{ exchange });
    engine.event(UpstreamEnd{ ExchangeId{ exchange } });
  }
  // The report still includes the finished runs; their memory must not count in addition to the reservations.
  engine.report(900000);
  engine.message(kRouter, dispatchOf("r1-1-4", 9000));
  CHECK_EQUAL(1U, engine.sent<DispatchRefused>().size());
  engine.event(UpstreamError{ engine.exchange(), ExchangeFailure::kBroken, "" });
  for (int i = 0; i < 3; ++i) {
    engine.tick(options.loadReportLag);
  }
  engine.message(kRouter, dispatchOf("r1-1-5", 100));
  CHECK(engine.last<DispatchRefused>().reason == RefusalReason::kMemory);
  engine.message(kRouter, dispatchOf("r1-1-6", std::numeric_limits<Tokens>::max()));
  CHECK_EQUAL(3U, engine.sent<DispatchRefused>().size());
}

// Guards against an unbounded queue, and against a queued request that stays unanswered after its deadline.
TEST(Admission, boundsTheQueueAndRefusesAtTheDeadline)
{
  driver.start();
  for (int i = 1; i <= 6; ++i) {
    auto dispatch = dispatchOf("r1-1-" + std::to_string(i));
    dispatch.timeoutMs = i == 4 ? 100 : 60000;
    driver.message(kRouter, dispatch);
  }
  CHECK(driver.sent<DispatchRefused>().empty());
  driver.message(kRouter, dispatchOf("r1-1-7"));
  CHECK(refused(RefusalReason::kQueueFull));
  CHECK(driver.last<DispatchRefused>().retryAfterMs > 0);
  driver.tick(Duration{ 100 });
  CHECK(driver.last<DispatchRefused>().run.request == "r1-1-4");
  CHECK_EQUAL(2U, driver.actions<UpstreamStart>().size());
  driver.message(kRouter, RunQuery{ { "r1-1-4", 1 }, kBoot });
  CHECK(driver.last<RunStatus>().state == RunState::kNeverRan);
}

// Guards against chat waiting behind reviews, and against reviews starving under steady chat.
TEST(Admission, servesChatFirstAndReviewsInTime)
{
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  driver.message(kRouter, dispatchOf("r1-1-2"));
  auto review = dispatchOf("r1-1-3");
  review.priority = Priority::kReview;
  driver.message(kRouter, review);
  driver.message(kRouter, dispatchOf("r1-1-4"));
  driver.event(UpstreamEnd{ ExchangeId{ 1 } });
  CHECK_EQUAL(std::string("r1-1-4"), driver.actions<UpstreamStart>().back().requestId);
  driver.tick(testOptions().reviewPenalty + kTickPeriod);
  driver.message(kRouter, dispatchOf("r1-1-5"));
  driver.event(UpstreamEnd{ ExchangeId{ 2 } });
  CHECK_EQUAL(std::string("r1-1-3"), driver.actions<UpstreamStart>().back().requestId);
}

// Guards against the cancellation of a request that is not idempotent, or by a router that is not its receiver.
TEST(Admission, cancelsOnlyIdempotentRunsForTheirReceiver)
{
  driver.start();
  auto order = dispatchOf("r1-1-1");
  order.idempotent = false;
  driver.message(kRouter, order);
  driver.message(kRouter, dispatchOf("r1-1-2"));
  driver.message(kRouter, CancelRun{ { "r1-1-1", 1 } });
  driver.message(kOtherRouter, CancelRun{ { "r1-1-2", 1 } });
  CHECK(driver.actions<UpstreamCancel>().empty());
  driver.message(kRouter, CancelRun{ { "r1-1-2", 1 } });
  CHECK_EQUAL(1U, driver.actions<UpstreamCancel>().size());
  CHECK(driver.last<RunDone>().outcome == RunOutcome::kCancelled);
  CHECK_EQUAL(500, driver.last<RunDone>().charge);
}

// Guards against a hanging run that occupies its slot and memory forever, and against its tokens not being charged.
TEST(Admission, endsRunsAtTheirDeadline)
{
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  driver.tick(Duration{ 60000 });
  CHECK_EQUAL(1U, driver.actions<UpstreamCancel>().size());
  const auto done = driver.last<RunDone>(kRouter);
  CHECK(done.outcome == RunOutcome::kTimedOut);
  CHECK(done.ran == Ran::kUnknown);
  CHECK_EQUAL(500, done.charge);
  CHECK_EQUAL(0, driver.last<AgentStatus>().reservedKvBytes);
}
