#include "plan_budgets.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <numeric>

namespace rhubarbarch::gateway {

namespace {

/// Period over which demand is counted before the rate is updated.
constexpr Duration kDemandPeriod{ 500 };
/// Time constant of the smoothed demand. The tokens of a killed gateway are lost, so a single large request must not
/// make it hold a multiple of that request's tokens; the tokens for a burst are requested when they are needed.
constexpr double kDemandTimeConstantSeconds = 4;
/// Free tokens are returned when they exceed the target by more than target / kReturnDivisor: each return costs the
/// controllers a log entry.
constexpr Tokens kReturnDivisor = 4;
/// Maximum age at which the leader's report of the remaining budget counts as confirmation.
constexpr Duration kMaxRemainingAge{ 1000 };

Tokens
windowTokens(const PlanBudget& aBudget, Duration aWindow)
{
  const auto seconds = std::chrono::duration<double>(aWindow).count();
  return static_cast<Tokens>(aBudget.demandPerSecond * seconds);
}

void
returnExcess(PlanBudget& aBudget, Tokens aRetained) noexcept
{
  aBudget.returned += std::max<Tokens>(freeTokens(aBudget) - aRetained, 0);
}

/// Returns the tokens held beyond the need, and reports on the plan.
PlanUse
reportPlan(const PlanId& aPlan, PlanBudget& aBudget, Duration aWindow, bool aLeaving)
{
  // A leaving gateway still serves the requests that it accepts.
  const auto window = aLeaving ? aBudget.waiting : std::max(windowTokens(aBudget, aWindow), aBudget.waiting);
  if (freeTokens(aBudget) > window + window / kReturnDivisor) {
    returnExcess(aBudget, window);
  }
  aBudget.reportedReturned = aBudget.returned;
  aBudget.reportedWaiting = aBudget.waiting;
  const auto target = aBudget.spent + aBudget.reserved + window;
  return { aPlan,  aBudget.returned, aBudget.spent,  aBudget.reserved,
           target, aBudget.waiting,  aBudget.issued, aBudget.committed };
}

} // namespace

Tokens
committedTokens(const PlanBudgets& aBudgets)
{
  return std::accumulate(aBudgets.plans.begin(), aBudgets.plans.end(), Tokens{ 0 }, [](Tokens aSum, const auto& aItem) {
    return aSum + aItem.second.committed;
  });
}

void
recordDemand(PlanBudget& aBudget, Tokens aTokens) noexcept
{
  aBudget.demandSinceUpdate += aTokens;
}

bool
reserve(PlanBudget& aBudget, Tokens aTokens) noexcept
{
  if (freeTokens(aBudget) < aTokens) {
    return false;
  }
  aBudget.reserved += aTokens;
  return true;
}

void
settle(PlanBudget& aBudget, Tokens aReserved, Tokens aSpent) noexcept
{
  aBudget.reserved -= aReserved;
  aBudget.spent += std::min(aSpent, aReserved);
}

bool
apply(PlanBudget& aBudget, const PlanAllowance& aAllowance, TimePoint aNow) noexcept
{
  const auto returned = aBudget.returned;
  aBudget.issued = std::max(aBudget.issued, aAllowance.issued);
  aBudget.remaining = aAllowance.remaining;
  aBudget.remainingKnown = true;
  aBudget.remainingAt = aNow;
  aBudget.counted = aAllowance.counted;
  if (aAllowance.recall) {
    returnExcess(aBudget, aBudget.waiting);
  }
  return aBudget.returned > returned;
}

void
updateDemand(PlanBudgets& aBudgets, TimePoint aNow)
{
  const auto passed = aNow - aBudgets.demandUpdatedAt;
  if (passed < kDemandPeriod) {
    return;
  }
  aBudgets.demandUpdatedAt = aNow;
  const auto seconds = std::chrono::duration<double>(passed).count();
  for (auto& [plan, budget] : aBudgets.plans) {
    const auto rate = static_cast<double>(budget.demandSinceUpdate) / seconds;
    budget.demandPerSecond += (1 - std::exp(-seconds / kDemandTimeConstantSeconds)) * (rate - budget.demandPerSecond);
    budget.demandSinceUpdate = 0;
  }
}

std::vector<PlanUse>
reportUse(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving)
{
  std::vector<PlanUse> uses;
  std::ranges::transform(aBudgets.plans, std::back_inserter(uses), [&](auto& aItem) {
    return reportPlan(aItem.first, aItem.second, aWindow, aLeaving);
  });
  return uses;
}

std::vector<PlanUse>
reportUrgent(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving)
{
  std::vector<PlanUse> uses;
  for (auto& [plan, budget] : aBudgets.plans) {
    if (budget.waiting > 0 || budget.reportedWaiting > 0 || budget.returned > budget.reportedReturned) {
      uses.push_back(reportPlan(plan, budget, aWindow, aLeaving));
    }
  }
  return uses;
}

bool
covers(const PlanBudget& aBudget, Tokens aTokens, TimePoint aNow) noexcept
{
  if (!aBudget.remainingKnown || aNow - aBudget.remainingAt >= kMaxRemainingAge) {
    return false;
  }
  // A leader of the version before counts what is spent and reserved, and no commitments.
  const auto counted = aBudget.counted < 0 ? aBudget.spent + aBudget.reserved : aBudget.counted;
  const auto used = aBudget.spent + aBudget.reserved + aBudget.committed;
  return aBudget.remaining - std::max<Tokens>(used - counted, 0) >= aTokens;
}

bool
confirmedExhausted(const PlanBudget& aBudget, Tokens aTokens, TimePoint aNow) noexcept
{
  return aBudget.remainingKnown && aNow - aBudget.remainingAt < kMaxRemainingAge && aBudget.remaining < aTokens;
}

} // namespace rhubarbarch::gateway
