#include "control_api.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;

namespace {

std::variant<controller::Operation, net::OperatorAnswer>
decode(const std::string& aMethod, const std::string& aPath, const std::string& aBody = "")
{
  router::CallerRequest request;
  request.method = aMethod;
  request.path = aPath;
  request.target = aPath;
  request.body = aBody;
  return decodeOperation(request);
}

std::int32_t
refusal(const std::variant<controller::Operation, net::OperatorAnswer>& aDecoded)
{
  const auto* answer = std::get_if<net::OperatorAnswer>(&aDecoded);
  return answer == nullptr ? 0 : answer->status;
}

} // namespace

TEST_GROUP(EvacuationOrders){};

// Guards against an evacuation that is taken for its withdrawal, or for that of another data centre.
TEST(EvacuationOrders, decodesEvacuations)
{
  const auto evacuation = std::get<controller::Evacuate>(std::get<0>(decode("POST", "/-/evacuations/lakes-a")));
  STRCMP_EQUAL("lakes-a", evacuation.dataCentre.c_str());
  CHECK(evacuation.evacuated);
  CHECK_FALSE(std::get<controller::Evacuate>(std::get<0>(decode("DELETE", "/-/evacuations/lakes-a"))).evacuated);
}

// Guards against orders that cannot be read in full being taken.
TEST(EvacuationOrders, refusesEvacuationsThatCannotBeRead)
{
  CHECK_EQUAL(400, refusal(decode("POST", "/-/evacuations/")));
  CHECK_EQUAL(400, refusal(decode("POST", "/-/evacuations/a/b")));
  CHECK_EQUAL(400, refusal(decode("POST", "/-/evacuations/a", "{}")));
  CHECK_EQUAL(405, refusal(decode("GET", "/-/evacuations/a")));
  CHECK_EQUAL(404, refusal(decode("POST", "/-/elsewhere")));
}

TEST_GROUP(RolloutCalls){ static net::OperatorAnswer answer(std::int32_t aStatus,
                                                            nlohmann::json aBody,
                                                            const std::string& aTarget){ std::string location;
return encodeAnswer({ controller::OperatorId{ 1 }, aStatus, std::move(aBody), {} }, aTarget, 80, location);
}
}
;

// Guards against an order for another service, version or time than the operator asked for.
TEST(RolloutCalls, decodesOrders)
{
  const auto order = std::get<controller::OrderRollout>(
    std::get<0>(decode("POST", "/-/rollouts", R"({"Service":"chat","Target":"v2","DurationS":60.0})")));
  STRCMP_EQUAL("chat", order.service.c_str());
  STRCMP_EQUAL("v2", order.target.c_str());
  CHECK_EQUAL(60, order.durationS);
  const auto show = std::get<controller::ShowRollout>(std::get<0>(decode("GET", "/-/rollouts/chat")));
  STRCMP_EQUAL("chat", show.service.c_str());
}

// Guards against orders that cannot be read in full being taken, and against refusals that do not name the field.
TEST(RolloutCalls, refusesOrdersThatCannotBeRead)
{
  CHECK_EQUAL(400, refusal(decode("POST", "/-/rollouts", "{")));
  CHECK_EQUAL(400, refusal(decode("POST", "/-/rollouts", "[]")));
  const auto noTarget = decode("POST", "/-/rollouts", R"({"Service":"chat","DurationS":60})");
  CHECK(std::get<net::OperatorAnswer>(noTarget).body.find("Target:") != std::string::npos);
  CHECK_EQUAL(400, refusal(decode("POST", "/-/rollouts", R"({"Service":"chat","Target":"v2","DurationS":0.5})")));
  CHECK_EQUAL(400, refusal(decode("POST", "/-/rollouts", R"({"Service":"chat","Target":"v2","DurationS":1e300})")));
  CHECK_EQUAL(400, refusal(decode("GET", "/-/rollouts/")));
  CHECK_EQUAL(400, refusal(decode("GET", "/-/rollouts/a/b")));
  CHECK_EQUAL(405, refusal(decode("GET", "/-/rollouts")));
  CHECK_EQUAL(405, refusal(decode("DELETE", "/-/rollouts/chat")));
  CHECK_EQUAL(404, refusal(decode("POST", "/-/rolloutsx")));
}

// Guards against operators being told of a missing rollout as if the controller were unavailable.
TEST(RolloutCalls, encodesStates)
{
  const auto shown = answer(200, { { "state", "running" }, { "target", "v2" } }, "/-/rollouts/chat");
  STRCMP_EQUAL(R"({"State":"running","Target":"v2"})", shown.body.c_str());
  CHECK_EQUAL(404, answer(404, { { "error", "not_found" }, { "detail", "none" } }, "/-/rollouts/chat").status);
  CHECK_EQUAL(503, answer(404, { { "error", "not_found" }, { "detail", "none" } }, "/-/config").status);
  const auto refused =
    answer(400, { { "error", "invalid" }, { "detail", "duration: must be above 0" } }, "/-/rollouts");
  STRCMP_EQUAL(R"({"Error":"DurationS: must be above 0"})", refused.body.c_str());
  CHECK_EQUAL(503, answer(503, { { "error", "not_leader" }, { "leader", "" } }, "/-/rollouts").status);
}
