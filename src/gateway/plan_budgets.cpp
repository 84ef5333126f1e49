#include "plan_budgets.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace rhubarbarch::gateway {

namespace {

/// Period in which demand is counted before the rate is updated.
constexpr Duration kDemandPeriod{ 500 };
/// Time constant of the smoothed demand. What a gateway holds is lost when it is killed, so a single large request must
/// not make it hold a multiple of itself; the tokens of a burst are asked for when they are needed.
constexpr double kDemandSeconds = 4;
/// Tokens held beyond the target before they are given back, as a share of the target: each return is a log entry.
constexpr Tokens kReturnDivisor = 4;
/// Older words of the leader on the remaining budget prove nothing.
constexpr Duration kRemainingKept{ 1000 };

Tokens
windowTokens(const PlanBudget& aBudget, Duration aWindow)
{
  const auto seconds = std::chrono::duration<double>(aWindow).count();
  return static_cast<Tokens>(aBudget.demandPerSecond * seconds);
}

void
giveBack(PlanBudget& aBudget, Tokens aKept) noexcept
{
  aBudget.returned += std::max<Tokens>(freeTokens(aBudget) - aKept, 0);
}

/// Gives back what is held beyond the need, and reports the rest.
PlanUse
use(const PlanId& aPlan, PlanBudget& aBudget, Duration aWindow, bool aLeaving)
{
  // A gateway that leaves still serves the requests that it takes.
  const auto window = aLeaving ? aBudget.waiting : std::max(windowTokens(aBudget, aWindow), aBudget.waiting);
  if (freeTokens(aBudget) > window + window / kReturnDivisor) {
    giveBack(aBudget, window);
  }
  aBudget.reportedReturned = aBudget.returned;
  aBudget.reportedWaiting = aBudget.waiting;
  const auto target = aBudget.spent + aBudget.reserved + window;
  return { aPlan, aBudget.returned, aBudget.spent, aBudget.reserved, target, aBudget.waiting, aBudget.issued };
}

} // namespace

void
noteDemand(PlanBudget& aBudget, Tokens aTokens) noexcept
{
  aBudget.demandNow += aTokens;
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
  if (aAllowance.recall) {
    giveBack(aBudget, aBudget.waiting);
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
    const auto rate = static_cast<double>(budget.demandNow) / seconds;
    budget.demandPerSecond += (1 - std::exp(-seconds / kDemandSeconds)) * (rate - budget.demandPerSecond);
    budget.demandNow = 0;
  }
}

std::vector<PlanUse>
reportUse(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving)
{
  std::vector<PlanUse> uses;
  std::ranges::transform(aBudgets.plans, std::back_inserter(uses), [&](auto& aItem) {
    return use(aItem.first, aItem.second, aWindow, aLeaving);
  });
  return uses;
}

std::vector<PlanUse>
reportUrgent(PlanBudgets& aBudgets, Duration aWindow, bool aLeaving)
{
  std::vector<PlanUse> uses;
  for (auto& [plan, budget] : aBudgets.plans) {
    if (budget.waiting > 0 || budget.reportedWaiting > 0 || budget.returned > budget.reportedReturned) {
      uses.push_back(use(plan, budget, aWindow, aLeaving));
    }
  }
  return uses;
}

bool
provedExhausted(const PlanBudget& aBudget, Tokens aTokens, TimePoint aNow) noexcept
{
  return aBudget.remainingKnown && aNow - aBudget.remainingAt < kRemainingKept && aBudget.remaining < aTokens;
}

} // namespace rhubarbarch::gateway
