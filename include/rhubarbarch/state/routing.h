#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"
#include "rhubarbarch/wire/routing.h"

#include <cstdint>
#include <string>

namespace rhubarbarch::state {

/// The operators' routing document in force.
struct RoutingState
{
  RoutingTable table;
  std::string source; ///< text that the operator sent, returned to readers
  std::string digest; ///< digest of the content, independent of its layout
};

/// Command: put a document in force if its version is higher than that of the document in force.
struct StoreRouting
{
  RoutingTable table;
  std::string source;
  std::string digest;
};

/// Outcome of StoreRouting.
enum class RoutingOutcome : std::uint8_t
{
  kStored,   ///< now in force
  kRepeated, ///< was in force already
  kStale,    ///< a higher version is in force; nothing changed
  kConflict  ///< the version in force is the same, with other content; nothing changed
};

RoutingOutcome
store(RoutingState& aState, const StoreRouting& aCommand);

RHUBARBARCH_DECLARE_FIELDS(RoutingState)
RHUBARBARCH_DECLARE_FIELDS(StoreRouting)

} // namespace rhubarbarch::state
