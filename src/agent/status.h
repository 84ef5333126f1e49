#pragma once

#include "state.h"

namespace rhubarbarch::agent {

void
onPeerUp(Step& aStep, const Address& aPeer);

void
onPeerDown(Step& aStep, const Address& aPeer);

/// Records the time of the last message from a router.
void
onRouterContact(Step& aStep, const Address& aFrom);

/// Whether the agent is leaving, no run is in progress and the ledger holds every charge. Once true, it stays true.
bool
isDrained(const State& aState);

/// Refuses new dispatches from now on, and notifies the routers and the leader at once.
void
beginLeaving(Step& aStep);

void
onLoadReport(Step& aStep, const LoadReport& aReport);

void
onCacheEvent(Step& aStep, const CacheEvent& aEvent);

/// Sends AgentStatus when it is due.
void
onStatusTick(Step& aStep);

/// Sends AgentStatus if a change requires an immediate update of the routers.
void
sendStatusIfDue(Step& aStep);

/// Ends a graceful shutdown when all runs are finished, and every RunDone and charge is delivered.
void
onShutdownTick(Step& aStep);

} // namespace rhubarbarch::agent
