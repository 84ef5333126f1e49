#pragma once

#include "placement.h"
#include "state.h"

namespace rhubarbarch::router {

/// Handles a message of an agent.
/// @return false when the message is not for a router
bool
handleAgentMessage(State& aState, const InstanceId& aFrom, const Message& aMessage);

/// Handles a new connection to an agent: requests again whatever was in flight on the old one.
void
onAgentUp(State& aState, const InstanceId& aAgent);

/// Queries runs without recent messages, and retries or fails runs whose agent is unresponsive or whose deadline has
/// passed.
void
tickRuns(State& aState);

/// Handles runs whose agent has restarted: their outcome is unknown.
void
checkAgentBoots(State& aState);

/// Binds the current attempt of a request to the chosen agent.
void
bindRun(State& aState, Request& aRequest, const Placement& aPlacement);

/// Binds a request to a run that another request started.
void
bindExistingRun(State& aState, Request& aRequest, const RunId& aRun, const InstanceId& aAgent, Boot aBoot);

/// Clears the current attempt.
void
unbindRun(State& aState, Request& aRequest);

/// Requests the answer from the agent, starting at the first byte not yet received.
void
sendAttach(State& aState, Request& aRequest);

/// Handles an attempt that is confirmed not to have run: retries or refuses the request.
void
onNotRun(State& aState, Request& aRequest, const std::string& aReason, Duration aRetryAfter);

/// Handles an attempt whose outcome is unknown: retries if the route is idempotent, or refuses the request.
/// @param aFinal the agent can no longer determine the outcome; the claim of the run, if any, then ends as unknown
void
onOutcomeUnknown(State& aState, Request& aRequest, const std::string& aReason, bool aFinal);

/// Prepares another attempt if the retry budget of the route allows one.
/// @param aCharged the previous attempt was charged, so the next one needs a new request id: charges are idempotent by
/// request id, and only the first charge under an id counts
/// @param aAvoid excludes the current agent from the next placement
/// @return true when the request was set back to an earlier stage
bool
prepareRetry(State& aState, Request& aRequest, bool aCharged, bool aAvoid);

/// Charges the current attempt to its grant and releases the remainder of the reservation.
void
chargeRun(State& aState, Request& aRequest, Tokens aTokens);

/// Counts the result of a run for the circuit breakers.
void
noteRunResult(State& aState, const Request& aRequest, bool aError);

/// Trips the circuit breakers of versions that perform worse than the versions they replace.
void
tripBreakers(State& aState);

/// Handles answer bytes written to the caller's socket.
void
onCallerDrained(State& aState, const CallerDrained& aEvent);

/// Handles a caller that closed its connection.
void
onCallerDisconnected(State& aState, CallerId aCaller);

} // namespace rhubarbarch::router
