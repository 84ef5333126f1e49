#include "agent_fixture.h"

#include "rhubarbarch/agent/usage.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::agent;

TEST_GROUP(Charge){
  /// Runs a request to its end and returns the RunDone sent to the router.
  RunDone runTo(const AgentOptions& aOptions, std::int32_t aStatus, const std::string& aText, bool aComplete){
    Driver driver{ aOptions };
driver.start();
auto dispatch = dispatchOf("r1-1-1");
dispatch.model = aOptions.upstream.service.empty() ? "m" : "";
driver.message(kRouter, dispatch);
const auto exchange = driver.exchange();
if (aStatus != 0) {
  driver.head(exchange, aStatus, aStatus == 200 ? "text/event-stream" : "application/json");
}
driver.data(exchange, aText);
if (aComplete) {
  driver.event(UpstreamEnd{ exchange });
} else {
  driver.event(UpstreamError{ exchange, ExchangeFailure::kBroken, "reset" });
}
return driver.last<RunDone>(kRouter);
}
Usage
scan(const std::string& aType, const std::string& aText)
{
  // The result must not depend on how the answer is split into pieces.
  UsageScanner atOnce;
  atOnce.begin(aType);
  atOnce.feed(aText);
  UsageScanner bytewise;
  bytewise.begin(aType);
  for (const char byte : aText) {
    bytewise.feed(std::string(1, byte));
  }
  CHECK(atOnce.usage() == bytewise.usage());
  return atOnce.usage().value_or(Usage{ -1, -1 });
}
}
;

// Guards against charging less than a run may have used when its usage is unknown.
TEST(Charge, chargesTheReservationWhenUsageIsMissing)
{
  const auto options = testOptions();
  CHECK_EQUAL(500, runTo(options, 200, "data: {}\n\ndata: [DONE]\n\n", true).charge);
  CHECK_EQUAL(500, runTo(options, 200, "data: {}\n\n", false).charge);
  const auto unanswered = runTo(options, 0, "", false);
  CHECK_EQUAL(500, unanswered.charge);
  CHECK(unanswered.ran == Ran::kUnknown);
  CHECK(unanswered.outcome == RunOutcome::kFailed);
}

// Guards against usage that raises a charge above the reservation, and against charging a failed request without usage.
TEST(Charge, staysWithinTheReservation)
{
  const auto options = testOptions();
  const std::string tail = "data: {\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":400}}\n\ndata: [DONE]\n\n";
  CHECK_EQUAL(500, runTo(options, 200, tail, true).charge);
  CHECK_EQUAL(42, runTo(options, 200, kUsageTail, false).charge);
  CHECK_EQUAL(0, runTo(options, 500, "{\"error\":\"no\"}", true).charge);
  CHECK_EQUAL(0, runTo(options, 503, "{\"err", false).charge);
  const auto billed = runTo(options, 500, R"({"usage":{"prompt_tokens":3,"completion_tokens":4}})", true);
  CHECK_EQUAL(7, billed.charge);
  CHECK(billed.outcome == RunOutcome::kFailed);
}

// Guards against a request to a plain service being free, or being charged although the service failed.
TEST(Charge, chargesServicesFlat)
{
  auto options = testOptions();
  options.upstream.service = "orders";
  CHECK_EQUAL(500, runTo(options, 201, "{}", true).charge);
  CHECK_EQUAL(500, runTo(options, 409, "{}", true).charge);
  CHECK_EQUAL(0, runTo(options, 500, "{}", true).charge);
  const auto broken = runTo(options, 0, "", false);
  CHECK_EQUAL(500, broken.charge);
  CHECK(broken.ran == Ran::kUnknown);
}

// Guards against a request that never reached the upstream being charged, or being run by a late copy.
TEST(Charge, refusesARequestThatWasNotSent)
{
  Driver driver;
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  driver.event(UpstreamError{ driver.exchange(), ExchangeFailure::kNotSent, "refused" });
  CHECK(driver.last<DispatchRefused>(kRouter).reason == RefusalReason::kUpstreamDown);
  CHECK(driver.sent<RunDone>().empty());
  driver.message(kRouter, dispatchOf("r1-1-1"));
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  CHECK(driver.last<SessionFenced>().grants.empty());
}

// Guards against usage being taken from the text of an answer or from an event that is not the last one.
TEST(Charge, findsOnlyTheFinalUsage)
{
  const Usage none{ -1, -1 };
  const Usage some{ 30, 12 };
  const std::string events = "text/event-stream; charset=utf-8";
  const std::string usage = R"("usage":{"prompt_tokens":30,"completion_tokens":12})";
  CHECK(scan(events, "data: {}\r\n\r\ndata: {" + usage + "}\r\n\r\ndata: [DONE]\r\n\r\n") == some);
  CHECK(scan(events, "data: {" + usage + "}\n\n") == none);
  CHECK(scan(events, "data: {" + usage + "}\n\ndata: {}\n\ndata: [DONE]\n") == none);
  CHECK(scan(events, "data: {\"text\":{" + usage + "}}\n\ndata: [DONE]\n") == none);
  CHECK(scan(events, "data: " + std::string(100000, 'x') + "\n\ndata: [DONE]\n") == none);
  CHECK(scan("application/json", R"({"a":[{"usage":1}],)" + usage + R"(,"b":"}"})") == some);
  CHECK(scan("application/json", R"({"text":"{\"usage\":{}}","n":{)" + usage + "}}") == none);
  CHECK(scan("application/json", R"({"text":"\\",)" + usage + "}") == some);
  CHECK(scan("application/json", R"({"text":"a\"b",)" + usage + "}") == some);
  CHECK(scan("application/json", "{" + usage) == none);
  CHECK(scan("application/json", R"({"usage":{"prompt_tokens":-5,"completion_tokens":1e99}})") == none);
}

// Guards against losing a charge when its router is unresponsive.
TEST(Charge, deliversChargesOfLostRouters)
{
  Driver driver;
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  driver.head(driver.exchange());
  driver.data(driver.exchange(), kUsageTail);
  driver.event(UpstreamEnd{ driver.exchange() });
  driver.tick(testOptions().chargeResendPeriod);
  CHECK(driver.sent<ChargeBatch>().empty());
  driver.tick(testOptions().routerTimeout);
  driver.tick(testOptions().chargeResendPeriod);
  const auto batches = driver.sent<ChargeBatch>(kController);
  CHECK_EQUAL(2U, batches.size());
  CHECK(batches[0].grant == kGrant);
  CHECK(batches[0].charges == std::vector<Charge>({ { "r1-1-1", 42 } }));
  driver.message(kOtherRouter, ChargeAck{ batches[0].number, kGrant });
  driver.tick(testOptions().chargeResendPeriod);
  CHECK_EQUAL(3U, driver.sent<ChargeBatch>().size());
  driver.message(kController, ChargeAck{ batches[0].number, kGrant });
  driver.tick(testOptions().chargeResendPeriod);
  CHECK_EQUAL(3U, driver.sent<ChargeBatch>().size());
}
