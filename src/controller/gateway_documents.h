#pragma once

#include "context.h"

namespace rhubarbarch::controller {

/// @return what this leader knows of a gateway; null if it has received no poll of the session
GatewayMemory*
findGateway(Context& aContext, SessionId aSession);

/// Adds the routing table to an answer, or its changes since the version that the gateway holds, unless the gateway
/// holds it or was sent it a moment ago.
void
addRouting(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll, const Address& aTo);

/// Adds the platform's list of upstreams to an answer unless the gateway holds it or was sent it a moment ago.
void
addUpstreams(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll, const Address& aTo);

} // namespace rhubarbarch::controller
