#pragma once

#include "rhubarbarch/wire/routing.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbarch::gateway {

/// A routing table with the look-ups that each request needs. Requests in progress keep the one they began with.
struct RouteIndex
{
  RoutingTable table;
  std::unordered_map<std::string, std::vector<const Route*>> byHost; ///< longest prefix first
  std::unordered_map<std::string, const PlanAccess*> byKey;
  std::unordered_map<std::string, const Service*> services;
};

/// @return an index over its own copy of the table
std::shared_ptr<const RouteIndex>
makeRouteIndex(RoutingTable aTable);

/// @param aTarget path, a query may follow
/// @return the route of the longest prefix; null when none matches
const Route*
findRoute(const RouteIndex& aIndex, const std::string& aHost, std::string_view aTarget);

/// @return the plan that holds a key; null when none does
const PlanAccess*
findPlan(const RouteIndex& aIndex, const std::string& aKey);

/// @return the service; null when the table does not name it
const Service*
findService(const RouteIndex& aIndex, const std::string& aService);

/// Picks one of a route's services by weight.
/// @param aDraw uniform in [0, 1)
const std::string&
pickService(const Route& aRoute, double aDraw);

} // namespace rhubarbarch::gateway
