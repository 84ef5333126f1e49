#include "claims.h"
#include "filters.h"
#include "finish.h"
#include "runs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace rhubarbarch::router {

namespace {

constexpr Duration kRetryAfter{ 1000 };

/// @return keys, not pointers, of the requests that satisfy a condition, since handling one may end others
template<typename Condition>
std::vector<RequestKey>
requestsWhere(const State& aState, Condition aCondition)
{
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : aState.requests) {
    if (aCondition(request)) {
      keys.push_back(key);
    }
  }
  return keys;
}

/// @return true when the request is idempotent and the caller has received no part of an answer
bool
mayRetry(const Request& aRequest)
{
  return aRequest.route.idempotent && aRequest.caller && !aRequest.headSent;
}

/// Handles a claimed run that another request started and that its agent no longer knows.
void
onClaimedOutcomeUnknown(State& aState, Request& aRequest)
{
  if (aRequest.route.idempotent && prepareRetry(aState, aRequest, true, false)) {
    aRequest.earlierAttempts = Ran::kUnknown;
    advance(aState, aRequest.key);
    return;
  }
  if (aRequest.route.idempotent) {
    refuse(aState, aRequest, { 503, "run_lost", "the run of this key was lost", Ran::kUnknown, kRetryAfter });
    return;
  }
  storeOutcome(aState, aRequest, ClaimState::kUnknown, {});
  refuse(
    aState, aRequest, { 409, "outcome_unknown", "it cannot be known whether this request ran", Ran::kUnknown, {} });
}

/// @return true when no message from the agent or about the run has arrived within `agentTimeout`
bool
agentUnresponsive(const State& aState, const Request& aRequest)
{
  const auto agent = aState.agents.find(aRequest.run.agent);
  const TimePoint lastContact = agent == aState.agents.end() ? TimePoint{} : agent->second.lastContactAt;
  return aState.now - std::max(lastContact, aRequest.run.lastActivityAt) >= aState.options.agentTimeout;
}

void
failTimedOut(State& aState, Request& aRequest)
{
  chargeRun(aState, aRequest, aRequest.worstCase);
  noteRunResult(aState, aRequest, true);
  // The claim stays bound to the run: a later retry may still find the run at its agent.
  refuse(aState, aRequest, { 504, "timed_out", "the run did not end in time", Ran::kUnknown, kRetryAfter });
}

void
resendQuery(State& aState, Request& aRequest)
{
  Run& run = aRequest.run;
  if (aState.now < run.queryAt) {
    return;
  }
  run.queryAt = aState.now + aState.options.runQueryPeriod;
  if (run.cancelled) {
    sendToAgent(aState, run.agent, CancelRun{ run.id });
  }
  sendToAgent(aState, run.agent, RunQuery{ run.id, run.boot });
}

void
tickRun(State& aState, Request& aRequest)
{
  if (aState.now >= aRequest.deadline + aState.options.doneGrace) {
    failTimedOut(aState, aRequest);
    return;
  }
  if (aRequest.run.done) {
    advance(aState, aRequest.key);
    return;
  }
  if (mayRetry(aRequest) && agentUnresponsive(aState, aRequest)) {
    onOutcomeUnknown(aState, aRequest, "the agent is silent", false);
    return;
  }
  if (aRequest.stream.gap) {
    sendAttach(aState, aRequest);
  }
  resendQuery(aState, aRequest);
}

} // namespace

bool
prepareRetry(State& aState, Request& aRequest, bool aCharged, bool aAvoid)
{
  if (!aRequest.caller || aRequest.headSent || !spendRetry(aState.retries, aRequest.route.path)) {
    return false;
  }
  ++aState.totals.retries;
  if (aAvoid) {
    aRequest.avoid.insert(aRequest.run.agent);
  }
  unbindRun(aState, aRequest);
  restartStream(aRequest.stream, aState.options.creditWindowBytes);
  aRequest.answerCopy.clear();
  updateHeldBytes(aState, aRequest);
  aRequest.waitingSince.reset();
  const bool claimed = claims(aRequest) && aRequest.claim.phase != ClaimPhase::kDetached;
  if (aCharged) {
    aRequest.runRequest = newRequestId(aState);
    aRequest.attempt = 1;
    aRequest.claim.phase = claimed ? ClaimPhase::kDetached : aRequest.claim.phase;
  } else {
    ++aRequest.attempt;
    aRequest.claim.phase = claimed ? ClaimPhase::kRebind : aRequest.claim.phase;
  }
  aRequest.stage = claimed && !aCharged ? Stage::kClaim : Stage::kReserve;
  return true;
}

void
onNotRun(State& aState, Request& aRequest, const std::string& aReason, Duration aRetryAfter)
{
  noteDecision(aState, aRequest.id, "not_run", { { "agent", aRequest.run.agent }, { "reason", aReason } });
  if (claims(aRequest) && aRequest.claim.phase != ClaimPhase::kDetached) {
    aRequest.claim.phase = ClaimPhase::kRebind;
  }
  if (prepareRetry(aState, aRequest, false, false)) {
    advance(aState, aRequest.key);
    return;
  }
  const Duration retry = std::max(aRetryAfter, kRetryAfter);
  refuse(aState, aRequest, { 503, "upstream_busy", "the upstream refused the request: " + aReason, Ran::kNo, retry });
}

void
onOutcomeUnknown(State& aState, Request& aRequest, const std::string& aReason, bool aFinal)
{
  ++aState.totals.lostRuns;
  noteDecision(aState, aRequest.id, "run_lost", { { "agent", aRequest.run.agent }, { "reason", aReason } });
  log(aState,
      Severity::kWarning,
      "run_lost",
      { { "request", aRequest.id }, { "agent", aRequest.run.agent }, { "reason", aReason } });
  if (aRequest.claim.phase == ClaimPhase::kQuerying) {
    onClaimedOutcomeUnknown(aState, aRequest);
    return;
  }
  // The upstream may have used up to the full reservation before the agent failed. Charging less could let the plan
  // spend more than its prepaid budget.
  chargeRun(aState, aRequest, aRequest.worstCase);
  noteRunResult(aState, aRequest, true);
  if (mayRetry(aRequest) && prepareRetry(aState, aRequest, true, true)) {
    aRequest.earlierAttempts = Ran::kUnknown;
    advance(aState, aRequest.key);
    return;
  }
  if (aFinal && storesOutcome(aRequest)) {
    storeOutcome(aState, aRequest, ClaimState::kUnknown, {});
  }
  refuse(aState, aRequest, { 502, "run_lost", "the upstream was lost during the request", Ran::kUnknown, kRetryAfter });
}

void
checkAgentBoots(State& aState)
{
  const auto affected = requestsWhere(aState, [&](const Request& aRequest) {
    const auto agent = aState.agents.find(aRequest.run.agent);
    const auto& done = aRequest.run.done;
    const bool complete = done && aRequest.stream.received >= done->totalBytes;
    const bool awaitsRun = (aRequest.run.dispatched && !complete) || aRequest.claim.phase == ClaimPhase::kQuerying;
    return awaitsRun && agent != aState.agents.end() && agent->second.boot != aRequest.run.boot &&
           agent->second.session > SessionId{};
  });
  for (const RequestKey key : affected) {
    if (Request* request = findRequest(aState, key)) {
      onOutcomeUnknown(aState, *request, "the agent has restarted", true);
    }
  }
}

void
onAgentUp(State& aState, const InstanceId& aAgent)
{
  const auto open = requestsWhere(
    aState, [&](const Request& aRequest) { return aRequest.run.agent == aAgent && aRequest.run.dispatched; });
  for (const RequestKey key : open) {
    Request& request = aState.requests.at(key);
    if (request.run.accepted) {
      request.stream.attachAt = aState.now;
      sendAttach(aState, request);
    } else {
      request.run.queryAt = aState.now;
      resendQuery(aState, request);
    }
  }
}

void
tickRuns(State& aState)
{
  const auto open = requestsWhere(
    aState, [](const Request& aRequest) { return aRequest.stage == Stage::kSettle && aRequest.run.dispatched; });
  for (const RequestKey key : open) {
    if (Request* request = findRequest(aState, key)) {
      tickRun(aState, *request);
    }
  }
}

} // namespace rhubarbarch::router
