#pragma once

#include "state.h"

namespace rhubarbarch::router {

/// Handles the answer to a ClaimRequest or ClaimUpdate.
void
onClaimReply(State& aState, const ClaimReply& aReply);

/// Sends the pending claim messages that are due, both first transmissions and retransmissions.
void
resendClaims(State& aState);

/// Releases the claim of a request that ends without a run in progress: marks it as not bound to any agent, so that a
/// retry need not query an agent that may have restarted.
void
releaseClaim(State& aState, Request& aRequest);

/// Submits the outcome of the claimed run; the end of the answer waits until the outcome is stored.
void
storeOutcome(State& aState, Request& aRequest, ClaimState aOutcome, StoredAnswer aAnswer);

/// Reads the answer of another request's claimed run, which its agent still holds.
void
attachToRun(State& aState, Request& aRequest);

/// Prepares a new attempt after confirmation that the claimed attempt did not run.
void
rebindClaim(State& aState, Request& aRequest);

} // namespace rhubarbarch::router
