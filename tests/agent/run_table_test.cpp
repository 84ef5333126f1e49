#include "agent_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::agent;

TEST_GROUP(RunTable){ void query(Driver & aDriver, const RequestId& aRequest, Boot aBoot = kBoot){
  aDriver.message(kRouter, RunQuery{ { aRequest, 1 }, aBoot });
}
void
finishRun(Driver& aDriver)
{
  const auto exchange = aDriver.exchange();
  aDriver.head(exchange);
  aDriver.data(exchange, kUsageTail);
  aDriver.event(UpstreamEnd{ exchange });
}
/// Acknowledges RunDone and the charge of a run.
void
settle(Driver& aDriver, const RequestId& aRequest)
{
  aDriver.message(kRouter, RunDoneAck{ { aRequest, 1 } });
  aDriver.message(kRouter, ChargeSettled{ { aRequest, 1 } });
}
}
;

// Guards against running a dispatch after reporting that it never ran: the request would be executed twice.
TEST(RunTable, refusesADispatchAfterNeverRan)
{
  Driver driver;
  driver.start();
  query(driver, "r1-1-1");
  CHECK(driver.last<RunStatus>().state == RunState::kNeverRan);
  driver.message(kRouter, dispatchOf("r1-1-1"));
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kTombstone);
  CHECK(driver.actions<UpstreamStart>().empty());
}

// Guards against running a late copy of a refused dispatch, since the refusal confirmed that it does not run.
TEST(RunTable, neverRunsARefusedDispatch)
{
  Driver driver;
  driver.start();
  auto dispatch = dispatchOf("r1-1-1");
  dispatch.version = "2";
  driver.message(kRouter, dispatch);
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kNotLoaded);
  driver.event(LoadReport{ 0, 0, 0, { { "m", "2" } } });
  driver.message(kRouter, dispatch);
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kTombstone);
  CHECK(driver.actions<UpstreamStart>().empty());
}

// Guards against a repeated dispatch starting a second run, during the first run and after its end.
TEST(RunTable, answersARepeatWithoutRunningItAgain)
{
  Driver driver;
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  driver.message(kRouter, dispatchOf("r1-1-1"));
  CHECK(driver.last<RunStatus>().state == RunState::kRunning);
  finishRun(driver);
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  driver.message(kRouter, dispatchOf("r1-1-1"));
  CHECK(driver.last<RunStatus>().state == RunState::kDone);
  CHECK_EQUAL(42, driver.last<RunStatus>().done.charge);
  CHECK(driver.sent<DispatchRefused>().empty());
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
}

// Guards against a restarted agent reporting an attempt as never run that an earlier boot may have run.
TEST(RunTable, reportsUnknownForAnotherBoot)
{
  Driver driver;
  driver.start();
  query(driver, "r1-1-1", Boot{ 6 });
  CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
  auto dispatch = dispatchOf("r1-1-2");
  dispatch.expectedBoot = Boot{ 6 };
  driver.message(kRouter, dispatch);
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kOtherBoot);
  dispatch.run = { "r1-1-3", 1 };
  dispatch.repeated = true;
  driver.message(kRouter, dispatch);
  CHECK(driver.last<RunStatus>().run.request == "r1-1-3");
  CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
  CHECK_EQUAL(1U, driver.sent<DispatchRefused>().size());
  CHECK(driver.actions<UpstreamStart>().empty());
}

// Guards against a late copy of an erased run running again, or being reported as never run.
TEST(RunTable, reportsUnknownForWhatItMayHaveErased)
{
  Driver driver;
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-10"));
  finishRun(driver);
  settle(driver, "r1-1-10");
  driver.tick(testOptions().finishedRetention);
  driver.clear();
  for (const auto* request : { "r1-1-10", "r1-1-9", "r1-1-10.2" }) {
    driver.message(kRouter, dispatchOf(request));
    CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
    query(driver, request);
    CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
  }
  CHECK(driver.sent<DispatchRefused>().empty());
  CHECK(driver.actions<UpstreamStart>().empty());
  driver.message(kRouter, dispatchOf("r1-1-11"));
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
}

// Guards against running a late dispatch whose tombstone was removed because there were too many.
TEST(RunTable, coversRemovedTombstonesByTheWatermark)
{
  auto options = testOptions();
  options.maxTombstones = 2;
  Driver driver{ options };
  driver.start();
  for (const auto* request : { "r1-1-1", "r1-1-2", "r1-1-3" }) {
    query(driver, request);
  }
  driver.tick(kTickPeriod);
  driver.message(kRouter, dispatchOf("r1-1-1"));
  CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
  driver.message(kRouter, dispatchOf("r1-1-2"));
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kTombstone);
  CHECK(driver.actions<UpstreamStart>().empty());
}

// Guards against a late dispatch running again after the watermark of its router boot was evicted.
TEST(RunTable, coversEvictedWatermarksByTheSession)
{
  auto options = testOptions();
  options.maxTombstones = 0;
  options.maxWatermarks = 1;
  Driver driver{ options };
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  for (const auto* request : { "r1-1-2", "r2-1-1" }) {
    query(driver, request);
    driver.tick(kTickPeriod);
  }
  driver.clear();
  driver.message(kRouter, dispatchOf("r1-1-2"));
  CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
  query(driver, "r1-1-2");
  CHECK(driver.last<RunStatus>().state == RunState::kUnknown);
  auto newer = dispatchOf("r3-1-1");
  newer.routerSession = SessionId{ 70 };
  driver.message(kOtherRouter, newer);
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
}

// Guards against a run being erased before its charge is settled.
TEST(RunTable, keepsARunUntilItsChargeIsSettled)
{
  Driver driver;
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  finishRun(driver);
  driver.message(kRouter, RunDoneAck{ { "r1-1-1", 1 } });
  driver.tick(testOptions().finishedRetention * 2);
  driver.tick(kTickPeriod);
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  const auto report = driver.last<SessionFenced>();
  CHECK_EQUAL(1U, report.grants.size());
  CHECK_EQUAL(42, report.grants[0].charges.at(0).tokens);
}
