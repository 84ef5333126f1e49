#include "control_link.h"

#include "status.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace rhubarbarch::agent {

namespace {

/// Minimum time between two leader hints that are followed at once. It limits the message rate when two controllers
/// name each other as leader.
constexpr Duration kLeaderHintPeriod{ 50 };

void
selectController(Step& aStep, std::size_t aIndex)
{
  auto& link = aStep.state.control;
  link.current = aIndex;
  link.lastReplyAt = aStep.now;
  link.nextSend = aStep.now;
}

void
selectNextController(Step& aStep)
{
  const auto count = aStep.state.options.controllers.size();
  selectController(aStep, count == 0 ? 0 : (aStep.state.control.current + 1) % count);
}

void
sendRegistration(Step& aStep)
{
  const auto& options = aStep.state.options;
  aStep.send(
    leader(aStep.state),
    RegisterSession{
      options.instance, aStep.state.boot, Role::kAgent, options.dataCentre, options.endpoint, options.upstream });
}

bool
isConnected(const Peers& aPeers, const InstanceId& aRouter)
{
  const auto found = aPeers.routers.find({ aRouter, Role::kRouter });
  return found != aPeers.routers.end() && found->second.connected;
}

AgentLoad
agentLoad(const State& aState)
{
  AgentLoad load;
  load.loaded = aState.engine.load.loaded;
  load.reservedKvBytes = aState.table.reservedKvBytes;
  load.queueLength = static_cast<std::int64_t>(aState.table.queue.size());
  load.runs = static_cast<std::int64_t>(aState.table.active.size());
  load.leaving = aState.leaving;
  load.drained = isDrained(aState);
  std::ranges::copy_if(aState.control.silentRouters, std::back_inserter(load.heardRouters), [&](const auto& aRouter) {
    return isConnected(aState.peers, aRouter);
  });
  return load;
}

void
sendPoll(Step& aStep)
{
  auto& link = aStep.state.control;
  ConfigPoll poll;
  poll.instance = aStep.state.options.instance;
  poll.role = Role::kAgent;
  poll.session = aStep.state.sessions.own;
  poll.number = ++link.polls;
  poll.readIndex = link.readIndex;
  poll.plansRevision = link.plansRevision;
  poll.usesRevision = link.usesRevision;
  poll.load = agentLoad(aStep.state);
  if (poll.load.drained && link.drainedPoll == 0) {
    link.drainedPoll = poll.number;
  }
  aStep.send(leader(aStep.state), std::move(poll));
}

void
onSessionLost(Step& aStep, LogIndex aReadIndex)
{
  aStep.state.sessions.registered = false;
  aStep.state.sessions.lostIndex = std::max(aStep.state.sessions.readIndex, aReadIndex);
  aStep.state.control.nextSend = aStep.now;
  aStep.out.emplace_back(
    Log{ { Severity::kWarning, "session_lost", { { "session", toNumber(aStep.state.sessions.own) } } } });
}

} // namespace

Address
leader(const State& aState)
{
  const auto& controllers = aState.options.controllers;
  return { controllers.empty() ? InstanceId{} : controllers[aState.control.current % controllers.size()],
           Role::kController };
}

bool
isController(const State& aState, const Address& aFrom)
{
  return aFrom.role == Role::kController &&
         std::ranges::find(aState.options.controllers, aFrom.instance) != aState.options.controllers.end();
}

void
pollNow(Step& aStep)
{
  auto& link = aStep.state.control;
  if (aStep.state.options.controllers.empty()) {
    return;
  }
  link.nextSend = aStep.now + aStep.state.options.pollPeriod;
  if (aStep.state.sessions.registered) {
    sendPoll(aStep);
  } else {
    sendRegistration(aStep);
  }
}

void
renewRegistration(Step& aStep)
{
  sendRegistration(aStep);
}

void
onControlTick(Step& aStep)
{
  const auto& link = aStep.state.control;
  if (aStep.now - link.lastReplyAt >= aStep.state.options.controllerTimeout) {
    selectNextController(aStep);
  }
  if (aStep.now >= link.nextSend) {
    pollNow(aStep);
  }
}

void
onNotLeader(Step& aStep, const Address& aFrom, const NotLeader& aReply)
{
  // A late reply of a controller that the agent no longer uses must not change the selection.
  if (aFrom != leader(aStep.state)) {
    return;
  }
  const auto& controllers = aStep.state.options.controllers;
  const auto found = std::ranges::find(controllers, aReply.leader);
  auto& link = aStep.state.control;
  if (found == controllers.end() || aReply.leader == aFrom.instance) {
    // The controller knows no leader; the agent polls the next controller after the usual period.
    selectNextController(aStep);
    link.nextSend = aStep.now + aStep.state.options.pollPeriod;
    return;
  }
  selectController(aStep, static_cast<std::size_t>(found - controllers.begin()));
  link.nextSend = std::max(aStep.now, link.nextImmediateHint);
  link.nextImmediateHint = link.nextSend + kLeaderHintPeriod;
  if (link.nextSend <= aStep.now) {
    pollNow(aStep);
  }
}

void
onRegistered(Step& aStep, const Address& aFrom, const SessionRegistered& aReply)
{
  auto& sessions = aStep.state.sessions;
  const bool newer = toNumber(aReply.session) > toNumber(sessions.own) ||
                     (aReply.session == sessions.own && toNumber(aReply.readIndex) >= toNumber(sessions.readIndex));
  const bool mine = aReply.boot == aStep.state.boot && toNumber(aReply.session) != 0;
  if (!isController(aStep.state, aFrom) || !mine || !newer) {
    return;
  }
  // A reply read before the loss of the session could admit routers that have been fenced since.
  if (!sessions.registered && aReply.readIndex <= sessions.lostIndex && toNumber(sessions.lostIndex) != 0) {
    return;
  }
  const bool first = !sessions.registered;
  sessions.own = aReply.session;
  sessions.readIndex = aReply.readIndex;
  sessions.live = { aReply.liveRouters.begin(), aReply.liveRouters.end() };
  std::erase_if(sessions.fenced, [&](SessionId aSession) {
    return toNumber(aSession) <= toNumber(sessions.readIndex) && !sessions.live.contains(aSession);
  });
  aStep.state.control.lastReplyAt = aStep.now;
  if (!first) {
    return;
  }
  sessions.registered = true;
  aStep.state.control.firstPoll = aStep.state.control.polls + 1;
  aStep.state.peers.statusDue = true;
  aStep.out.emplace_back(Log{ { Severity::kInfo,
                                "registered",
                                { { "session", toNumber(sessions.own) },
                                  { "read_index", toNumber(sessions.readIndex) },
                                  { "live_routers", sessions.live.size() } } } });
  pollNow(aStep);
}

void
onConfigState(Step& aStep, const Address& aFrom, const ConfigState& aReply)
{
  auto& link = aStep.state.control;
  const bool otherSession = aReply.session != SessionId{} && aReply.session != aStep.state.sessions.own;
  const bool current = !otherSession && aReply.number >= link.firstPoll && aReply.number <= link.polls;
  if (!isController(aStep.state, aFrom) || !aStep.state.sessions.registered || !current) {
    return;
  }
  if (aFrom == leader(aStep.state)) {
    link.lastReplyAt = aStep.now;
  }
  if (!aReply.sessionLive) {
    onSessionLost(aStep, aReply.readIndex);
    return;
  }
  link.configured = true;
  link.silentRouters = aReply.silentRouters;
  link.drainedAcked = link.drainedAcked || (link.drainedPoll != 0 && aReply.number >= link.drainedPoll);
  link.readIndex = std::max(link.readIndex, aReply.readIndex);
  if (aReply.hasLists) {
    link.plansRevision = std::max(link.plansRevision, aReply.lists.plansRevision);
    link.usesRevision = std::max(link.usesRevision, aReply.lists.usesRevision);
  }
}

} // namespace rhubarbarch::agent
