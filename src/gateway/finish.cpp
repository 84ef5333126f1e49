#include "state.h"

#include "rhubarbarch/router/refusal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

constexpr std::int32_t kBadGateway = 502;
constexpr std::int32_t kTimedOut = 504;
constexpr std::int32_t kUnavailable = 503;

/// @return the status to send; one that promises that the request did not run only if that is confirmed
std::int32_t
confirmedStatus(const Request& aRequest, std::int32_t aStatus)
{
  if (aRequest.mayHaveRun > 0) {
    return aStatus == kTimedOut ? kTimedOut : kBadGateway;
  }
  return aStatus == kTimedOut ? kUnavailable : aStatus;
}

/// @param aStatus HTTP status of the answer; zero: the caller has disconnected
void
logEnd(State& aState, const Request& aRequest, const char* aEvent, std::int32_t aStatus, const char* aError)
{
  const auto& attempt = aRequest.attempt;
  log(aState,
      Severity::kInfo,
      aEvent,
      { { "request", aRequest.call.requestId },
        { "connection_request", aRequest.call.connectionRequest },
        { "route", aRequest.route == nullptr ? "" : aRequest.route->name },
        { "plan", aRequest.plan },
        { "status", aStatus },
        { "error", aError },
        { "upstream", attempt ? attempt->upstreamId : "" },
        { "sends", aRequest.sends },
        { "may_have_run", aRequest.mayHaveRun },
        { "events", aRequest.stream.events() },
        { "reserved", aRequest.reserved ? aRequest.held : 0 },
        { "cost", aRequest.reserved ? cost(aRequest) : 0 },
        { "expected_ms", attempt ? attempt->expected.count() : 0 },
        { "total_ms", (aState.now - aRequest.arrivedAt).count() },
        { "loop_delay_ms", aRequest.loopDelay.count() },
        { "routing", aRequest.index ? aRequest.index->table.version : 0 },
        { "confirmed_ms", confirmationAgeMs(aState) },
        { "list_age_ms", (aState.now - aState.upstreams.listedAt).count() } });
}

} // namespace

void
failRequest(State& aState, CallerId aCaller, const RequestError& aReason)
{
  auto& request = aState.requests.at(aCaller);
  const auto status = confirmedStatus(request, aReason.status);
  logEnd(aState, request, request.headSent ? "aborted" : "refused", status, aReason.error);
  endAttempt(aState, request, true);
  if (request.headSent) {
    ++aState.totals.aborted;
    aState.actions.emplace_back(ReplyAbort{ aCaller });
  } else {
    ++aState.totals.refusals[status];
    const auto ran = request.mayHaveRun > 0 ? Ran::kUnknown : Ran::kNo;
    const router::Refusal refusal{ status, aReason.error, "", ran, aReason.retryAfter };
    auto body = router::refusalBody(refusal, request.call.requestId);
    ReplyHead head;
    head.caller = aCaller;
    head.httpStatus = status;
    head.fields.push_back({ "Content-Type", "application/json" });
    head.retryAfter = aReason.retryAfter;
    head.contentLength = body.size();
    aState.actions.emplace_back(std::move(head));
    aState.actions.emplace_back(ReplyBody{ aCaller, std::move(body) });
    aState.actions.emplace_back(ReplyEnd{ aCaller });
  }
  erase(aState, aCaller);
}

void
forwardAnswer(State& aState, Request& aRequest)
{
  const auto caller = aRequest.call.caller;
  const auto& answer = *aRequest.attempt->head;
  logEnd(aState, aRequest, "answered", answer.status, "");
  ++aState.totals.served;
  ReplyHead head;
  head.caller = caller;
  head.httpStatus = answer.status;
  head.fields = answer.fields;
  head.contentLength = aRequest.body.size();
  recordSent(aState.shortage, aRequest.body.size(), aState.now);
  aState.actions.emplace_back(std::move(head));
  if (!aRequest.body.empty()) {
    aState.actions.emplace_back(ReplyBody{ caller, std::move(aRequest.body) });
  }
  aState.actions.emplace_back(ReplyEnd{ caller });
  endAttempt(aState, aRequest, false);
  erase(aState, caller);
}

void
sendStreamHead(State& aState, Request& aRequest)
{
  if (std::exchange(aRequest.headSent, true)) {
    return;
  }
  const auto& answer = *aRequest.attempt->head;
  ReplyHead head;
  head.caller = aRequest.call.caller;
  head.httpStatus = answer.status;
  head.fields = answer.fields;
  head.chunked = true;
  aState.actions.emplace_back(std::move(head));
  const auto& attempt = *aRequest.attempt;
  log(aState,
      Severity::kInfo,
      "first_event",
      { { "request", aRequest.call.requestId },
        { "upstream", attempt.upstreamId },
        { "after_ms", (aState.now - aRequest.arrivedAt).count() },
        { "taken_ms", (aState.now - attempt.startedAt).count() },
        { "expected_ms", attempt.expected.count() },
        { "estimate_ms", std::llround(attempt.estimate.expectedMs) },
        { "deviation_ms", std::llround(attempt.estimate.deviationMs) },
        { "queued_tokens", std::llround(attempt.load.queuedTokens) },
        { "uncached_tokens", std::llround(attempt.load.uncachedTokens) },
        { "running", std::llround(attempt.load.running) } });
}

void
endStream(State& aState, Request& aRequest)
{
  const auto caller = aRequest.call.caller;
  sendStreamHead(aState, aRequest);
  logEnd(aState, aRequest, "answered", aRequest.attempt->head->status, "");
  ++aState.totals.served;
  aState.actions.emplace_back(ReplyEnd{ caller });
  endAttempt(aState, aRequest, false);
  erase(aState, caller);
}

void
endForDisconnectedCaller(State& aState, Request& aRequest)
{
  const auto caller = aRequest.call.caller;
  logEnd(aState, aRequest, "caller_gone", 0, "");
  ++aState.totals.callersDisconnected;
  endAttempt(aState, aRequest, true);
  erase(aState, caller);
}

void
erase(State& aState, CallerId aCaller)
{
  const auto found = aState.requests.find(aCaller);
  auto& request = found->second;
  if (request.reserved) {
    release(aState, request);
  }
  aState.heldBytes -= request.call.body->size();
  aState.gatheredBytes -= request.gathered;
  aState.requests.erase(found);
}

} // namespace rhubarbarch::gateway
