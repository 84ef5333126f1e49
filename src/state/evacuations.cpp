#include "rhubarbarch/state/evacuations.h"

#include "rhubarbarch/wire/define_fields.h"

#include <algorithm>

namespace rhubarbarch::state {

RHUBARBARCH_DEFINE_FIELDS(Evacuations, dataCentres, changedAt)
RHUBARBARCH_DEFINE_FIELDS(SetEvacuation, dataCentre, evacuated)

EvacuationOutcome
apply(Evacuations& aEvacuations, const SetEvacuation& aCommand, LogIndex aIndex)
{
  auto& all = aEvacuations.dataCentres;
  const auto found = std::ranges::lower_bound(all, aCommand.dataCentre);
  const bool isEvacuated = found != all.end() && *found == aCommand.dataCentre;
  if (isEvacuated == aCommand.evacuated) {
    return EvacuationOutcome::kUnchanged;
  }
  if (isEvacuated) {
    all.erase(found);
  } else {
    all.insert(found, aCommand.dataCentre);
  }
  aEvacuations.changedAt = aIndex;
  return EvacuationOutcome::kChanged;
}

} // namespace rhubarbarch::state
