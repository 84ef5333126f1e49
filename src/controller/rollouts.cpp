#include "rollouts.h"
#include "controllers.h"

#include <string>

namespace rhubarbarch::controller {

namespace {

/// Between two checks; a fraction of a gateway's poll period of 200 ms.
constexpr Duration kCheckPeriod{ 50 };

/// A repeat, proposed while the first proposal is not yet committed, changes nothing.
void
stepRollout(Context& aContext, const state::Rollout& aRollout, RolloutPhase aPhase, const std::string& aReason)
{
  const auto& rule = aRollout.rule;
  propose(aContext,
          state::StepRollout{ rule.service, rule.orderedAt, aPhase, aReason },
          [rule, aPhase, aReason](Context& aDone, const state::Outcome& aOutcome) {
            if (std::get<state::RolloutOutcome>(aOutcome) != state::RolloutOutcome::kChanged) {
              return;
            }
            log(aDone,
                "rollout_stepped",
                { { "service", rule.service },
                  { "target", rule.target },
                  { "order", toNumber(rule.orderedAt) },
                  { "phase", static_cast<int>(aPhase) },
                  { "reason", aReason } });
          });
}

} // namespace

void
tickRollouts(Context& aContext)
{
  if (!isDue(aContext, aContext.memory.rolloutsCheckedAt, kCheckPeriod)) {
    return;
  }
  for (const auto& rollout : aContext.state.rollouts.rollouts) {
    if (isOpen(rollout.rule.phase) && aContext.unixMs >= rollout.deadlineUnixMs) {
      stepRollout(aContext, rollout, RolloutPhase::kRolledBack, "not proved by the deadline");
    }
  }
}

} // namespace rhubarbarch::controller
