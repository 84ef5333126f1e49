#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"
#include "rhubarbarch/wire/routing.h"

#include <cstdint>
#include <string>

namespace rhubarbarch::state {

/// The operators' document in force.
struct RoutingState
{
  RoutingTable table;
  std::string source; ///< as the operator sent it, for reading it back
  std::string digest; ///< of the content, independent of its layout
};

/// Command: put a document in force if its version is higher than the one in force.
struct StoreRouting
{
  RoutingTable table;
  std::string source;
  std::string digest;
};

/// What became of a document.
enum class RoutingOutcome : std::uint8_t
{
  kStored,    ///< in force now
  kRepeated,  ///< was in force already
  kOvertaken, ///< a higher version is in force; nothing changed
  kConflict   ///< other content holds its version; nothing changed
};

RoutingOutcome
store(RoutingState& aState, const StoreRouting& aCommand);

RHUBARBARCH_DECLARE_FIELDS(RoutingState)
RHUBARBARCH_DECLARE_FIELDS(StoreRouting)

} // namespace rhubarbarch::state
