#pragma once

#include "state.h"

namespace rhubarbarch::router {

/// Ends a request without serving it: releases its tokens and its claim and sends the refusal to the caller.
void
refuse(State& aState, Request& aRequest, const Refusal& aRefusal);

/// Sends the answer's head to the caller once.
void
sendHead(State& aState, Request& aRequest);

/// Detaches the caller because a newer request with the same key receives the answer: sends 409 with Retry-After, or
/// aborts an answer whose head was already sent. The request itself continues.
void
detachCaller(State& aState, Request& aRequest);

/// Ends the answer of a served request.
void
completeRequest(State& aState, Request& aRequest);

/// Aborts an answer that the caller has partly received and whose remainder is not available.
void
abortRequest(State& aState, Request& aRequest);

/// Sends the answer that is stored with the claim.
void
answerStored(State& aState, Request& aRequest, const StoredAnswer& aAnswer);

} // namespace rhubarbarch::router
