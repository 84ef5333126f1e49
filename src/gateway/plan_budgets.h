#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <map>
#include <vector>

namespace rhubarbarch::gateway {

/// Tokens of one plan at this gateway. Free tokens are `issued - returned - spent - reserved`.
struct PlanBudget
{
  Tokens issued = 0; ///< reported by the leader; only grows
  Tokens returned = 0;
  Tokens spent = 0;
  Tokens reserved = 0;
  Tokens committed = 0; ///< what open requests may still cost beyond `spent` and `reserved`; no permission to spend
  Tokens remaining = 0; ///< of the whole budget, last reported by the leader
  bool remainingKnown = false;
  TimePoint remainingAt;
  Tokens counted = -1;          ///< of this gateway, counted by the leader in `remaining`; negative: not told
  Tokens waiting = 0;           ///< needed by requests that are waiting now
  Tokens reportedReturned = 0;  ///< `returned` in the last poll
  Tokens reportedWaiting = 0;   ///< `waiting` in the last poll
  double demandPerSecond = 0;   ///< smoothed rate of requested reservations
  Tokens demandSinceUpdate = 0; ///< requested since the rate was last updated
};

/// The plans with a budget that callers used at this gateway or that the leader reported.
struct PlanBudgets
{
  std::map<PlanId, PlanBudget> plans;
  TimePoint demandUpdatedAt;
};

/// @return tokens that a request may reserve now
constexpr Tokens
freeTokens(const PlanBudget& aBudget) noexcept
{
  return aBudget.issued - aBudget.returned - aBudget.spent - aBudget.reserved;
}

/// @return the commitments of all plans
Tokens
committedTokens(const PlanBudgets& aBudgets);

/// Counts a request's reservation as demand. Call it once per request, whether the request is served or not.
void
recordDemand(PlanBudget& aBudget, Tokens aTokens) noexcept;

/// Reserves the most that a request can cost.
/// @return false when the free tokens do not cover it
bool
reserve(PlanBudget& aBudget, Tokens aTokens) noexcept;

/// Replaces a reservation by the tokens spent; the rest is free again.
void
settle(PlanBudget& aBudget, Tokens aReserved, Tokens aSpent) noexcept;

/// Applies the leader's report on one plan. On a recall, returns at once the tokens that no request here needs.
/// @return whether tokens were returned; the leader should be notified soon
bool
apply(PlanBudget& aBudget, const PlanAllowance& aAllowance, TimePoint aNow) noexcept;

/// Updates the demand rates; call it at every tick.
void
updateDemand(PlanBudgets& aBudgets, TimePoint aNow);

/// @param aWindow how long the tokens held should last
/// @param aLeaving hold no tokens beyond those of requests in progress
/// @return a report on all plans, after returning the tokens held beyond the need
std::vector<PlanUse>
reportUse(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving);

/// @return a report on the plans whose requests wait, or that changed since the last report: requests no longer wait,
/// or tokens were returned
std::vector<PlanUse>
reportUrgent(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving);

/// @return whether a recent report of the leader, less what was reserved and committed here since then, confirms that
/// the whole budget covers a request at its largest cost
bool
covers(const PlanBudget& aBudget, Tokens aTokens, TimePoint aNow) noexcept;

/// @return whether a recent report of the leader confirms that the whole budget has too few tokens left for a request
bool
confirmedExhausted(const PlanBudget& aBudget, Tokens aTokens, TimePoint aNow) noexcept;

} // namespace rhubarbarch::gateway
