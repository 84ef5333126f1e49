#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"
#include "rhubarbarch/wire/rollouts.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// Newest version rollout of a service.
struct Rollout
{
  RolloutRule rule;
  std::int64_t durationS = 0;
  std::int64_t orderedUnixMs = 0;
  std::int64_t deadlineUnixMs = 0;
  std::int64_t counted = 0; ///< requests to the service since the order, as last recorded
  std::int64_t dealt = 0;   ///< calls to the target that may have been permitted; a new leader assumes that all were
  std::string reason;       ///< of the last change of the phase
};

/// Version rollouts, one for each service that was ever ordered one.
struct Rollouts
{
  std::vector<Rollout> rollouts; ///< sorted by service
  LogIndex changedAt{};          ///< log index of the last change of a rule; zero: none
};

/// Command: an operator's order to move a service to a version.
struct OrderRollout
{
  std::string service;
  VersionName target;
  std::int64_t durationS = 0;
  std::int64_t unixMs = 0; ///< time of the order
};

/// Command: change the phase of a rollout. A rollout that has ended does not change.
struct StepRollout
{
  std::string service;
  LogIndex orderedAt{};
  RolloutPhase phase = RolloutPhase::kRolledBack;
  std::string reason;
};

/// Command: record the requests counted and raise the calls that may be permitted.
struct AllotExposure
{
  std::string service;
  LogIndex orderedAt{};
  std::int64_t counted = 0;
  std::int64_t dealt = 0;
};

enum class RolloutOutcome : std::uint8_t
{
  kAccepted,
  kRepeated,    ///< the service's newest order is the same
  kRunning,     ///< another rollout of the service has not ended
  kSameVersion, ///< the service was moved to this version before
  kChanged,
  kUnchanged ///< the rollout has ended, or is not the service's newest one
};

/// @return the newest rollout of a service, or null
const Rollout*
findRollout(const Rollouts& aRollouts, const std::string& aService);

/// @return whether an order repeats the newest one of its service
bool
isRepeat(const Rollouts& aRollouts, const OrderRollout& aOrder);

/// Applies a committed command.
/// @param aIndex index of its log entry
/// @return its outcome. Usage: `apply(rollouts, OrderRollout{ "chat", "v2", 60, now }, index)`.
RolloutOutcome
apply(Rollouts& aRollouts, const OrderRollout& aCommand, LogIndex aIndex);
RolloutOutcome
apply(Rollouts& aRollouts, const StepRollout& aCommand, LogIndex aIndex);
RolloutOutcome
apply(Rollouts& aRollouts, const AllotExposure& aCommand, LogIndex aIndex);

RHUBARBARCH_DECLARE_FIELDS(Rollout)
RHUBARBARCH_DECLARE_FIELDS(Rollouts)
RHUBARBARCH_DECLARE_FIELDS(OrderRollout)
RHUBARBARCH_DECLARE_FIELDS(StepRollout)
RHUBARBARCH_DECLARE_FIELDS(AllotExposure)

} // namespace rhubarbarch::state
