#include "rhubarbarch/state/rollouts.h"

#include "rhubarbarch/wire/define_fields.h"

#include <algorithm>

namespace rhubarbarch::state {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

const std::string&
serviceOf(const Rollout& aRollout)
{
  return aRollout.rule.service;
}

/// @return the rollout that a command concerns, or null if that has ended or is not the newest
Rollout*
findOpen(Rollouts& aRollouts, const std::string& aService, LogIndex aOrderedAt)
{
  const auto found = std::ranges::find(aRollouts.rollouts, aService, serviceOf);
  const bool open =
    found != aRollouts.rollouts.end() && found->rule.orderedAt == aOrderedAt && isOpen(found->rule.phase);
  return open ? &*found : nullptr;
}

} // namespace

RHUBARBARCH_DEFINE_FIELDS(Rollout, rule, durationS, orderedUnixMs, deadlineUnixMs, counted, dealt, reason)
RHUBARBARCH_DEFINE_FIELDS(Rollouts, rollouts, changedAt)
RHUBARBARCH_DEFINE_FIELDS(OrderRollout, service, target, durationS, unixMs)
RHUBARBARCH_DEFINE_FIELDS(StepRollout, service, orderedAt, phase, reason)
RHUBARBARCH_DEFINE_FIELDS(AllotExposure, service, orderedAt, counted, dealt)

const Rollout*
findRollout(const Rollouts& aRollouts, const std::string& aService)
{
  const auto found = std::ranges::find(aRollouts.rollouts, aService, serviceOf);
  return found == aRollouts.rollouts.end() ? nullptr : &*found;
}

bool
isRepeat(const Rollouts& aRollouts, const OrderRollout& aOrder)
{
  const auto* newest = findRollout(aRollouts, aOrder.service);
  return newest != nullptr && newest->rule.target == aOrder.target && newest->durationS == aOrder.durationS;
}

RolloutOutcome
apply(Rollouts& aRollouts, const OrderRollout& aCommand, LogIndex aIndex)
{
  if (isRepeat(aRollouts, aCommand)) {
    return RolloutOutcome::kRepeated;
  }
  auto& all = aRollouts.rollouts;
  auto found = std::ranges::lower_bound(all, aCommand.service, {}, serviceOf);
  if (found == all.end() || serviceOf(*found) != aCommand.service) {
    found = all.insert(found, Rollout{});
  } else if (isOpen(found->rule.phase)) {
    return RolloutOutcome::kRunning;
  } else if (found->rule.proven == aCommand.target) {
    return RolloutOutcome::kSameVersion;
  }
  auto rule = found->rule;
  rule.service = aCommand.service;
  rule.target = aCommand.target;
  rule.phase = RolloutPhase::kRunning;
  rule.orderedAt = aIndex;
  std::erase(rule.barred, aCommand.target);
  const auto deadline = aCommand.unixMs + aCommand.durationS * kMsPerSecond;
  *found = { std::move(rule), aCommand.durationS, aCommand.unixMs, deadline, 0, 0, {} };
  aRollouts.changedAt = aIndex;
  return RolloutOutcome::kAccepted;
}

RolloutOutcome
apply(Rollouts& aRollouts, const StepRollout& aCommand, LogIndex aIndex)
{
  auto* rollout = findOpen(aRollouts, aCommand.service, aCommand.orderedAt);
  if (rollout == nullptr || aCommand.phase <= rollout->rule.phase) {
    return RolloutOutcome::kUnchanged;
  }
  auto& rule = rollout->rule;
  rule.phase = aCommand.phase;
  rollout->reason = aCommand.reason;
  if (rule.phase == RolloutPhase::kSucceeded) {
    rule.proven = rule.target;
    rule.barred.clear();
  } else if (rule.phase == RolloutPhase::kRolledBack) {
    rule.barred.push_back(rule.target);
  }
  aRollouts.changedAt = aIndex;
  return RolloutOutcome::kChanged;
}

RolloutOutcome
apply(Rollouts& aRollouts, const AllotExposure& aCommand, LogIndex /*aIndex*/)
{
  auto* rollout = findOpen(aRollouts, aCommand.service, aCommand.orderedAt);
  if (rollout == nullptr) {
    return RolloutOutcome::kUnchanged;
  }
  rollout->counted = std::max(rollout->counted, aCommand.counted);
  rollout->dealt = std::max(rollout->dealt, aCommand.dealt);
  return RolloutOutcome::kChanged;
}

} // namespace rhubarbarch::state
