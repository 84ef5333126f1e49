#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Checks a dispatch, then queues or refuses it. A repeat of a known run is answered with the status of that run.
void
onDispatch(Step& aStep, const Address& aFrom, const Dispatch& aDispatch);

/// Notifies the router that an attempt did not run, and writes a tombstone so that it never will.
void
refuse(Step& aStep, const Address& aTo, const RunId& aRun, RefusalReason aReason);

/// Name of a reason in logs and metrics.
const char*
reasonName(RefusalReason aReason);

/// Limit on reserved KV memory, in bytes: the smaller of the configured and the reported capacity, less the headroom.
std::int64_t
kvLimit(const State& aState);

/// Updates the largest reservation within the lag of the load report.
void
trackReserved(Step& aStep);

} // namespace rhubarbarch::agent
