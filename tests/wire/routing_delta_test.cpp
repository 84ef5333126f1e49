// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "rhubarbarch/wire/routing_delta.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;

namespace {

RoutingTable
randomTable(std::mt19937& aRandom, std::int64_t aVersion)
{
  RoutingTable table;
  table.version = aVersion;
  for (int i = 0; i < 40; ++i) {
    if (aRandom() % 2 == 0) {
      continue;
    }
    Route route;
    route.name = "r" + std::to_string(i);
    route.host = i % 3 == 0 ? "a.example" : "b.example";
    route.pathPrefix = "/" + route.name + "/";
    route.kind = CallKind::kOnce;
    route.services = { { "desk", static_cast<double>(aRandom() % 4) } };
    route.timeoutMs = static_cast<std::int64_t>(aRandom() % 3);
    route.resumable = i % 2 == 0;
    table.routes.push_back(route);
  }
  table.services = { { "desk", "/healthz", static_cast<std::int64_t>(aRandom() % 9), false, {} } };
  table.plans = { { "gold", { "k" + std::to_string(aRandom() % 3) }, -1, 1000 } };
  return table;
}

RoutingTable
sorted(RoutingTable aTable)
{
  std::ranges::sort(aTable.routes, {}, &Route::name);
  return aTable;
}

} // namespace

TEST_GROUP(RoutingDelta){};

// Guards against a gateway that serves another document than the operator's after a chain of changes.
TEST(RoutingDelta, leadsFromAnyDocumentToAnyOther)
{
  std::mt19937 random(5);
  auto held = randomTable(random, 1);
  for (std::int64_t version = 2; version < 60; ++version) {
    const auto later = randomTable(random, version);
    const nlohmann::json sent = makeDelta(held, later);
    held = applyDelta(held, sent.get<RoutingDelta>());
    CHECK(sorted(held) == sorted(later));
  }
}

// Guards against a controller that cannot read the routes in logs written before they became arrays.
TEST(RoutingDelta, readsRoutesOfEarlierLogs)
{
  const auto named = nlohmann::json::parse(
    R"({"name":"r","host":"h","pathPrefix":"/p/","kind":2,"services":[{"service":"s","weight":2.0}],"timeoutMs":7})");
  const auto route = named.get<Route>();
  STRCMP_EQUAL("/p/", route.pathPrefix.c_str());
  CHECK(route.kind == CallKind::kStream);
  CHECK_EQUAL(7, route.timeoutMs);
  CHECK(nlohmann::json(route).get<Route>() == route);
}
