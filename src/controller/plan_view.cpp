#include "plan_view.h"

#include <algorithm>
#include <map>

namespace rhubarbarch::controller {

namespace {

// The result is too high by the charges that are not committed yet; a recall returns only tokens that are actually
// idle.
void
addHeld(const Context& aContext, const state::Account& aAccount, std::map<SessionId, Holder>& aHolders)
{
  for (const auto id : aAccount.grants) {
    const auto& grant = *state::findGrant(aContext.state.ledger, id);
    if (grant.state == state::GrantState::kOpen) {
      aHolders[grant.holder].idle += state::held(grant) - grant.charged;
    }
  }
}

void
addDemand(const Context& aContext, const PlanMemory& aPlan, std::map<SessionId, Holder>& aHolders)
{
  for (const auto& [session, demand] : aPlan.demand) {
    if (aContext.now - demand.at > aContext.options.grants.demandRetention ||
        !state::isLiveRouter(aContext.state.sessions, session)) {
      continue;
    }
    auto& holder = aHolders[session];
    holder.tokensPerSecond = demand.tokensPerSecond;
    holder.idle = std::max<Tokens>(holder.idle - demand.reserved, 0);
  }
}

bool
isConnected(const Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.sessions.find(aSession);
  // Half the router timeout: a partitioned router can neither take nor return tokens.
  return found != aContext.memory.sessions.end() &&
         aContext.now - found->second.lastSeen <= aContext.options.sessions.routerTimeout / 2;
}

} // namespace

std::vector<const state::Grant*>
openGrants(const Context& aContext, const PlanId& aPlan, SessionId aSession)
{
  std::vector<const state::Grant*> grants;
  for (const auto id : state::grantsOf(aContext.state.ledger, aSession)) {
    const auto* grant = state::findGrant(aContext.state.ledger, id);
    if (grant->plan == aPlan && grant->state == state::GrantState::kOpen) {
      grants.push_back(grant);
    }
  }
  return grants;
}

PlacementInput
placementInput(const Context& aContext, const PlanId& aPlan, SessionId aRequester)
{
  PlacementInput input;
  const auto* account = state::findAccount(aContext.state.ledger, aPlan);
  if (account == nullptr) {
    return input;
  }
  std::map<SessionId, Holder> holders;
  addHeld(aContext, *account, holders);
  input.available = state::available(*account);
  const auto plan = aContext.memory.plans.find(aPlan);
  if (plan != aContext.memory.plans.end()) {
    addDemand(aContext, plan->second, holders);
    input.available -= plan->second.proposed;
    input.largestWanted = std::max(plan->second.largestWanted, plan->second.largestWantedNow);
  }
  if (aRequester != SessionId{}) {
    holders.try_emplace(aRequester);
  }
  for (auto& [session, holder] : holders) {
    holder.session = session;
    holder.connected = session == aRequester || isConnected(aContext, session);
    input.holders.push_back(holder);
  }
  return input;
}

PlacementRule
placementRule(const Context& aContext)
{
  return { aContext.options.grants.advancePercent, aContext.options.grants.nearEndRequests };
}

Revision
heldDirectory(const Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.sessions.find(aSession);
  return found == aContext.memory.sessions.end() ? Revision{} : found->second.directoryRevision;
}

} // namespace rhubarbarch::controller
