#pragma once

#include "state.h"

namespace rhubarbarch::router {

/// Handles a message of a controller.
/// @return false when the message is not for a router
bool
handleControlMessage(State& aState, const InstanceId& aFrom, const Message& aMessage);

/// Sends the messages to the controllers that are due: registration, polls, grants, charges, claims, brake reports.
void
tickControl(State& aState);

/// Opens the connections to all controllers.
void
connectControllers(State& aState);

/// Ends a fenced session: its grants serve no new work, and the router registers again.
void
endControlSession(State& aState);

} // namespace rhubarbarch::router
