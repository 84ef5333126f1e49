#pragma once

#include "placement.h"
#include "state.h"

#include <array>
#include <optional>

namespace rhubarbarch::router {

/// One step of the filter chain.
struct Filter
{
  Stage stage;
  const char* name;
  Outcome (*apply)(State&, Request&);
};

/// Finds the plan of the API key.
Outcome
identify(State& aState, Request& aRequest);

/// Checks path, service, model and body against the lists, and computes the worst case in tokens.
Outcome
authorise(State& aState, Request& aRequest);

/// Claims the caller's idempotency key, so that a non-idempotent request runs at most once.
Outcome
claim(State& aState, Request& aRequest);

/// Reserves the worst case in tokens from a grant of the plan.
Outcome
reserve(State& aState, Request& aRequest);

/// Chooses version and agent.
Outcome
place(State& aState, Request& aRequest);

/// Sends the request to the agent, or attaches to the run that already exists.
Outcome
dispatch(State& aState, Request& aRequest);

/// Waits for the end of the run, stores its outcome and ends the answer.
Outcome
settle(State& aState, Request& aRequest);

/// The steps that every request passes, in order.
inline constexpr std::array kFilterChain{
  Filter{ Stage::kIdentify, "identify", identify }, Filter{ Stage::kAuthorise, "authorise", authorise },
  Filter{ Stage::kClaim, "claim", claim },          Filter{ Stage::kReserve, "reserve", reserve },
  Filter{ Stage::kPlace, "place", place },          Filter{ Stage::kDispatch, "dispatch", dispatch },
  Filter{ Stage::kSettle, "settle", settle },
};

/// Accepts a new request, or refuses it when the process has no capacity for it.
void
acceptRequest(State& aState, const CallerRequest& aCall);

/// Runs the filters on a request, starting at its stage, until it waits or ends.
void
advance(State& aState, RequestKey aKey);

/// Advances all requests that are not in the settle stage, in order of arrival.
void
advanceWaiting(State& aState);

/// Chooses a version and an agent for a request, and records the choice in the log and for ExplainQuery.
/// @return nothing when no agent can take it now
std::optional<Placement>
choosePlacement(State& aState, const Request& aRequest);

/// @return a refusal when the wait for an agent has timed out, else Wait
Outcome
waitForAgent(State& aState, Request& aRequest);

/// @return true when the current wait, which the first call starts, has lasted for at least `aLimit`
bool
waitExpired(const State& aState, Request& aRequest, Duration aLimit);

} // namespace rhubarbarch::router
