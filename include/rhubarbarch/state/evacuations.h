#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <vector>

namespace rhubarbarch::state {

/// Data centres whose upstreams get no new work.
struct Evacuations
{
  std::vector<DataCentre> dataCentres; ///< sorted
  LogIndex changedAt{};                ///< log index of the last change; zero: none
};

/// Command: start or end the evacuation of a data centre.
struct SetEvacuation
{
  DataCentre dataCentre;
  bool evacuated = true;
};

enum class EvacuationOutcome : std::uint8_t
{
  kChanged,
  kUnchanged ///< the data centre was in the requested state already
};

/// Applies a committed command.
/// @param aIndex index of its log entry
/// @return its outcome. Usage: `apply(evacuations, { "lakes-a", true }, index)`.
EvacuationOutcome
apply(Evacuations& aEvacuations, const SetEvacuation& aCommand, LogIndex aIndex);

RHUBARBARCH_DECLARE_FIELDS(Evacuations)
RHUBARBARCH_DECLARE_FIELDS(SetEvacuation)

} // namespace rhubarbarch::state
