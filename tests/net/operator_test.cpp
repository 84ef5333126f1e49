#include "net_support.h"
#include "rhubarbarch/net/log_writer.h"
#include "rhubarbarch/net/operator_api.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

namespace {

router::CallerRequest
request(const std::string& aMethod, const std::string& aPath, const std::string& aBody = {})
{
  router::CallerRequest request;
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  return request;
}

std::int32_t
refusalOf(const router::CallerRequest& aRequest)
{
  const auto parsed = parseOperation(aRequest);
  const auto* answer = std::get_if<OperatorAnswer>(&parsed);
  return answer == nullptr ? 0 : answer->status;
}

template<typename Operation>
Operation
operationOf(const router::CallerRequest& aRequest)
{
  return std::get<Operation>(std::get<controller::Operation>(parseOperation(aRequest)));
}

} // namespace

TEST_GROUP(OperatorServer)
{
  LoopThread loop;
  Watched<std::vector<controller::OperatorRequest>> requests;
  std::unique_ptr<OperatorServer> server;
  bool hasController = true;

  void start(const std::string& aToken)
  {
    OperatorEvents events;
    events.request = [this](controller::OperatorRequest&& aRequest) {
      requests.change([&](auto& aRequests) { aRequests.push_back(std::move(aRequest)); });
      return hasController;
    };
    events.log = [](LogLine&&) {};
    events.ready = [] { return false; };
    events.metrics = [] { return Metrics{ { "rhubarbarch_up", "", 1 } }; };
    HttpServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    loop.run([&] {
      server = std::make_unique<OperatorServer>(loop.context, options, aToken, events);
      CHECK(server->listen().has_value());
    });
  }

  void teardown() override
  {
    loop.run([&] { server.reset(); });
    loop.stop();
  }

  std::string ask(const std::string& aTarget, const std::string& aToken)
  {
    RawSocket caller(server->port());
    caller.send("GET " + aTarget + " HTTP/1.1\r\nAuthorization: Bearer " + aToken + "\r\nConnection: close\r\n\r\n");
    return caller.readAll();
  }
};

// Guards against an instance without a token being open to everyone.
TEST(OperatorServer, isClosedWithoutToken)
{
  start("");
  CHECK(ask("/v1/lists", "").starts_with("HTTP/1.1 403 "));
  CHECK(ask("/v1/lists", "anything").starts_with("HTTP/1.1 403 "));
  CHECK(ask("/healthz", "").starts_with("HTTP/1.1 200 "));
  CHECK(ask("/readyz", "").starts_with("HTTP/1.1 503 "));
  CHECK(ask("/metrics", "").ends_with("\r\n\r\n# TYPE rhubarbarch_up gauge\nrhubarbarch_up 1\n"));
  CHECK(requests.copy().empty());
}

// Guards against a wrong token being accepted.
TEST(OperatorServer, refusesWrongToken)
{
  start("secret");
  CHECK(ask("/v1/lists", "").starts_with("HTTP/1.1 401 "));
  CHECK(ask("/v1/lists", "secre").starts_with("HTTP/1.1 401 "));
  CHECK(ask("/v1/lists", "secretx").starts_with("HTTP/1.1 401 "));
  CHECK(requests.copy().empty());
}

// Guards against the answer of the controller being lost, or given to another operator.
TEST(OperatorServer, passesAnswerOfController)
{
  start("secret");
  RawSocket caller(server->port());
  caller.send("GET /v1/plans/gold HTTP/1.1\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n");
  CHECK(requests.wait([](const auto& aRequests) { return aRequests.size() == 1; }));
  const auto id = requests.copy()[0].id;
  loop.run([&] {
    server->reply({ static_cast<controller::OperatorId>(99), 200, { { "plan", "other" } }, {} });
    server->reply({ id, 404, { { "error", "not_found" } }, {} });
  });
  const auto answer = caller.readAll();
  CHECK(answer.starts_with("HTTP/1.1 404 "));
  CHECK(answer.ends_with("{\"error\":\"not_found\"}\n"));
}

// Guards against an operator waiting for a controller that this process does not have.
TEST(OperatorServer, tellsWhenThereIsNoController)
{
  hasController = false;
  start("secret");
  CHECK(ask("/v1/lists", "secret").starts_with("HTTP/1.1 503 "));
}

TEST_GROUP(OperatorApi){};

// Guards against a change being read differently from what the operator wrote.
TEST(OperatorApi, parsesChanges)
{
  const auto move = operationOf<controller::RequestMove>(request(
    "POST", "/v1/moves", R"({"request_id":"m1","model":"m","to_version":"v2","deadline_unix_ms":1700000000123})"));
  STRCMP_EQUAL("m1", move.requestId.c_str());
  STRCMP_EQUAL("v2", move.toVersion.c_str());
  CHECK_EQUAL(1700000000123, move.deadline.time_since_epoch().count());
  nlohmann::json body{ { "request_id", "p1" }, { "expected_revision", 12 } };
  body["document"] = "plans: []";
  const auto plans = operationOf<controller::ApplyPlans>(request("POST", "/v1/lists/plans", body.dump()));
  CHECK(plans.expected == Revision{ 12 });
  STRCMP_EQUAL("p1", plans.requestId.c_str());
}

// Guards against names with special characters naming another plan or request.
TEST(OperatorApi, parsesNames)
{
  STRCMP_EQUAL("great lakes/1",
               operationOf<controller::ShowPlan>(request("GET", "/v1/plans/great%20lakes%2F1")).plan.c_str());
  STRCMP_EQUAL("r1-ab-1",
               operationOf<controller::ExplainRequest>(request("GET", "/v1/requests/r1-ab-1")).request.c_str());
  CHECK_EQUAL(400, refusalOf(request("GET", "/v1/plans/a%2")));
  CHECK_EQUAL(400, refusalOf(request("GET", "/v1/plans/")));
}

// Guards against a malformed change reaching the controller or ending the process.
TEST(OperatorApi, refusesMalformedChanges)
{
  CHECK_EQUAL(400, refusalOf(request("POST", "/v1/moves", "")));
  CHECK_EQUAL(400, refusalOf(request("POST", "/v1/moves", "[]")));
  CHECK_EQUAL(400, refusalOf(request("POST", "/v1/moves", R"({"request_id":"m1"})")));
  CHECK_EQUAL(
    400, refusalOf(request("POST", "/v1/lists/plans", R"({"request_id":"","expected_revision":0,"document":""})")));
  CHECK_EQUAL(
    400,
    refusalOf(request("POST", "/v1/lists/plans", R"({"request_id":"a","expected_revison":0,"document":"plans: []"})")));
  CHECK_EQUAL(
    400,
    refusalOf(request("POST", "/v1/lists/uses", R"({"request_id":"a","expected_revision":0,"document":"planz: []"})")));
  CHECK_EQUAL(404, refusalOf(request("GET", "/v1/nothing")));
  CHECK_EQUAL(405, refusalOf(request("DELETE", "/v1/lists")));
}

// Guards against a page that the metrics collector refuses as a whole.
TEST(OperatorApi, metricsPageIsWellFormed)
{
  const auto page =
    metricsPage({ { "b_total", metricLabel("plan", "a\"\\\n"), 2 }, { "a", "", 0.5 }, { "b_total", "x=\"1\"", 3 } });
  STRCMP_EQUAL("# TYPE a gauge\na 0.5\n# TYPE b_total counter\nb_total{plan=\"a\\\"\\\\\\n\"} 2\nb_total{x=\"1\"} 3\n",
               page.c_str());
}

TEST_GROUP(LogWriter){};

// Guards against a log line that a JSON reader cannot take, or that hides its origin.
TEST(LogWriter, writesJsonLines)
{
  Watched<std::vector<std::string>> lines;
  {
    LogWriter log("entry-1",
                  [&](const std::string& aLine) { lines.change([&](auto& aLines) { aLines.push_back(aLine); }); });
    log.write({ Severity::kWarning, "placement", { { "request", "r\n\xff" }, { "instance", "forged" } } });
    log.write({ Severity::kInfo, "second", {} });
  }
  const auto written = lines.copy();
  CHECK_EQUAL(2U, written.size());
  const auto line = nlohmann::json::parse(written[0]);
  STRCMP_EQUAL("entry-1", line["instance"].get<std::string>().c_str());
  STRCMP_EQUAL("warning", line["severity"].get<std::string>().c_str());
  STRCMP_EQUAL("placement", line["event"].get<std::string>().c_str());
  STRCMP_EQUAL("r\n\xEF\xBF\xBD", line["request"].get<std::string>().c_str());
  CHECK_EQUAL(std::size_t{ 27 }, line["time"].get<std::string>().size());
}
