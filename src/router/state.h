#pragma once

#include "agents.h"
#include "brakes.h"
#include "config_view.h"
#include "control_link.h"
#include "explain.h"
#include "grants.h"
#include "request.h"
#include "retry_budget.h"

#include "rhubarbarch/router/events.h"
#include "rhubarbarch/router/options.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>

namespace rhubarbarch::router {

/// A claim message without an answer yet.
struct PendingClaim
{
  std::variant<ClaimRequest, ClaimUpdate> message;
  RequestKey request = 0; ///< zero when no request waits for the answer
  bool outcome = false;   ///< the message stores the outcome of a run
  std::size_t heldBytes = 0;
  TimePoint sendAt;
};

/// Totals for the metrics page.
struct Totals
{
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t aborted = 0;
  std::uint64_t placements = 0;
  std::uint64_t retries = 0;
  std::uint64_t lostRuns = 0;
  std::uint64_t chargedTokens = 0;
  std::map<std::int32_t, std::uint64_t> refusals; ///< by HTTP status
};

/// The complete state of the router role. The free functions in this folder operate on it.
struct State
{
  RouterOptions options;
  Boot boot{};
  std::mt19937_64 random;

  TimePoint now; ///< time of the current event
  Actions actions;
  bool started = false;

  ControlLink link;
  ConfigView config;
  Agents agents;
  GrantPool grants;
  CircuitBreakers breakers;
  RetryBudgets retries;
  Explanations explanations;

  std::map<std::uint64_t, PendingClaim> pendingClaims;
  std::uint64_t nextClaim = 1;

  std::map<RequestKey, Request> requests;
  std::map<CallerId, RequestKey> callers;
  std::map<RunId, RequestKey> runs; ///< current attempt of each request
  RequestKey nextRequest = 1;
  std::uint64_t nextRequestId = 1;
  std::size_t heldBytes = 0;

  bool leaving = false;
  bool stopped = false;
  std::optional<TimePoint> lastRequestEndedAt; ///< during a shutdown
  Totals totals;
};

/// @return the request, or null when it has ended
Request*
findRequest(State& aState, RequestKey aKey);

/// @return the request whose current attempt is `aRun`, or null
Request*
findRun(State& aState, const RunId& aRun);

/// @return a request id that this process has not used before
RequestId
newRequestId(State& aState);

void
send(State& aState, Address aTo, Message aMessage);

void
sendToAgent(State& aState, const InstanceId& aAgent, Message aMessage);

void
sendToLeader(State& aState, Message aMessage);

void
log(State& aState, Severity aSeverity, std::string aEvent, nlohmann::json aFields);

/// Records a decision on a request for ExplainQuery.
void
noteDecision(State& aState, const RequestId& aRequest, const char* aStep, nlohmann::json aFields);

/// Updates the count of held bytes after a change of the request's body or answer.
void
updateHeldBytes(State& aState, Request& aRequest);

/// Removes a request from all tables.
void
eraseRequest(State& aState, RequestKey aKey);

} // namespace rhubarbarch::router
