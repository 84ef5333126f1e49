#include "status.h"

#include "admission.h"
#include "charge.h"
#include "control_link.h"

#include <algorithm>

namespace rhubarbarch::agent {

namespace {

AgentStatus
statusOf(const State& aState)
{
  AgentStatus status;
  status.boot = aState.boot;
  status.session = aState.sessions.own;
  status.leaving = aState.leaving;
  status.queueLength = static_cast<std::int64_t>(aState.table.queue.size());
  status.runs = static_cast<std::int64_t>(aState.table.active.size());
  status.reservedKvBytes = aState.table.reservedKvBytes;
  status.kvCapacityBytes = kvLimit(aState);
  status.loaded = aState.engine.load.loaded;
  status.cachedPrefixes = { aState.engine.prefixes.begin(), aState.engine.prefixes.end() };
  return status;
}

void
sendStatus(Step& aStep)
{
  auto& peers = aStep.state.peers;
  peers.nextStatus = aStep.now + aStep.state.options.statusPeriod;
  peers.statusDue = false;
  if (!aStep.state.sessions.registered) {
    return;
  }
  const auto status = statusOf(aStep.state);
  for (const auto& [address, peer] : peers.routers) {
    aStep.send(address, status);
  }
}

void
removeDisconnectedRouters(Step& aStep)
{
  std::erase_if(aStep.state.peers.routers, [&](const auto& aEntry) {
    const auto& peer = aEntry.second;
    return !peer.connected && aStep.now - peer.lastContactAt >= aStep.state.options.routerRetention;
  });
}

/// Whether the charge of a finished run is settled, and each of its routers acknowledged RunDone or is lost.
bool
isDelivered(const Step& aStep, const Run& aRun)
{
  const auto lost = [&](const Address& aRouter, SessionId aSession) {
    return isRouterLost(aStep.state, aRouter, aSession, aStep.now);
  };
  const bool receiver = aRun.receiverAcked || lost(aRun.receiver, aRun.receiverSession);
  const bool owner = aRun.ownerAcked || lost(aRun.owner, aRun.request.routerSession);
  return aRun.settled && receiver && owner;
}

void
updatePrefixes(Step& aStep, const CacheEvent& aEvent)
{
  auto& prefixes = aStep.state.engine.prefixes;
  prefixes.remove(aEvent.prefixHash);
  if (!aEvent.stored) {
    return;
  }
  prefixes.push_front(aEvent.prefixHash);
  if (prefixes.size() > aStep.state.options.maxCachedPrefixes) {
    prefixes.pop_back();
  }
}

} // namespace

void
onPeerUp(Step& aStep, const Address& aPeer)
{
  if (aPeer.role != Role::kRouter) {
    return;
  }
  auto& peer = aStep.state.peers.routers[aPeer];
  peer.connected = true;
  peer.lastContactAt = aStep.now;
  if (aStep.state.sessions.registered) {
    aStep.send(aPeer, statusOf(aStep.state));
  }
}

void
onPeerDown(Step& aStep, const Address& aPeer)
{
  const auto found = aStep.state.peers.routers.find(aPeer);
  if (found != aStep.state.peers.routers.end()) {
    found->second.connected = false;
  }
}

void
onRouterContact(Step& aStep, const Address& aFrom)
{
  if (aFrom.role == Role::kRouter) {
    aStep.state.peers.routers[aFrom].lastContactAt = aStep.now;
  }
}

bool
isDrained(const State& aState)
{
  const auto& table = aState.table;
  const bool working = !table.queue.empty() || !table.active.empty();
  return aState.leaving && !working &&
         std::ranges::all_of(table.unsettled, [&](const RunId& aId) { return table.runs.at(aId).settled; });
}

void
beginLeaving(Step& aStep)
{
  if (aStep.state.leaving) {
    return;
  }
  aStep.state.leaving = true;
  aStep.state.peers.statusDue = true;
  aStep.out.emplace_back(Log{ { Severity::kInfo, "leaving", nlohmann::json::object() } });
  pollNow(aStep);
}

void
onLoadReport(Step& aStep, const LoadReport& aReport)
{
  auto& engine = aStep.state.engine;
  const bool changed = !engine.reported || engine.load.loaded != aReport.loaded;
  engine.load = aReport;
  engine.reported = true;
  if (changed) {
    aStep.state.peers.statusDue = true;
  }
}

void
onCacheEvent(Step& aStep, const CacheEvent& aEvent)
{
  auto& engine = aStep.state.engine;
  const bool repeat = engine.hasCacheSequence && aEvent.sequence <= engine.cacheSequence;
  const bool restarted = repeat && aEvent.sequence <= 1 && engine.cacheSequence > 1;
  if (repeat && !restarted) {
    return;
  }
  const bool gap = engine.hasCacheSequence && aEvent.sequence != engine.cacheSequence + 1;
  if (gap) {
    // The missing events may have evicted any of the stored prefixes.
    engine.prefixes.clear();
  }
  engine.hasCacheSequence = true;
  engine.cacheSequence = aEvent.sequence;
  updatePrefixes(aStep, aEvent);
}

void
onStatusTick(Step& aStep)
{
  if (aStep.now >= aStep.state.peers.nextStatus) {
    removeDisconnectedRouters(aStep);
    sendStatus(aStep);
  }
}

void
sendStatusIfDue(Step& aStep)
{
  if (aStep.state.peers.statusDue) {
    sendStatus(aStep);
  }
}

void
onShutdownTick(Step& aStep)
{
  auto& state = aStep.state;
  const auto& table = state.table;
  if (!state.stopping || state.stopped) {
    return;
  }
  const bool delivered =
    std::ranges::all_of(table.unsettled, [&](const RunId& aId) { return isDelivered(aStep, table.runs.at(aId)); });
  const bool overdue = aStep.now - state.stoppingSince >= state.options.shutdownLimit;
  // A leader without the drained report would treat the tokens that this agent may have used as in doubt.
  const bool leaderNotified = state.control.drainedAcked || !state.sessions.registered;
  if ((isDrained(state) && delivered && leaderNotified) || overdue) {
    state.stopped = true;
    aStep.out.emplace_back(Stopped{});
  }
}

} // namespace rhubarbarch::agent
