#include "route_index.h"

#include <algorithm>
#include <numeric>

namespace rhubarbarch::gateway {

namespace {

/// Engines know priorities 0 to 9, so that up to this priority each has two levels.
constexpr std::int32_t kLastRefined = 4;

/// Longest pause between events that counts as short. Placement by learned times raised the scores of a deployment
/// that aims at 200 ms and lowered those of one that aims at 600 ms (docs/design/engine-model.md).
constexpr std::int64_t kShortPauseMs = 250;

bool
protectsPauses(const RoutingTable& aTable)
{
  return std::ranges::any_of(aTable.routes, [](const Route& aRoute) {
    return aRoute.kind == CallKind::kStream && aRoute.targetGapMs > 0 && aRoute.targetGapMs <= kShortPauseMs;
  });
}

bool
refinesPriorities(const RoutingTable& aTable)
{
  const auto fits = [](std::int32_t aPriority) { return aPriority <= kLastRefined; };
  const auto stated = [](std::int32_t aPriority) { return aPriority > 0; };
  const bool allFit = std::ranges::all_of(aTable.routes, fits, &Route::priority) &&
                      std::ranges::all_of(aTable.plans, fits, &PlanAccess::priority) &&
                      std::ranges::all_of(aTable.routes, [](const Route& aRoute) { return aRoute.priority >= 0; });
  return allFit && (std::ranges::any_of(aTable.routes, stated, &Route::priority) ||
                    std::ranges::any_of(aTable.plans, stated, &PlanAccess::priority));
}

} // namespace

std::shared_ptr<const RouteIndex>
makeRouteIndex(RoutingTable aTable)
{
  auto index = std::make_shared<RouteIndex>();
  index->table = std::move(aTable);
  for (const auto& route : index->table.routes) {
    index->byHost[route.host].push_back(&route);
  }
  for (auto& [host, routes] : index->byHost) {
    std::ranges::sort(routes, std::greater{}, [](const Route* aRoute) { return aRoute->pathPrefix.size(); });
  }
  for (const auto& plan : index->table.plans) {
    for (const auto& key : plan.keys) {
      index->byKey.emplace(key, &plan);
    }
  }
  for (const auto& service : index->table.services) {
    index->services.emplace(service.name, &service);
  }
  index->protectsPauses = protectsPauses(index->table);
  index->refinesPriorities = refinesPriorities(index->table);
  return index;
}

const Route*
findRoute(const RouteIndex& aIndex, const std::string& aHost, std::string_view aTarget)
{
  const auto host = aIndex.byHost.find(aHost);
  if (host == aIndex.byHost.end()) {
    return nullptr;
  }
  const auto path = aTarget.substr(0, aTarget.find('?'));
  const auto found =
    std::ranges::find_if(host->second, [&](const Route* aRoute) { return path.starts_with(aRoute->pathPrefix); });
  return found == host->second.end() ? nullptr : *found;
}

const PlanAccess*
findPlan(const RouteIndex& aIndex, const std::string& aKey)
{
  const auto found = aIndex.byKey.find(aKey);
  return found == aIndex.byKey.end() ? nullptr : found->second;
}

const Service*
findService(const RouteIndex& aIndex, const std::string& aService)
{
  const auto found = aIndex.services.find(aService);
  return found == aIndex.services.end() ? nullptr : found->second;
}

const std::string&
pickService(const Route& aRoute, double aDraw)
{
  const auto total =
    std::accumulate(aRoute.services.begin(), aRoute.services.end(), 0.0, [](double aSum, const ServiceShare& aShare) {
      return aSum + aShare.weight;
    });
  auto left = aDraw * total;
  const auto found = std::ranges::find_if(aRoute.services, [&left](const ServiceShare& aShare) {
    left -= aShare.weight;
    return left < 0;
  });
  return found == aRoute.services.end() ? aRoute.services.back().service : found->service;
}

} // namespace rhubarbarch::gateway
