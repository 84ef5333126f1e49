#pragma once

#include "context.h"

namespace rhubarbarch::controller {

/// Merges what a gateway's poll says on broken answers and their subjects.
/// @return whether gateways must be asked for subjects that were not suspected before
bool
recordEvidence(Context& aContext, const GatewayPoll& aPoll);

/// Adds the subjects that gateways must report on.
void
addSuspects(GatewayState& aAnswer, const Context& aContext);

/// Adds the quarantine unless the gateway has its current revision.
void
addQuarantine(GatewayState& aAnswer, const Context& aContext, const GatewayPoll& aPoll);

/// Quarantines subjects that crash upstreams, and releases those for which no requests come any more.
void
tickQuarantine(Context& aContext);

} // namespace rhubarbarch::controller
