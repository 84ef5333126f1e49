#include "rhubarbarch/state/sessions.h"

#include "rhubarbarch/state/fences.h"
#include "rhubarbarch/state/replicated_state.h"

#include <algorithm>

namespace rhubarbarch::state {

namespace {

// Superseded boots recorded per instance and role. A delayed RegisterSession of an older boot would be accepted as new,
// which takes a message delayed across this many restarts of the instance.
constexpr std::size_t kMaxSupersededBoots = 4;

std::string
bootKey(const RegisterSession& aSession)
{
  return std::to_string(static_cast<int>(aSession.role)) + "/" + aSession.instance;
}

bool
isSuperseded(const Sessions& aSessions, const RegisterSession& aSession)
{
  const auto found = aSessions.supersededBoots.find(bootKey(aSession));
  return found != aSessions.supersededBoots.end() &&
         std::ranges::find(found->second, aSession.boot) != found->second.end();
}

void
recordSuperseded(Sessions& aSessions, const RegisterSession& aNew, Boot aOld)
{
  auto& boots = aSessions.supersededBoots[bootKey(aNew)];
  boots.push_back(aOld);
  if (boots.size() > kMaxSupersededBoots) {
    boots.pop_front();
  }
}

std::vector<SessionId>
liveRouters(const Sessions& aSessions)
{
  std::vector<SessionId> live;
  for (const auto& [id, router] : aSessions.routers) {
    if (!router.fenced) {
      live.push_back(id);
    }
  }
  return live;
}

SessionOutcome
openRouter(ReplicatedState& aState, const RegisterSession& aSession, LogIndex aIndex)
{
  auto& sessions = aState.sessions;
  const auto current = std::ranges::find_if(sessions.routers, [&](const auto& aItem) {
    return !aItem.second.fenced && aItem.second.instance == aSession.instance;
  });
  if (current != sessions.routers.end()) {
    const auto id = current->first;
    if (current->second.boot == aSession.boot) {
      return { true, id, aIndex, {} };
    }
    recordSuperseded(sessions, aSession, current->second.boot);
    fence(aState, id, aIndex);
  }
  RouterSession router;
  router.id = SessionId{ toNumber(aIndex) };
  router.instance = aSession.instance;
  router.boot = aSession.boot;
  router.dataCentre = aSession.dataCentre;
  router.endpoint = aSession.endpoint;
  sessions.routers.emplace(router.id, router);
  return { true, router.id, aIndex, {} };
}

AgentSession
makeAgentSession(const RegisterSession& aSession, LogIndex aIndex)
{
  AgentSession agent;
  agent.entry.instance = aSession.instance;
  agent.entry.session = SessionId{ toNumber(aIndex) };
  agent.entry.boot = aSession.boot;
  agent.entry.dataCentre = aSession.dataCentre;
  agent.entry.endpoint = aSession.endpoint;
  agent.entry.upstream = aSession.upstream;
  return agent;
}

SessionOutcome
openAgent(ReplicatedState& aState, const RegisterSession& aSession, LogIndex aIndex)
{
  auto& sessions = aState.sessions;
  const auto* current = findAgent(sessions, aSession.instance);
  if (current != nullptr) {
    const auto old = current->entry;
    if (old.boot == aSession.boot) {
      return { true, old.session, aIndex, liveRouters(sessions) };
    }
    recordSuperseded(sessions, aSession, old.boot);
    endAgentSession(aState, old.session, AgentSessionEnd::kSuperseded, aIndex);
  }
  const auto agent = makeAgentSession(aSession, aIndex);
  sessions.agents.emplace(agent.entry.session, agent);
  sessions.directoryRevision = Revision{ toNumber(aIndex) };
  return { true, agent.entry.session, aIndex, liveRouters(sessions) };
}

bool
setLeaving(Sessions& aSessions, const std::vector<SessionId>& aAgents, bool aLeaving)
{
  bool changed = false;
  for (const auto id : aAgents) {
    const auto found = aSessions.agents.find(id);
    if (found != aSessions.agents.end() && !found->second.drained && found->second.entry.leaving != aLeaving) {
      found->second.entry.leaving = aLeaving;
      changed = true;
    }
  }
  return changed;
}

} // namespace

bool
isLiveRouter(const Sessions& aSessions, SessionId aSession)
{
  const auto found = aSessions.routers.find(aSession);
  return found != aSessions.routers.end() && !found->second.fenced;
}

bool
isLiveAgent(const Sessions& aSessions, SessionId aSession)
{
  return aSessions.agents.contains(aSession);
}

const AgentSession*
findAgent(const Sessions& aSessions, const InstanceId& aInstance)
{
  const auto found =
    std::ranges::find_if(aSessions.agents, [&](const auto& aItem) { return aItem.second.entry.instance == aInstance; });
  return found == aSessions.agents.end() ? nullptr : &found->second;
}

SessionOutcome
apply(ReplicatedState& aState, const OpenSession& aCommand, LogIndex aIndex)
{
  if (isSuperseded(aState.sessions, aCommand.session)) {
    return {};
  }
  switch (aCommand.session.role) {
    case Role::kRouter:
      return openRouter(aState, aCommand.session, aIndex);
    case Role::kAgent:
      return openAgent(aState, aCommand.session, aIndex);
    case Role::kController:
      break;
  }
  return {};
}

void
apply(ReplicatedState& aState, const FenceRouter& aCommand, LogIndex aIndex)
{
  if (isLiveRouter(aState.sessions, aCommand.session)) {
    fence(aState, aCommand.session, aIndex);
  }
}

void
apply(ReplicatedState& aState, const ReportFence& aCommand, LogIndex /*aIndex*/)
{
  acceptReport(aState, aCommand.report);
}

void
apply(ReplicatedState& aState, const SetLeaving& aCommand, LogIndex aIndex)
{
  const bool leavingChanged = setLeaving(aState.sessions, aCommand.leaving, true);
  const bool presentChanged = setLeaving(aState.sessions, aCommand.present, false);
  if (leavingChanged || presentChanged) {
    aState.sessions.directoryRevision = Revision{ toNumber(aIndex) };
  }
}

void
apply(ReplicatedState& aState, const MarkDrained& aCommand, LogIndex aIndex)
{
  const auto found = aState.sessions.agents.find(aCommand.session);
  if (found == aState.sessions.agents.end() || found->second.drained) {
    return;
  }
  found->second.drained = true;
  found->second.entry.leaving = true;
  aState.sessions.directoryRevision = Revision{ toNumber(aIndex) };
  acceptDrained(aState, aCommand.session);
}

void
apply(ReplicatedState& aState, const RemoveAgent& aCommand, LogIndex aIndex)
{
  if (isLiveAgent(aState.sessions, aCommand.session)) {
    endAgentSession(aState, aCommand.session, AgentSessionEnd::kRemoved, aIndex);
    aState.sessions.directoryRevision = Revision{ toNumber(aIndex) };
  }
}

void
apply(ReplicatedState& aState, const MarkSettled& aCommand, LogIndex /*aIndex*/)
{
  const auto found = aState.sessions.routers.find(aCommand.session);
  if (found != aState.sessions.routers.end() && !found->second.fenced) {
    found->second.settledDirectory = std::max(found->second.settledDirectory, aCommand.directory);
  }
}

} // namespace rhubarbarch::state
