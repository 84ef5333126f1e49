#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// Progress of a version rollout. Stored logs contain the numbers.
enum class RolloutPhase : std::uint8_t
{
  kRunning = 0,    ///< the target version gets calls only by permit
  kMoving = 1,     ///< the target version is proved and gets all new calls; calls at the old versions end
  kSucceeded = 2,  ///< only the target version serves
  kRolledBack = 3, ///< the target version gets no calls
};

/// Newest version rollout of a service, and which of its versions may serve.
struct RolloutRule
{
  std::string service;
  VersionName target;
  RolloutPhase phase = RolloutPhase::kRunning;
  LogIndex orderedAt{};            ///< log index of the order, which identifies the rollout
  VersionName proven;              ///< target of the last successful rollout: only it serves; empty: none
  std::vector<VersionName> barred; ///< targets that were rolled back; they do not serve

  bool operator==(const RolloutRule&) const = default;
};

/// @return whether a rollout has not ended
bool
isOpen(RolloutPhase aPhase) noexcept;

/// How a version of a service takes part.
enum class VersionUse : std::uint8_t
{
  kServes,
  kByPermit, ///< unproved: each call needs a permit
  kReserve,  ///< only if no upstream of the target version is usable
  kNone
};

/// @return how upstreams of a version may be used under a rule. Usage: `versionUse(rule, upstream.entry.version)`.
VersionUse
versionUse(const RolloutRule& aRule, const VersionName& aVersion);

RHUBARBARCH_DECLARE_FIELDS(RolloutRule)

} // namespace rhubarbarch
