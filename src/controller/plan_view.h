#pragma once

#include "context.h"
#include "placement.h"

#include <vector>

namespace rhubarbarch::controller {

/// Open grants of one plan at one session.
std::vector<const state::Grant*>
openGrants(const Context& aContext, const PlanId& aPlan, SessionId aSession);

/// Collects the input of a plan's placement: all sessions that hold grants or report demand, and `aRequester`.
/// @param aRequester session of a request, which counts as connected; zero for none
PlacementInput
placementInput(const Context& aContext, const PlanId& aPlan, SessionId aRequester);

PlacementRule
placementRule(const Context& aContext);

/// Revision of the agent directory that a router last reported.
Revision
heldDirectory(const Context& aContext, SessionId aSession);

} // namespace rhubarbarch::controller
