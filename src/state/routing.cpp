#include "rhubarbarch/state/routing.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch::state {

RHUBARBARCH_DEFINE_FIELDS(RoutingState, table, source, digest)
RHUBARBARCH_DEFINE_FIELDS(StoreRouting, table, source, digest)

RoutingOutcome
store(RoutingState& aState, const StoreRouting& aCommand)
{
  const auto currentVersion = aState.table.version;
  if (aCommand.table.version < currentVersion) {
    return RoutingOutcome::kStale;
  }
  if (aCommand.table.version == currentVersion) {
    return aCommand.digest == aState.digest ? RoutingOutcome::kRepeated : RoutingOutcome::kConflict;
  }
  aState = { aCommand.table, aCommand.source, aCommand.digest };
  return RoutingOutcome::kStored;
}

} // namespace rhubarbarch::state
