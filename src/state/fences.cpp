#include "rhubarbarch/state/fences.h"

#include "rhubarbarch/state/replicated_state.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::state {

namespace {

bool
isRestInDoubt(const Sessions& aSessions, const RouterSession& aRouter, const Grant& aGrant)
{
  const auto settled = toNumber(aRouter.settledDirectory);
  const auto superseded = toNumber(aSessions.lastAgentSuperseded);
  const auto removed = toNumber(aSessions.lastAgentRemoved);
  return superseded > std::max(toNumber(aGrant.id), settled) || removed > std::max(toNumber(aGrant.directory), settled);
}

Tokens
openReservations(const RouterSession& aRouter, GrantId aGrant)
{
  Tokens open = 0;
  for (const auto& [agent, report] : aRouter.agents) {
    const auto found = report.open.find(aGrant);
    open += found == report.open.end() ? 0 : found->second;
  }
  return open;
}

// Returns the tokens that are confirmed unspent, and closes the grant if no reservation under it is open.
void
settleGrant(Ledger& aLedger, const RouterSession& aRouter, GrantId aGrant)
{
  auto* grant = findGrant(aLedger, aGrant);
  const auto open = openReservations(aRouter, aGrant);
  const auto rest = std::max<Tokens>(held(*grant) - grant->charged - open, 0);
  const auto unproved = grant->unprovedRest ? rest : std::min(rest, grant->unproved);
  returnTokens(aLedger, { aGrant, grant->returnedTotal + rest - unproved });
  if (open == 0) {
    close(aLedger, aGrant, unproved);
  }
}

void
settle(ReplicatedState& aState, SessionId aRouter)
{
  const auto found = aState.sessions.routers.find(aRouter);
  const auto& router = found->second;
  const bool allReported = std::ranges::all_of(router.agents, [](const auto& aItem) { return aItem.second.reported; });
  if (allReported) {
    for (const auto grant : grantsOf(aState.ledger, aRouter)) {
      settleGrant(aState.ledger, router, grant);
    }
  }
  if (grantsOf(aState.ledger, aRouter).empty()) {
    aState.sessions.routers.erase(found);
  }
}

void
removeAgentFromFence(ReplicatedState& aState, RouterSession& aRouter, SessionId aAgent, bool aDrained)
{
  const auto found = aRouter.agents.find(aAgent);
  if (found == aRouter.agents.end()) {
    return;
  }
  const auto report = found->second;
  aRouter.agents.erase(found);
  if (aDrained) {
    return;
  }
  for (const auto id : grantsOf(aState.ledger, aRouter.id)) {
    auto* grant = findGrant(aState.ledger, id);
    const auto open = report.open.find(id);
    grant->unprovedRest = grant->unprovedRest || !report.reported;
    grant->unproved += open == report.open.end() ? 0 : open->second;
  }
}

std::vector<SessionId>
fencedRouters(const Sessions& aSessions)
{
  std::vector<SessionId> fenced;
  for (const auto& [id, router] : aSessions.routers) {
    if (router.fenced) {
      fenced.push_back(id);
    }
  }
  return fenced;
}

// Applies charges even if the agent's session has ended: the reported tokens were spent.
void
acceptCharges(Ledger& aLedger, const RouterSession& aRouter, const GrantReport& aReport)
{
  const auto* grant = findGrant(std::as_const(aLedger), aReport.grant);
  if (grant != nullptr && grant->holder == aRouter.id) {
    charge(aLedger, { aReport.grant, aReport.charges });
  }
}

Tokens
reportedOpen(const SessionFenced& aReport, GrantId aGrant)
{
  const auto found = std::ranges::find(aReport.grants, aGrant, &GrantReport::grant);
  return found == aReport.grants.end() ? 0 : std::max<Tokens>(found->openReserved, 0);
}

// Open reservations only shrink after the fence, so a delayed report cannot raise them. A grant that a report does not
// contain has no open run.
void
acceptOpen(AgentFence& aFence, const SessionFenced& aReport)
{
  if (!aFence.reported) {
    for (const auto& report : aReport.grants) {
      aFence.open.emplace(report.grant, reportedOpen(aReport, report.grant));
    }
  }
  for (auto& entry : aFence.open) {
    entry.second = std::min(entry.second, reportedOpen(aReport, entry.first));
  }
  aFence.reported = true;
}

} // namespace

void
fence(ReplicatedState& aState, SessionId aRouter, LogIndex aIndex)
{
  auto& router = aState.sessions.routers.at(aRouter);
  router.fenced = true;
  router.fenceIndex = aIndex;
  for (const auto& [id, agent] : aState.sessions.agents) {
    if (!agent.drained) {
      router.agents.emplace(id, AgentFence{});
    }
  }
  for (const auto id : grantsOf(aState.ledger, aRouter)) {
    const auto& grant = aState.ledger.grants.at(id);
    beginFencing(aState.ledger, id, isRestInDoubt(aState.sessions, router, grant));
  }
  settle(aState, aRouter);
}

void
acceptReport(ReplicatedState& aState, const SessionFenced& aReport)
{
  const auto found = aState.sessions.routers.find(aReport.session);
  if (found == aState.sessions.routers.end() || !found->second.fenced) {
    return;
  }
  auto& router = found->second;
  const auto agent = router.agents.find(aReport.agentSession);
  for (const auto& report : aReport.grants) {
    acceptCharges(aState.ledger, router, report);
  }
  if (agent != router.agents.end()) {
    acceptOpen(agent->second, aReport);
  }
  settle(aState, aReport.session);
}

void
acceptDrained(ReplicatedState& aState, SessionId aAgent)
{
  for (const auto id : fencedRouters(aState.sessions)) {
    aState.sessions.routers.at(id).agents.erase(aAgent);
    settle(aState, id);
  }
}

void
endAgentSession(ReplicatedState& aState, SessionId aAgent, AgentSessionEnd aEnd, LogIndex aIndex)
{
  const auto found = aState.sessions.agents.find(aAgent);
  const bool drained = found->second.drained;
  aState.sessions.agents.erase(found);
  if (!drained) {
    auto& last =
      aEnd == AgentSessionEnd::kRemoved ? aState.sessions.lastAgentRemoved : aState.sessions.lastAgentSuperseded;
    last = aIndex;
  }
  for (const auto id : fencedRouters(aState.sessions)) {
    removeAgentFromFence(aState, aState.sessions.routers.at(id), aAgent, drained);
    settle(aState, id);
  }
}

} // namespace rhubarbarch::state
