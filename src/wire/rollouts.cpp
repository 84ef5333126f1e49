#include "rhubarbarch/wire/rollouts.h"

#include "rhubarbarch/wire/define_fields.h"

#include <algorithm>

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(RolloutRule, service, target, phase, orderedAt, proven, barred)

bool
isOpen(RolloutPhase aPhase) noexcept
{
  return aPhase == RolloutPhase::kRunning || aPhase == RolloutPhase::kMoving;
}

VersionUse
versionUse(const RolloutRule& aRule, const VersionName& aVersion)
{
  if (aVersion == aRule.target) {
    switch (aRule.phase) {
      case RolloutPhase::kRunning:
        return VersionUse::kByPermit;
      case RolloutPhase::kMoving:
      case RolloutPhase::kSucceeded:
        return VersionUse::kServes;
      default:
        return VersionUse::kNone;
    }
  }
  const bool serves =
    aRule.proven.empty() ? std::ranges::find(aRule.barred, aVersion) == aRule.barred.end() : aVersion == aRule.proven;
  if (!serves || aRule.phase == RolloutPhase::kSucceeded) {
    return VersionUse::kNone;
  }
  return aRule.phase == RolloutPhase::kMoving ? VersionUse::kReserve : VersionUse::kServes;
}

} // namespace rhubarbarch
