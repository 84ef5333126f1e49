#include "claims.h"
#include "filters.h"
#include "finish.h"
#include "runs.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace rhubarbarch::router {

namespace {

constexpr Duration kFailureRetry{ 1000 };

void
acknowledge(State& aState, const Request& aRequest)
{
  sendToAgent(aState, aRequest.run.agent, RunDoneAck{ aRequest.run.id });
}

/// @return true when the outcome is stored or the wait for it has timed out. By then the caller has received every
/// byte, and the claim stays bound to the run, so that a retry cannot run the request again even after a timeout.
bool
stored(const State& aState, const Request& aRequest)
{
  return aRequest.claim.outcomeStored || aState.now - aRequest.claim.since >= aState.options.claimStoreWait;
}

Refusal
failure(const RunDone& aDone)
{
  if (aDone.outcome == RunOutcome::kTimedOut) {
    return { 504, "timed_out", "the run was ended at its time limit", aDone.ran, kFailureRetry };
  }
  if (aDone.outcome == RunOutcome::kCancelled) {
    return { 502, "cancelled", "the run was cancelled", aDone.ran, kFailureRetry };
  }
  return { 502, "upstream_failed", "the upstream failed", aDone.ran, kFailureRetry };
}

Outcome
endFailure(State& aState, Request& aRequest, const Refusal& aRefusal)
{
  acknowledge(aState, aRequest);
  if (aRequest.headSent) {
    abortRequest(aState, aRequest);
    return Finished{};
  }
  return aRefusal;
}

/// Stores the failure of a non-idempotent request like an answer, so that a retry gets the same response.
Outcome
storeFailure(State& aState, Request& aRequest, const Refusal& aRefusal)
{
  if (aRefusal.ran == Ran::kYes && !aRequest.headSent) {
    StoredAnswer answer{ aRefusal.httpStatus, "application/json", { refusalBody(aRefusal, aRequest.id) } };
    storeOutcome(aState, aRequest, ClaimState::kDone, std::move(answer));
  } else {
    storeOutcome(aState, aRequest, ClaimState::kUnknown, {});
  }
  return stored(aState, aRequest) ? endFailure(aState, aRequest, aRefusal) : Outcome{ Wait{} };
}

Outcome
settleFailure(State& aState, Request& aRequest, const RunDone& aDone)
{
  const Refusal refusal = failure(aDone);
  const bool retryable =
    aRequest.route.idempotent && aDone.outcome != RunOutcome::kTimedOut && aState.now < aRequest.deadline;
  const RunId run = aRequest.run.id;
  const InstanceId agent = aRequest.run.agent;
  if (retryable && prepareRetry(aState, aRequest, true, true)) {
    sendToAgent(aState, agent, RunDoneAck{ run });
    aRequest.earlierAttempts = aDone.ran;
    return Rewind{};
  }
  if (storesOutcome(aRequest)) {
    return storeFailure(aState, aRequest, refusal);
  }
  return endFailure(aState, aRequest, refusal);
}

/// Handles confirmation by the agent that the upstream never received the request.
Outcome
settleNotRun(State& aState, Request& aRequest)
{
  acknowledge(aState, aRequest);
  aRequest.avoid.insert(aRequest.run.agent);
  onNotRun(aState, aRequest, "the upstream was not reached", Duration{ 0 });
  return Finished{};
}

Outcome
settleAnswer(State& aState, Request& aRequest, const RunDone& aDone)
{
  Stream& stream = aRequest.stream;
  const bool read = aRequest.caller || (storesOutcome(aRequest) && aRequest.answerCopyComplete);
  if (read && stream.received < aDone.totalBytes) {
    // Requests missing bytes again, but no faster than the caller reads.
    if (stream.creditUntil > stream.received) {
      sendAttach(aState, aRequest);
    }
    return Wait{};
  }
  if (!stream.headKnown) {
    stream.headKnown = true;
    stream.httpStatus = aDone.httpStatus;
    stream.contentType = aDone.contentType;
  }
  sendHead(aState, aRequest);
  if (storesOutcome(aRequest) && aRequest.answerCopyComplete) {
    StoredAnswer answer{ stream.httpStatus, stream.contentType, { aRequest.answerCopy } };
    storeOutcome(aState, aRequest, ClaimState::kDone, std::move(answer));
    if (!stored(aState, aRequest)) {
      return Wait{};
    }
  }
  acknowledge(aState, aRequest);
  completeRequest(aState, aRequest);
  return Finished{};
}

} // namespace

Outcome
settle(State& aState, Request& aRequest)
{
  if (!aRequest.run.done) {
    return Wait{};
  }
  const RunDone done = *aRequest.run.done;
  if (done.ran == Ran::kNo) {
    return settleNotRun(aState, aRequest);
  }
  if (done.outcome != RunOutcome::kCompleted || done.httpStatus >= 500) {
    return settleFailure(aState, aRequest, done);
  }
  return settleAnswer(aState, aRequest, done);
}

void
chargeRun(State& aState, Request& aRequest, Tokens aTokens)
{
  if (aRequest.run.attached || !aRequest.reservation) {
    return;
  }
  const Reservation reservation = *aRequest.reservation;
  aRequest.reservation.reset();
  PendingCharge charge{ aRequest.run.id, aTokens, aRequest.run.agent, aRequest.run.agentSession };
  const Tokens charged =
    settleTokens(aState.grants, reservation.grant, reservation.tokens, std::move(charge), aState.now);
  aState.totals.chargedTokens += static_cast<std::uint64_t>(charged);
  if (charged != aTokens) {
    log(aState,
        Severity::kError,
        "charge_above_reservation",
        { { "request", aRequest.id }, { "charge", aTokens }, { "reserved", reservation.tokens } });
  }
  noteDecision(aState, aRequest.id, "charged", { { "tokens", charged }, { "grant", toNumber(reservation.grant) } });
}

void
noteRunResult(State& aState, const Request& aRequest, bool aError)
{
  if (!aRequest.run.attached && aRequest.route.service.empty()) {
    const TrafficKey key{ aRequest.model.model, aRequest.run.version, aRequest.route.path };
    noteResult(aState.breakers, key, aError, aState.options, aState.now);
  }
}

void
tripBreakers(State& aState)
{
  for (const auto& key : evaluateVersions(aState.breakers, aState.config.moves, aState.options, aState.now)) {
    log(aState,
        Severity::kWarning,
        "brake",
        { { "model", std::get<0>(key) },
          { "version", std::get<1>(key) },
          { "route", std::get<2>(key) },
          { "reason", aState.breakers.breakers.at(key).reason } });
  }
}

} // namespace rhubarbarch::router
