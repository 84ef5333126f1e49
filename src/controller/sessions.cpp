#include "controllers.h"

#include <algorithm>

namespace rhubarbarch::controller {

namespace {

// The checks iterate over all sessions; with 5,000 sessions, one pass per tick would cost several percent of a core.
constexpr Duration kCheckPeriod{ 100 };

void
registerSession(Context& aContext, const Address& aFrom, const RegisterSession& aRequest)
{
  propose(aContext,
          state::OpenSession{ aRequest },
          [aFrom, boot = aRequest.boot](Context& aDone, const state::Outcome& aOutcome) {
            const auto& outcome = std::get<state::SessionOutcome>(aOutcome);
            if (!outcome.accepted) {
              log(aDone, "register_refused", { { "instance", aFrom.instance }, { "reason", "superseded boot" } });
              return;
            }
            aDone.memory.sessions[outcome.session].lastSeen = aDone.now;
            send(aDone, aFrom, SessionRegistered{ boot, outcome.session, outcome.readIndex, outcome.liveRouters });
          });
}

void
acceptReport(Context& aContext, const SessionFenced& aReport)
{
  const auto found = aContext.state.sessions.routers.find(aReport.session);
  if (found == aContext.state.sessions.routers.end() || !found->second.fenced) {
    return;
  }
  propose(
    aContext,
    state::ReportFence{ aReport },
    [session = aReport.session, agent = aReport.agentSession](Context& aDone, const state::Outcome& /*aOutcome*/) {
      if (!aDone.state.sessions.routers.contains(session)) {
        aDone.memory.fencesSent.erase(session);
        log(aDone, "fence_settled", { { "session", toNumber(session) }, { "last_agent_session", toNumber(agent) } });
      }
    });
}

TimePoint
lastContactAt(const Context& aContext, SessionId aRouter)
{
  const auto found = aContext.memory.sessions.find(aRouter);
  const auto byAgent = found == aContext.memory.sessions.end() ? TimePoint{} : found->second.lastAgentContactAt;
  return std::max(lastSeen(aContext, aRouter), byAgent);
}

void
fenceLostRouters(Context& aContext)
{
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    const auto sinceContact = aContext.now - lastContactAt(aContext, id);
    if (router.fenced || sinceContact < aContext.options.sessions.routerTimeout ||
        aContext.memory.proposedSessions.contains(id)) {
      continue;
    }
    log(aContext,
        "fence_begun",
        { { "session", toNumber(id) }, { "instance", router.instance }, { "silent_ms", sinceContact.count() } });
    proposeForSession(aContext, id, state::FenceRouter{ id });
  }
}

bool
mustReport(const state::AgentFence& aFence)
{
  return !aFence.reported || std::ranges::any_of(aFence.open, [](const auto& aItem) { return aItem.second > 0; });
}

void
sendFences(Context& aContext)
{
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    if (!router.fenced) {
      continue;
    }
    auto& sent = aContext.memory.fencesSent[id];
    if (aContext.now - sent < aContext.options.sessions.fenceRepeat) {
      continue;
    }
    sent = aContext.now;
    for (const auto& [agent, report] : router.agents) {
      if (mustReport(report)) {
        const auto& entry = aContext.state.sessions.agents.at(agent).entry;
        send(aContext, { entry.instance, Role::kAgent }, FenceSession{ router.fenceIndex, id });
      }
    }
  }
}

bool
shouldLeave(const Context& aContext, const state::AgentSession& aAgent)
{
  const auto& entry = aAgent.entry;
  if (aContext.platform.leaving.contains(entry.instance)) {
    return true;
  }
  const auto found = aContext.memory.sessions.find(entry.session);
  if (found != aContext.memory.sessions.end() && found->second.polled && found->second.load.leaving) {
    return true;
  }
  return aContext.now - lastSeen(aContext, entry.session) >= aContext.options.sessions.agentTimeout;
}

// A new leader has not received any poll. An agent's flag stays unchanged until the agent polls or its timeout expires.
bool
isLivenessKnown(const Context& aContext, SessionId aAgent)
{
  const auto found = aContext.memory.sessions.find(aAgent);
  const bool hasPolled = found != aContext.memory.sessions.end() && found->second.polled;
  return hasPolled || aContext.now - aContext.memory.leaderSince >= aContext.options.sessions.agentTimeout;
}

void
updateLeavingAgents(Context& aContext)
{
  state::SetLeaving command;
  for (const auto& [id, agent] : aContext.state.sessions.agents) {
    if (agent.drained || !isLivenessKnown(aContext, id) || aContext.memory.proposedSessions.contains(id)) {
      continue;
    }
    const bool leaving = shouldLeave(aContext, agent);
    if (leaving != agent.entry.leaving) {
      (leaving ? command.leaving : command.present).push_back(id);
    }
  }
  if (command.leaving.empty() && command.present.empty()) {
    return;
  }
  auto changed = command.leaving;
  changed.insert(changed.end(), command.present.begin(), command.present.end());
  aContext.memory.proposedSessions.insert(changed.begin(), changed.end());
  log(aContext, "agents_marked", { { "leaving", command.leaving.size() }, { "present", command.present.size() } });
  propose(aContext, command, [changed](Context& aDone, const state::Outcome& /*aOutcome*/) {
    for (const auto id : changed) {
      aDone.memory.proposedSessions.erase(id);
    }
  });
}

void
removeMissingAgents(Context& aContext)
{
  const auto& platform = aContext.platform;
  for (const auto& [id, agent] : aContext.state.sessions.agents) {
    const auto& instance = agent.entry.instance;
    const bool listed = platform.live.contains(instance) || platform.leaving.contains(instance);
    const auto sinceContact = aContext.now - lastSeen(aContext, id);
    if (!platform.everSeen.contains(instance) || listed || sinceContact < aContext.options.sessions.agentRemovalTime) {
      continue;
    }
    log(aContext,
        "agent_removed",
        { { "instance", instance }, { "silent_ms", sinceContact.count() } },
        Severity::kWarning);
    proposeForSession(aContext, id, state::RemoveAgent{ id });
  }
}

} // namespace

bool
handleSessions(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  if (const auto* request = std::get_if<RegisterSession>(&aMessage)) {
    registerSession(aContext, aFrom, *request);
    return true;
  }
  if (const auto* report = std::get_if<SessionFenced>(&aMessage)) {
    acceptReport(aContext, *report);
    return true;
  }
  return false;
}

void
tickSessions(Context& aContext)
{
  if (!isDue(aContext, aContext.memory.sessionsChecked, kCheckPeriod)) {
    return;
  }
  fenceLostRouters(aContext);
  sendFences(aContext);
  updateLeavingAgents(aContext);
  removeMissingAgents(aContext);
}

} // namespace rhubarbarch::controller
