#pragma once

#include "context.h"

namespace rhubarbarch::controller {

/// Rolls back the rollouts that are not proved by their deadline.
void
tickRollouts(Context& aContext);

} // namespace rhubarbarch::controller
