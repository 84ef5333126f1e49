#pragma once

#include "rhubarbarch/wire/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// The place of a route; no two routes of a document share it.
struct RoutePlace
{
  std::string host;
  std::string pathPrefix;

  auto operator<=>(const RoutePlace&) const = default;
};

/// What turns one document into a later one. Documents of some thousand routes change in a few of them, and only these
/// are sent; all the rest of a document is small and sent whole.
struct RoutingDelta
{
  std::int64_t base = 0; ///< version of the document that it applies to
  std::vector<Route> changed;
  std::vector<RoutePlace> removed;
  RoutingTable rest; ///< the later document without its routes
};

/// @return what turns `aBase` into `aLater`. Usage: `applyDelta(base, makeDelta(base, later))` has the routes of
/// `later`, in any order, and all else of it.
RoutingDelta
makeDelta(const RoutingTable& aBase, const RoutingTable& aLater);

/// @param aBase the document of version `aDelta.base`
RoutingTable
applyDelta(const RoutingTable& aBase, const RoutingDelta& aDelta);

RHUBARBARCH_DECLARE_FIELDS(RoutePlace)
RHUBARBARCH_DECLARE_FIELDS(RoutingDelta)

} // namespace rhubarbarch
