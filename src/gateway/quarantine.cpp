#include "state.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace rhubarbarch::gateway {

namespace {

/// Retry-After for a request that crashes upstreams: it is served only after an upstream or the request has changed.
constexpr Duration kQuarantineRetryAfter{ 60'000 };

/// Ends the requests that have a quarantined subject and that no upstream has begun to answer, before one does.
void
endQuarantinedRequests(State& aState)
{
  std::vector<CallerId> found;
  for (const auto& [caller, request] : aState.requests) {
    const bool begun = request.headSent || (request.attempt && request.attempt->firstBytes);
    if (request.route != nullptr && !begun && !quarantinedSubject(aState.crashes, request.call).empty()) {
      found.push_back(caller);
    }
  }
  for (const auto caller : found) {
    failRequest(aState, caller, { 503, "quarantined", kQuarantineRetryAfter });
  }
}

} // namespace

std::optional<RequestError>
checkQuarantine(State& aState, const Request& aRequest)
{
  const auto subject = quarantinedSubject(aState.crashes, aRequest.call);
  if (subject.empty()) {
    return std::nullopt;
  }
  aState.crashes.refusedAt[subject] = aState.now;
  ++aState.totals.quarantined;
  log(aState, Severity::kInfo, "quarantined", { { "request", aRequest.call.requestId }, { "subject", subject } });
  return RequestError{ 503, "quarantined", kQuarantineRetryAfter };
}

void
updateQuarantine(State& aState, const GatewayState& aAnswer)
{
  if (applySuspects(aState.crashes, aAnswer)) {
    pollSoon(aState);
  }
  if (applyQuarantine(aState.crashes, aAnswer)) {
    log(aState,
        Severity::kWarning,
        "quarantine_in_force",
        { { "revision", aAnswer.quarantineRevision }, { "subjects", aAnswer.quarantined } });
    endQuarantinedRequests(aState);
  }
}

void
onBrokenOff(State& aState, Request& aRequest)
{
  const auto& attempt = *aRequest.attempt;
  if (attempt.firstBytes) {
    return;
  }
  const auto subjects = subjectsOf(aRequest.call);
  log(aState,
      Severity::kInfo,
      "broken_off_before_event",
      { { "request", aRequest.call.requestId },
        { "upstream", attempt.upstreamId },
        { "answer_begun", attempt.head != nullptr },
        { "subjects", subjects } });
  // Engines hold many requests that they have not begun. Plain services have most likely begun those that they got.
  if (!attempt.head && aRequest.service->isEngine) {
    return;
  }
  aRequest.mayCrash = isSuspect(aState.crashes, aRequest.call, aState.now);
  recordBroken(aState.crashes, aRequest.call, attempt.upstreamId, aState.now);
  pollSoon(aState);
}

} // namespace rhubarbarch::gateway
