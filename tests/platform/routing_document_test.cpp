#include "routing_document.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;
using nlohmann::json;

TEST_GROUP(RoutingDocument)
{
  json document = json::parse(R"({
    "Version": 7,
    "Routes": [
      {"Name": "r1", "Hostname": "Shop.Example", "PathPrefix": "/a/", "Kind": "streaming", "TimeoutMs": 4000,
       "TargetLatencyMs": 600, "Priority": 2, "Service": "engine", "MaxAttempts": 2, "Public": false, "Sticky": true,
       "Resumable": true, "TargetGapMs": 400},
      {"Name": "r2", "Hostname": "shop.example", "PathPrefix": "/b/", "Kind": "unsafe", "TimeoutMs": 1500,
       "Backends": [{"Service": "engine", "Weight": 90}, {"Service": "desk", "Weight": 10}], "MaxAttempts": 1},
      {"Name": "r3", "Hostname": "shop.example", "PathPrefix": "/c/", "Kind": "safe", "TimeoutMs": 1500,
       "Service": "desk"}],
    "Services": [
      {"Name": "engine", "HealthPath": "/healthz", "MaxConns": 380,
       "Engine": {"Slots": 64, "KvTokens": 410154, "Stride": 3}},
      {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 120}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "gold", "ApiKeys": ["k1", "k2"], "Priority": 1, "Prepaid": 3776573},
                {"Name": "free", "ApiKeys": ["k3"]}]})");

  Result<controller::PutRouting> decode() const
  {
    return decodeRouting(document.dump());
  }
};

// Guards against fields of the wire being taken for something else.
TEST(RoutingDocument, decodesEveryPart)
{
  const auto put = decode().value();
  const auto& table = put.table;
  CHECK_EQUAL(7, table.version);
  STRCMP_EQUAL("shop.example", table.routes[0].host.c_str());
  CHECK(table.routes[0].kind == CallKind::kStream);
  CHECK(table.routes[0].resumable);
  CHECK_EQUAL(400, table.routes[0].targetGapMs);
  CHECK(table.routes[1].kind == CallKind::kOnce);
  CHECK_EQUAL(2U, table.routes[1].services.size());
  CHECK(table.routes[2].kind == CallKind::kIdempotent);
  CHECK(table.services[0].isEngine);
  CHECK_EQUAL(3, table.services[0].engine.eventTokens);
  CHECK_FALSE(table.services[1].isEngine);
  CHECK_EQUAL(3776573, table.plans[0].prepaid);
  CHECK(table.plans[1].prepaid < 0);
  CHECK_EQUAL(15000, table.limits.idleTimeoutMs);
}

// Guards against an equal document with another layout being taken for other content.
TEST(RoutingDocument, comparesContentNotLayout)
{
  const auto compact = decode().value();
  const auto spaced = decodeRouting(document.dump(4)).value();
  STRCMP_EQUAL(compact.digest.c_str(), spaced.digest.c_str());
  document["Version"] = 8;
  CHECK(compact.digest != decode().value().digest);
}

// Guards against an invalid configuration being put in force in part.
TEST(RoutingDocument, refusesWhatContradictsItself)
{
  const auto refused = [this](const char* aPointer, const json& aValue) {
    const auto before = document;
    document[json::json_pointer(aPointer)] = aValue;
    const bool invalid = !decode().has_value();
    document = before;
    return invalid;
  };
  CHECK(refused("/Routes/0/Service", "nobody"));
  CHECK(refused("/Routes/1/Backends/1/Service", "nobody"));
  CHECK(refused("/Routes/1/PathPrefix", "/a/"));
  CHECK(refused("/Routes/1/Backends", json::parse(R"([{"Service":"desk","Weight":0}])")));
  CHECK(refused("/Routes/0/TimeoutMs", 0));
  CHECK(refused("/Tenants/1/ApiKeys", json::parse(R"(["k1"])")));
  CHECK(refused("/Version", "seven"));
  CHECK(refused("/Routes/0/PathPrefix", "a/"));
  CHECK_FALSE(refused("/Routes/0/TimeoutMs", 1));
}

// Guards against a document that broke off on its way.
TEST(RoutingDocument, refusesACutDocument)
{
  const auto text = document.dump();
  CHECK_FALSE(decodeRouting(text.substr(0, text.size() / 2)).has_value());
  CHECK_FALSE(decodeRouting("").has_value());
}

// Guards against a document whose nesting exhausts the stack when it is written out again.
TEST(RoutingDocument, refusesDeepNesting)
{
  constexpr std::size_t kDepth = 1'000'000;
  const auto text = document.dump();
  for (const auto& extra :
       { std::string(kDepth, '[') + std::string(kDepth, ']'), std::string(65, '[') + std::string(65, ']') }) {
    const auto decoded = decodeRouting(text.substr(0, text.size() - 1) + ",\"Extra\":" + extra + "}");
    CHECK_FALSE(decoded.has_value());
    STRCMP_CONTAINS("nested", decoded.error().detail.c_str());
  }
  CHECK(
    decodeRouting(text.substr(0, text.size() - 1) + ",\"Extra\":\"\\\"" + std::string(100, '[') + "\"}").has_value());
}
