#include "finish.h"

#include "claims.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace rhubarbarch::router {

namespace {

/// Long enough for a short run to end, after which the same key returns its stored answer.
constexpr Duration kAnsweredElsewhereRetry{ 1000 };

void
releaseReservation(State& aState, Request& aRequest)
{
  if (aRequest.reservation) {
    releaseTokens(aState.grants, aRequest.reservation->grant, aRequest.reservation->tokens);
    aRequest.reservation.reset();
  }
}

/// Sets `ran` to what is certain. For a request with a key nothing is: an earlier request with the key may have run,
/// and a retry at another router may take over the claim and run it before this refusal arrives.
Refusal
refusalWithRan(const Request& aRequest, Refusal aRefusal)
{
  if (aRefusal.ran == Ran::kNo) {
    aRefusal.ran = claims(aRequest) ? Ran::kUnknown : aRequest.earlierAttempts;
  }
  return aRefusal;
}

void
sendCompleteReply(State& aState, const Request& aRequest, ReplyHead aHead, std::string aBody)
{
  if (!aRequest.caller) {
    return;
  }
  const CallerId caller = *aRequest.caller;
  aHead.caller = caller;
  aHead.requestId = aRequest.id;
  aHead.contentLength = aBody.size();
  aState.actions.emplace_back(std::move(aHead));
  if (!aBody.empty()) {
    aState.actions.emplace_back(ReplyBody{ caller, std::move(aBody) });
  }
  aState.actions.emplace_back(ReplyEnd{ caller });
}

} // namespace

void
refuse(State& aState, Request& aRequest, const Refusal& aRefusal)
{
  const Refusal refusal = refusalWithRan(aRequest, aRefusal);
  releaseReservation(aState, aRequest);
  releaseClaim(aState, aRequest);
  ++aState.totals.refusals[refusal.httpStatus];
  log(aState,
      Severity::kInfo,
      "refused",
      { { "request", aRequest.id },
        { "plan", aRequest.plan },
        { "status", refusal.httpStatus },
        { "error", refusal.error } });
  if (aRequest.caller && aRequest.headSent) {
    aState.actions.emplace_back(ReplyAbort{ *aRequest.caller });
  } else if (aRequest.caller) {
    ReplyHead head;
    head.httpStatus = refusal.httpStatus;
    head.contentType = "application/json";
    head.retryAfter = refusal.retryAfter;
    sendCompleteReply(aState, aRequest, std::move(head), refusalBody(refusal, aRequest.id));
  }
  eraseRequest(aState, aRequest.key);
}

void
sendHead(State& aState, Request& aRequest)
{
  if (aRequest.headSent || !aRequest.caller) {
    return;
  }
  ReplyHead head;
  head.caller = *aRequest.caller;
  head.httpStatus = aRequest.stream.httpStatus;
  head.contentType = aRequest.stream.contentType;
  head.requestId = aRequest.id;
  head.chunked = true;
  aState.actions.emplace_back(std::move(head));
  aRequest.headSent = true;
  // The body is only needed for another attempt, which is impossible once a part of this answer was sent.
  aRequest.call.body.clear();
  updateHeldBytes(aState, aRequest);
}

void
detachCaller(State& aState, Request& aRequest)
{
  if (!aRequest.caller) {
    return;
  }
  if (aRequest.headSent) {
    aState.actions.emplace_back(ReplyAbort{ *aRequest.caller });
  } else {
    const Refusal refusal{ 409,
                           "answered_elsewhere",
                           "a newer request with the same Idempotency-Key receives the answer",
                           Ran::kUnknown,
                           kAnsweredElsewhereRetry };
    ++aState.totals.refusals[refusal.httpStatus];
    ReplyHead head;
    head.httpStatus = refusal.httpStatus;
    head.contentType = "application/json";
    head.retryAfter = refusal.retryAfter;
    sendCompleteReply(aState, aRequest, std::move(head), refusalBody(refusal, aRequest.id));
  }
  aState.callers.erase(*aRequest.caller);
  aRequest.caller.reset();
}

void
completeRequest(State& aState, Request& aRequest)
{
  if (aRequest.caller) {
    aState.actions.emplace_back(ReplyEnd{ *aRequest.caller });
  }
  ++aState.totals.completed;
  noteDecision(aState, aRequest.id, "completed", { { "bytes", aRequest.stream.received } });
  eraseRequest(aState, aRequest.key);
}

void
abortRequest(State& aState, Request& aRequest)
{
  releaseReservation(aState, aRequest);
  if (aRequest.caller) {
    aState.actions.emplace_back(ReplyAbort{ *aRequest.caller });
  }
  ++aState.totals.aborted;
  noteDecision(aState, aRequest.id, "aborted", { { "bytes", aRequest.stream.received } });
  eraseRequest(aState, aRequest.key);
}

void
answerStored(State& aState, Request& aRequest, const StoredAnswer& aAnswer)
{
  releaseReservation(aState, aRequest);
  noteDecision(aState, aRequest.id, "stored_answer", { { "run", aRequest.claim.claim.request } });
  if (aRequest.caller) {
    ReplyHead head;
    head.httpStatus = aAnswer.httpStatus;
    head.contentType = aAnswer.contentType;
    sendCompleteReply(aState, aRequest, std::move(head), aAnswer.body.data);
  }
  ++aState.totals.completed;
  eraseRequest(aState, aRequest.key);
}

} // namespace rhubarbarch::router
