#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Whether dispatches of a router session may be accepted: the session is not fenced, and it is newer than this agent's
/// registration or was live in it. An older session that is not in the list may have been fenced before this agent
/// registered. Callers check separately whether the agent is registered at all.
bool
sessionAccepted(const Sessions& aSessions, SessionId aSession);

/// Fences a router session and reports the charges and open reservations of each of its grants.
void
onFenceSession(Step& aStep, const Address& aFrom, const FenceSession& aOrder);

} // namespace rhubarbarch::agent
