#include "rhubarbarch/state/quarantine.h"

#include "rhubarbarch/wire/define_fields.h"

#include <algorithm>

namespace rhubarbarch::state {

RHUBARBARCH_DEFINE_FIELDS(QuarantinedSubject, subject, since)
RHUBARBARCH_DEFINE_FIELDS(Quarantine, subjects, changedAt)
RHUBARBARCH_DEFINE_FIELDS(SetQuarantine, subject, quarantined)

QuarantineOutcome
apply(Quarantine& aQuarantine, const SetQuarantine& aCommand, LogIndex aIndex)
{
  auto& all = aQuarantine.subjects;
  if (isQuarantined(aQuarantine, aCommand.subject) == aCommand.quarantined) {
    return QuarantineOutcome::kUnchanged;
  }
  if (!aCommand.quarantined) {
    std::erase_if(all, [&](const auto& aEach) { return aEach.subject == aCommand.subject; });
  } else {
    if (all.size() >= kMaxQuarantined) {
      all.erase(std::ranges::min_element(all, {}, &QuarantinedSubject::since));
    }
    const auto at = std::ranges::lower_bound(all, aCommand.subject, {}, &QuarantinedSubject::subject);
    all.insert(at, { aCommand.subject, aIndex });
  }
  aQuarantine.changedAt = aIndex;
  return QuarantineOutcome::kChanged;
}

bool
isQuarantined(const Quarantine& aQuarantine, const std::string& aSubject)
{
  return std::ranges::binary_search(aQuarantine.subjects, aSubject, {}, &QuarantinedSubject::subject);
}

} // namespace rhubarbarch::state
