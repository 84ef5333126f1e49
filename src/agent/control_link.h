#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Address of the controller that the agent currently treats as the leader.
Address
leader(const State& aState);

/// Whether an address belongs to a controller in the options.
bool
isController(const State& aState, const Address& aFrom);

void
onControlTick(Step& aStep);

void
onNotLeader(Step& aStep, const Address& aFrom, const NotLeader& aReply);

void
onRegistered(Step& aStep, const Address& aFrom, const SessionRegistered& aReply);

void
onConfigState(Step& aStep, const Address& aFrom, const ConfigState& aReply);

/// Sends the next message to the leader at once.
void
pollNow(Step& aStep);

/// Requests a newer list of live sessions, which allows the agent to remove old fenced sessions.
void
renewRegistration(Step& aStep);

} // namespace rhubarbarch::agent
