#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <map>
#include <vector>

namespace rhubarbarch::gateway {

/// Tokens of one plan at this gateway. Free are `issued - returned - spent - reserved`.
struct PlanBudget
{
  Tokens issued = 0; ///< as the leader said; only grows
  Tokens returned = 0;
  Tokens spent = 0;
  Tokens reserved = 0;
  Tokens remaining = 0; ///< of the whole budget, as the leader last said
  bool remainingKnown = false;
  TimePoint remainingAt;
  Tokens waiting = 0;          ///< asked for by requests that wait now
  Tokens reportedReturned = 0; ///< in the last poll
  Tokens reportedWaiting = 0;  ///< likewise
  double demandPerSecond = 0;  ///< recent rate of reservations asked for
  Tokens demandNow = 0;        ///< asked for since the rate was last updated
};

/// The plans with a budget that callers have used here, or that the leader named.
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

/// Counts a request's reservation as demand, once, whether it is served or not.
void
noteDemand(PlanBudget& aBudget, Tokens aTokens) noexcept;

/// Reserves the most that a request can cost.
/// @return false when the free tokens do not cover it
bool
reserve(PlanBudget& aBudget, Tokens aTokens) noexcept;

/// Turns a reservation into what was spent; the rest is free again.
void
settle(PlanBudget& aBudget, Tokens aReserved, Tokens aSpent) noexcept;

/// Takes the leader's word on one plan. Gives back at once what no request needs if others wait for it.
/// @return whether something was given back; the leader should know soon
bool
apply(PlanBudget& aBudget, const PlanAllowance& aAllowance, TimePoint aNow) noexcept;

/// Updates the rates of demand; call it with every tick.
void
updateDemand(PlanBudgets& aBudgets, TimePoint aNow);

/// @param aWindow how long the tokens held should last
/// @param aLeaving hold nothing beyond requests in progress
/// @return a report on all plans, after giving back what is held beyond the need
std::vector<PlanUse>
reportUse(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving);

/// @return a report on the plans whose requests wait or no longer wait, or that gave something back, since the last one
std::vector<PlanUse>
reportUrgent(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving);

/// @return whether the whole fleet has too few tokens left for a request, as far as the leader knew lately
bool
provedExhausted(const PlanBudget& aBudget, Tokens aTokens, TimePoint aNow) noexcept;

} // namespace rhubarbarch::gateway
