#include "rhubarbarch/state/lists.h"

#include "rhubarbarch/state/replicated_state.h"

#include <algorithm>
#include <set>

namespace rhubarbarch::state {

namespace {

const ListOutcome*
findOutcome(const std::deque<RequestOutcome>& aOutcomes, const std::string& aRequestId)
{
  const auto found = std::ranges::find(aOutcomes, aRequestId, &RequestOutcome::requestId);
  return found == aOutcomes.end() ? nullptr : &found->outcome;
}

void
storeOutcome(std::deque<RequestOutcome>& aOutcomes, const std::string& aRequestId, const ListOutcome& aOutcome)
{
  aOutcomes.push_back({ aRequestId, aOutcome });
  if (aOutcomes.size() > kMaxStoredOutcomes) {
    aOutcomes.pop_front();
  }
}

ListOutcome
refused(Revision aInForce, ErrorCode aCode, std::string aDetail)
{
  return { false, aInForce, aCode, std::move(aDetail) };
}

ListOutcome
wrongRevision(Revision aInForce, Revision aExpected)
{
  return refused(aInForce,
                 ErrorCode::kConflict,
                 "expected revision " + std::to_string(toNumber(aExpected)) + ", in force is " +
                   std::to_string(toNumber(aInForce)));
}

template<typename Entry>
const Entry*
duplicatePlan(const std::vector<Entry>& aEntries)
{
  std::set<PlanId> seen;
  const auto found =
    std::ranges::find_if(aEntries, [&](const Entry& aEntry) { return !seen.insert(aEntry.plan).second; });
  return found == aEntries.end() ? nullptr : &*found;
}

ListOutcome
replacePlans(ReplicatedState& aState, const SetPlans& aCommand, LogIndex aIndex)
{
  auto& lists = aState.lists.lists;
  if (aCommand.expected != lists.plansRevision) {
    return wrongRevision(lists.plansRevision, aCommand.expected);
  }
  if (const auto* duplicate = duplicatePlan(aCommand.plans)) {
    return refused(lists.plansRevision, ErrorCode::kInvalidArgument, "plan '" + duplicate->plan + "' stands twice");
  }
  lists.plans = aCommand.plans;
  lists.plansRevision = Revision{ toNumber(aIndex) };
  return { true, lists.plansRevision, {}, {} };
}

// Finds the first budget below the plan's settled, in-doubt and granted tokens.
const UseEntry*
uncoveredBudget(const Ledger& aLedger, const std::vector<UseEntry>& aUses)
{
  const auto found = std::ranges::find_if(aUses, [&](const UseEntry& aUse) {
    const auto* account = findAccount(aLedger, aUse.plan);
    return aUse.budgetTokens < (account == nullptr ? 0 : committed(*account));
  });
  return found == aUses.end() ? nullptr : &*found;
}

void
setBudgets(Ledger& aLedger, const std::vector<UseEntry>& aOld, const std::vector<UseEntry>& aNew)
{
  for (const auto& use : aOld) {
    aLedger.accounts[use.plan].listed = false;
  }
  for (const auto& use : aNew) {
    auto& account = aLedger.accounts[use.plan];
    account.listed = true;
    account.budget = use.budgetTokens;
  }
}

ListOutcome
replaceUses(ReplicatedState& aState, const SetUses& aCommand, LogIndex aIndex)
{
  auto& lists = aState.lists.lists;
  if (aCommand.expected != lists.usesRevision) {
    return wrongRevision(lists.usesRevision, aCommand.expected);
  }
  if (const auto* duplicate = duplicatePlan(aCommand.uses)) {
    return refused(lists.usesRevision, ErrorCode::kInvalidArgument, "plan '" + duplicate->plan + "' stands twice");
  }
  if (const auto* use = uncoveredBudget(aState.ledger, aCommand.uses)) {
    const auto* account = findAccount(aState.ledger, use->plan);
    return refused(lists.usesRevision,
                   ErrorCode::kBudget,
                   "plan '" + use->plan + "': budget " + std::to_string(use->budgetTokens) +
                     " is below what is settled, granted or in doubt (" +
                     std::to_string(account == nullptr ? 0 : committed(*account)) + ")");
  }
  setBudgets(aState.ledger, lists.uses, aCommand.uses);
  lists.uses = aCommand.uses;
  lists.routes = aCommand.routes;
  lists.usesRevision = Revision{ toNumber(aIndex) };
  return { true, lists.usesRevision, {}, {} };
}

} // namespace

ListOutcome
apply(ReplicatedState& aState, const SetPlans& aCommand, LogIndex aIndex)
{
  if (const auto* earlier = findOutcome(aState.lists.planOutcomes, aCommand.requestId)) {
    return *earlier;
  }
  const auto outcome = replacePlans(aState, aCommand, aIndex);
  storeOutcome(aState.lists.planOutcomes, aCommand.requestId, outcome);
  return outcome;
}

ListOutcome
apply(ReplicatedState& aState, const SetUses& aCommand, LogIndex aIndex)
{
  if (const auto* earlier = findOutcome(aState.lists.useOutcomes, aCommand.requestId)) {
    return *earlier;
  }
  const auto outcome = replaceUses(aState, aCommand, aIndex);
  storeOutcome(aState.lists.useOutcomes, aCommand.requestId, outcome);
  return outcome;
}

} // namespace rhubarbarch::state
