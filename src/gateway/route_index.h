#pragma once

#include "rhubarbarch/wire/routing.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbarch::gateway {

/// A routing table with indexes for the look-ups of each request. A request in progress keeps the index that it started
/// with.
struct RouteIndex
{
  RoutingTable table;
  std::unordered_map<std::string, std::vector<const Route*>> byHost; ///< longest prefix first
  std::unordered_map<std::string, const PlanAccess*> byKey;
  std::unordered_map<std::string, const Service*> services;
  bool protectsPauses = false;    ///< a route aims at pauses so short that long prompts beside its streams break them
  bool refinesPriorities = false; ///< priorities are stated, and two levels at the engines are free for each
};

/// @return an index over its own copy of the table
std::shared_ptr<const RouteIndex>
makeRouteIndex(RoutingTable aTable);

/// @param aTarget path and optional query
/// @return the route of the longest prefix; null when none matches
const Route*
findRoute(const RouteIndex& aIndex, const std::string& aHost, std::string_view aTarget);

/// @return the plan that a key belongs to; null when there is none
const PlanAccess*
findPlan(const RouteIndex& aIndex, const std::string& aKey);

/// @return the service; null when it is not in the table
const Service*
findService(const RouteIndex& aIndex, const std::string& aService);

/// Picks one of a route's services by weight.
/// @param aDraw uniform in [0, 1)
const std::string&
pickService(const Route& aRoute, double aDraw);

} // namespace rhubarbarch::gateway
