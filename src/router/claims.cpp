#include "claims.h"

#include "filters.h"
#include "finish.h"
#include "rhubarbarch/router/hash.h"
#include "runs.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace rhubarbarch::router {

namespace {

constexpr Duration kUndecidedRetry{ 1000 };

Refusal
undecided(std::string aError, std::string aMessage)
{
  return { 503, std::move(aError), std::move(aMessage), Ran::kUnknown, kUndecidedRetry };
}

/// @return the number of the next attempt. Two routers may rebind the same claim concurrently, even to the same agent.
/// The step depends on the request, so that the router whose update came second detects the other router's number.
std::uint32_t
attemptAfter(std::uint32_t aAttempt, const RequestId& aRequest)
{
  constexpr std::uint64_t kSteps = 1U << 16U;
  return aAttempt + 1 + static_cast<std::uint32_t>(stableHash(aRequest) % kSteps);
}

/// @return true when the committed claim is bound as this router requested
bool
boundAsRequested(const Claim& aRequested, const Claim& aCommitted)
{
  return aCommitted.state == ClaimState::kRunning && aCommitted.request == aRequested.request &&
         aCommitted.attempt == aRequested.attempt && aCommitted.agent == aRequested.agent &&
         aCommitted.agentBoot == aRequested.agentBoot;
}

void
submit(State& aState, PendingClaim aPending)
{
  aPending.sendAt = aState.now;
  aState.heldBytes += aPending.heldBytes;
  aState.pendingClaims.emplace(aState.nextClaim++, std::move(aPending));
  resendClaims(aState);
}

void
submitUpdate(State& aState, Claim aClaim, std::uint32_t aExpectedAttempt, RequestKey aRequest, bool aOutcome)
{
  PendingClaim pending;
  pending.request = aRequest;
  pending.outcome = aOutcome;
  pending.heldBytes = aClaim.answer.body.data.size();
  pending.message = ClaimUpdate{ 0, aExpectedAttempt, std::move(aClaim) };
  submit(aState, std::move(pending));
}

/// Marks a claim as unbound: its current attempt was never dispatched, or is confirmed not to have run.
void
unbind(State& aState, const Claim& aClaim, const RequestId& aRequest)
{
  if (aClaim.agent.empty()) {
    return;
  }
  Claim unbound = aClaim;
  unbound.attempt = attemptAfter(aClaim.attempt, aRequest);
  unbound.agent.clear();
  unbound.agentBoot = Boot{};
  submitUpdate(aState, std::move(unbound), aClaim.attempt, 0, false);
}

Claim
firstClaim(const Request& aRequest)
{
  Claim claim;
  claim.plan = aRequest.plan;
  claim.key = aRequest.call.idempotencyKey;
  claim.bodyHash = sha256Hex(aRequest.call.method + "\n" + aRequest.call.path + "\n" + aRequest.call.body);
  claim.request = aRequest.id;
  return claim;
}

/// Requests the claim even when no agent can take the request, since the key may already have a stored answer.
Outcome
requestClaim(State& aState, Request& aRequest)
{
  const auto placement = choosePlacement(aState, aRequest);
  ClaimProgress& progress = aRequest.claim;
  const bool first = progress.phase == ClaimPhase::kNone;
  if (!first && !placement) {
    return waitForAgent(aState, aRequest);
  }
  Claim claim = first ? firstClaim(aRequest) : progress.claim;
  const std::uint32_t expected = claim.attempt;
  if (!first) {
    claim.attempt = attemptAfter(expected, aRequest.id);
  }
  aRequest.runRequest = claim.request;
  aRequest.attempt = claim.attempt;
  if (placement) {
    bindRun(aState, aRequest, *placement);
    claim.agent = placement->agent;
    claim.agentBoot = placement->boot;
  }
  progress.phase = ClaimPhase::kRequested;
  progress.since = aState.now;
  progress.claim = claim;
  if (first) {
    PendingClaim pending;
    pending.request = aRequest.key;
    pending.message = ClaimRequest{ 0, aState.link.session, std::move(claim) };
    submit(aState, std::move(pending));
  } else {
    submitUpdate(aState, std::move(claim), expected, aRequest.key, false);
  }
  return Wait{};
}

Outcome
queryRun(State& aState, Request& aRequest)
{
  ClaimProgress& progress = aRequest.claim;
  if (aState.now - progress.since >= aState.options.claimWait) {
    return undecided("run_unreachable", "the agent that holds the run of this key does not answer");
  }
  if (aState.now >= progress.queryAt) {
    progress.queryAt = aState.now + aState.options.resendPeriod;
    sendToAgent(aState, progress.claim.agent, RunQuery{ aRequest.run.id, progress.claim.agentBoot });
  }
  return Wait{};
}

/// Handles a retry that reaches the router of the original request: the newer connection gets the answer from its
/// start, since the older one may be dead although it was never closed.
void
takeOver(State& aState, Request& aRetry, Request& aOwner)
{
  noteDecision(aState, aRetry.id, "handed_over", { { "by", aOwner.id } });
  const auto caller = std::exchange(aRetry.caller, std::nullopt);
  detachCaller(aState, aOwner);
  aOwner.caller = caller;
  if (caller) {
    aState.callers[*caller] = aOwner.key;
  }
  aOwner.call.body = std::move(aRetry.call.body);
  aOwner.headSent = false;
  aOwner.run.moved = false;
  aOwner.answerCopy.clear();
  aOwner.answerCopyComplete = true;
  restartStream(aOwner.stream, aState.options.creditWindowBytes);
  updateHeldBytes(aState, aOwner);
  const RequestKey owner = aOwner.key;
  if (aOwner.run.dispatched) {
    sendAttach(aState, aOwner);
  }
  eraseRequest(aState, aRetry.key);
  advance(aState, owner);
}

void
handleRunningClaim(State& aState, Request& aRequest)
{
  ClaimProgress& progress = aRequest.claim;
  const RunId run{ progress.claim.request, progress.claim.attempt };
  if (progress.claim.agent.empty()) {
    rebindClaim(aState, aRequest);
    return;
  }
  Request* owner = findRun(aState, run);
  if (owner != nullptr && owner->key != aRequest.key) {
    takeOver(aState, aRequest, *owner);
    return;
  }
  progress.phase = ClaimPhase::kQuerying;
  progress.since = aState.now;
  progress.queryAt = aState.now;
  bindExistingRun(aState, aRequest, run, progress.claim.agent, progress.claim.agentBoot);
  advance(aState, aRequest.key);
}

void
handleExistingClaim(State& aState, Request& aRequest)
{
  aRequest.claim.phase = ClaimPhase::kQuerying;
  switch (aRequest.claim.claim.state) {
    case ClaimState::kDone:
      if (aRequest.claim.claim.answer.bodyOmitted) {
        refuse(
          aState, aRequest, { 409, "answer_not_kept", "the request ran; its answer was too large", Ran::kYes, {} });
        return;
      }
      answerStored(aState, aRequest, aRequest.claim.claim.answer);
      return;
    case ClaimState::kUnknown:
      refuse(
        aState, aRequest, { 409, "outcome_unknown", "it cannot be known whether this request ran", Ran::kUnknown, {} });
      return;
    case ClaimState::kRunning:
      handleRunningClaim(aState, aRequest);
      return;
  }
}

/// Handles a reply whose request has ended: unbinds a won claim, since nothing will dispatch its attempt.
void
onOrphanedReply(State& aState, const PendingClaim& aPending, const ClaimReply& aReply)
{
  const Claim& requested =
    std::visit([](const auto& aMessage) -> const Claim& { return aMessage.claim; }, aPending.message);
  if (!aPending.outcome && boundAsRequested(requested, aReply.claim)) {
    unbind(aState, aReply.claim, requested.request);
  }
}

void
onWon(State& aState, Request& aRequest)
{
  const bool bound = !aRequest.claim.claim.agent.empty();
  aRequest.claim.phase = bound ? ClaimPhase::kWon : ClaimPhase::kRebind;
  noteDecision(aState, aRequest.id, "claimed", { { "attempt", aRequest.claim.claim.attempt } });
  advance(aState, aRequest.key);
}

} // namespace

Outcome
claim(State& aState, Request& aRequest)
{
  if (!claims(aRequest)) {
    if (aRequest.route.idempotent) {
      return Continue{};
    }
    return Refusal{ 400, "idempotency_key_required", "this path needs an Idempotency-Key header", Ran::kNo, {} };
  }
  switch (aRequest.claim.phase) {
    case ClaimPhase::kWon:
    case ClaimPhase::kAttaching:
    case ClaimPhase::kDetached:
      return Continue{};
    case ClaimPhase::kNone:
    case ClaimPhase::kRebind:
      if (!controlConnected(aState.link, aState.options, aState.now)) {
        return Refusal{
          503, "ledger_unreachable", "the key cannot be claimed without the ledger", Ran::kNo, kUndecidedRetry
        };
      }
      return requestClaim(aState, aRequest);
    case ClaimPhase::kRequested:
      if (aState.now - aRequest.claim.since >= aState.options.claimWait) {
        return undecided("claim_unanswered", "the ledger did not answer in time");
      }
      return Wait{};
    case ClaimPhase::kQuerying:
      return queryRun(aState, aRequest);
  }
  return Wait{};
}

void
onClaimReply(State& aState, const ClaimReply& aReply)
{
  const auto found = aState.pendingClaims.find(aReply.number);
  if (found == aState.pendingClaims.end()) {
    return;
  }
  const PendingClaim pending = std::move(found->second);
  aState.pendingClaims.erase(found);
  aState.heldBytes -= pending.heldBytes;
  Request* request = findRequest(aState, pending.request);
  if (request != nullptr && pending.outcome) {
    request->claim.outcomeStored = true;
    advance(aState, request->key);
    return;
  }
  if (request == nullptr || request->claim.phase != ClaimPhase::kRequested) {
    onOrphanedReply(aState, pending, aReply);
    return;
  }
  if (aReply.status == ClaimStatus::kConflict) {
    request->claim.phase = ClaimPhase::kQuerying;
    refuse(
      aState, *request, { 409, "idempotency_key_conflict", "the key was used with another request", Ran::kNo, {} });
    return;
  }
  const Claim requested = std::exchange(request->claim.claim, aReply.claim);
  // The leader answers a repeated first ClaimRequest with kWon even if another router has rebound the claim since.
  if (aReply.status == ClaimStatus::kWon && boundAsRequested(requested, aReply.claim)) {
    onWon(aState, *request);
  } else {
    handleExistingClaim(aState, *request);
  }
}

void
resendClaims(State& aState)
{
  if (aState.link.session == SessionId{}) {
    return;
  }
  for (auto& [number, pending] : aState.pendingClaims) {
    if (aState.now < pending.sendAt) {
      continue;
    }
    pending.sendAt = aState.now + aState.options.resendPeriod;
    if (auto* request = std::get_if<ClaimRequest>(&pending.message)) {
      request->number = number;
      request->session = aState.link.session;
      sendToLeader(aState, *request);
    } else {
      auto& update = std::get<ClaimUpdate>(pending.message);
      update.number = number;
      sendToLeader(aState, update);
    }
  }
}

void
releaseClaim(State& aState, Request& aRequest)
{
  for (auto& [number, pending] : aState.pendingClaims) {
    if (pending.request == aRequest.key) {
      pending.request = 0;
    }
  }
  const bool notDispatched = aRequest.claim.phase == ClaimPhase::kWon && !aRequest.run.dispatched;
  if (notDispatched || aRequest.claim.phase == ClaimPhase::kRebind) {
    unbind(aState, aRequest.claim.claim, aRequest.id);
  }
}

void
storeOutcome(State& aState, Request& aRequest, ClaimState aOutcome, StoredAnswer aAnswer)
{
  if (aRequest.claim.outcomeSubmitted) {
    return;
  }
  aRequest.claim.outcomeSubmitted = true;
  aRequest.claim.since = aState.now;
  Claim claim = aRequest.claim.claim;
  claim.state = aOutcome;
  claim.answer = std::move(aAnswer);
  const std::uint32_t attempt = claim.attempt;
  submitUpdate(aState, std::move(claim), attempt, aRequest.key, true);
}

void
attachToRun(State& aState, Request& aRequest)
{
  aRequest.claim.phase = ClaimPhase::kAttaching;
  aRequest.run.accepted = true;
  noteDecision(aState, aRequest.id, "attached", { { "run", aRequest.run.id.request } });
  advance(aState, aRequest.key);
}

void
rebindClaim(State& aState, Request& aRequest)
{
  unbindRun(aState, aRequest);
  aRequest.claim.phase = ClaimPhase::kRebind;
  aRequest.stage = Stage::kClaim;
  advance(aState, aRequest.key);
}

} // namespace rhubarbarch::router
