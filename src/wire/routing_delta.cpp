#include "rhubarbarch/wire/routing_delta.h"

#include "rhubarbarch/wire/define_fields.h"

#include <map>
#include <utility>

namespace rhubarbarch {

namespace {

std::map<RoutePlace, const Route*>
byPlace(const std::vector<Route>& aRoutes)
{
  std::map<RoutePlace, const Route*> places;
  for (const auto& route : aRoutes) {
    places[{ route.host, route.pathPrefix }] = &route;
  }
  return places;
}

RoutingTable
withoutRoutes(const RoutingTable& aTable)
{
  return { aTable.version, {}, aTable.services, aTable.plans, aTable.limits };
}

} // namespace

RHUBARBARCH_DEFINE_FIELDS(RoutePlace, host, pathPrefix)
RHUBARBARCH_DEFINE_FIELDS(RoutingDelta, base, changed, removed, rest)

RoutingDelta
makeDelta(const RoutingTable& aBase, const RoutingTable& aLater)
{
  RoutingDelta delta;
  delta.base = aBase.version;
  delta.rest = withoutRoutes(aLater);
  auto before = byPlace(aBase.routes);
  for (const auto& [place, route] : byPlace(aLater.routes)) {
    const auto earlier = before.extract(place);
    if (earlier.empty() || !(*earlier.mapped() == *route)) {
      delta.changed.push_back(*route);
    }
  }
  for (const auto& [place, route] : before) {
    delta.removed.push_back(place);
  }
  return delta;
}

RoutingTable
applyDelta(const RoutingTable& aBase, const RoutingDelta& aDelta)
{
  auto table = aDelta.rest;
  auto places = byPlace(aBase.routes);
  for (const auto& place : aDelta.removed) {
    places.erase(place);
  }
  for (const auto& route : aDelta.changed) {
    places[{ route.host, route.pathPrefix }] = &route;
  }
  table.routes.reserve(places.size());
  for (const auto& [place, route] : places) {
    table.routes.push_back(*route);
  }
  return table;
}

} // namespace rhubarbarch
