#pragma once

#include "../../src/gateway/placement.h"

namespace rhubarbarch::gateway::former {

/// The former placement, by fixed constants.
Placement
place(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow);

} // namespace rhubarbarch::gateway::former
