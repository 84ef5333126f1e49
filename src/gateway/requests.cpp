#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

/// Retry-After when the plan's tokens are held elsewhere or the controllers are unreachable: a few polls.
constexpr Duration kTokensRetryAfter{ 500 };
/// Retry-After when this gateway has no capacity; another gateway may accept the request earlier.
constexpr Duration kOverloadRetryAfter{ 500 };
/// Retry-After when this gateway has no routing table yet: an election and a poll.
constexpr Duration kStartupRetryAfter{ 1200 };

/// Limit for a request without a deadline, until its route and the route's timeout are known.
constexpr Duration kDefaultDeadline{ 30'000 };
/// Retry-After when the balancer will send the next attempt to another gateway: short, but not zero.
constexpr Duration kElsewhereRetryAfter{ 50 };

/// A refusal that the caller takes for final, if the table that it rests on may still be the newest. Otherwise a
/// gateway with a newer table may serve the request.
RequestError
finalRefusal(const State& aState, std::int32_t aStatus, const char* aError)
{
  if (!confirmedLately(aState)) {
    return { 503, "configuration_not_confirmed", kElsewhereRetryAfter };
  }
  return { aStatus, aError, {} };
}

std::optional<RequestError>
identify(const State& aState, Request& aRequest)
{
  const auto& table = aState.index;
  if (!table) {
    return RequestError{ 503, "no_configuration", kStartupRetryAfter };
  }
  if (supersededForLong(aState)) {
    return RequestError{ 503, "configuration_superseded", kElsewhereRetryAfter };
  }
  aRequest.index = table;
  aRequest.route = findRoute(*table, aRequest.call.host, aRequest.call.target);
  if (aRequest.route == nullptr) {
    return finalRefusal(aState, 404, "unknown_path");
  }
  aRequest.priority = aRequest.route->priority;
  if (aRequest.route->isPublic || table->table.plans.empty()) {
    return std::nullopt;
  }
  const auto* plan = findPlan(*table, aRequest.call.key);
  if (plan == nullptr) {
    return finalRefusal(aState, 401, "unknown_key");
  }
  aRequest.plan = plan->plan;
  aRequest.priority = plan->priority >= 0 ? plan->priority : aRequest.priority;
  aRequest.maxCost = aRequest.call.promptTokens + aRequest.call.maxOutputTokens;
  aRequest.needsTokens = plan->prepaid >= 0 && aRequest.maxCost > 0;
  return std::nullopt;
}

/// Sets the tokens that the request reserves before its first call: its prompt and one window of output, so that no
/// more is in doubt when this process is killed.
void
chooseHold(const State& aState, Request& aRequest)
{
  aRequest.held = std::min(aRequest.maxCost, aRequest.call.promptTokens + outputWindow(aState, aRequest));
}

std::optional<RequestError>
chooseService(State& aState, Request& aRequest)
{
  std::uniform_real_distribution<double> draw(0, 1);
  aRequest.service = findService(*aRequest.index, pickService(*aRequest.route, draw(aState.random)));
  if (aRequest.service == nullptr) {
    return RequestError{ 503, "no_service", kOverloadRetryAfter };
  }
  aState.retries[aRequest.service->name].recordRequest(aState.options.retryWindow, aState.now);
  return std::nullopt;
}

/// @return the longest time from its arrival that the request may take: the caller's deadline or the route's timeout
Duration
longestTime(const Request& aRequest)
{
  const Duration timeout(aRequest.route->timeoutMs);
  const auto deadline = aRequest.call.deadline;
  return deadline > Duration{ 0 } ? std::min(deadline, timeout) : timeout;
}

/// Refuses requests that a gateway that is shutting down could not finish: calls that may last until it stops, and
/// streams that come late. Once it has stopped, the process may end at any moment.
std::optional<RequestError>
checkLeaving(const State& aState, const Request& aRequest)
{
  if (!aState.leavingSince && !aState.stopped) {
    return std::nullopt;
  }
  const auto leavingFor = aState.now - aState.leavingSince.value_or(aState.now);
  const bool streams = aRequest.route->kind == CallKind::kStream;
  const bool late = streams ? leavingFor >= aState.options.refuseStreamsAfter
                            : leavingFor >= aState.options.refuseCallsAfter ||
                                leavingFor + longestTime(aRequest) > aState.options.longestLeave;
  if (aState.stopped || late) {
    return RequestError{ 503, "shutting_down", kElsewhereRetryAfter };
  }
  return std::nullopt;
}

std::optional<RequestError>
checkCapacity(State& aState, const Request& aRequest)
{
  if (overloaded(aState)) {
    return RequestError{ 503, "event_loop_late", kElsewhereRetryAfter };
  }
  if (!linkCarries(aState.shortage, aRequest.call.body->size(), aState.now)) {
    ++aState.shortage.refused;
    return linkError();
  }
  const auto bytes = aState.heldBytes + aRequest.call.body->size();
  if (aState.requests.size() >= aState.options.maxRequests || bytes > aState.options.maxHeldBytes) {
    return RequestError{ 503, "overloaded", kOverloadRetryAfter };
  }
  return std::nullopt;
}

void
setExpiry(Request& aRequest)
{
  aRequest.expiresAt = aRequest.arrivedAt + longestTime(aRequest);
}

bool
waitsForTokens(const Request& aRequest)
{
  return aRequest.waitsUntil && aRequest.route != nullptr && aRequest.needsTokens && !aRequest.reserved;
}

/// @return whether the plan's balance covers what the request may cost beyond the tokens that it reserves first
bool
coversLargestCost(const State& aState, const PlanBudget& aBudget, Request& aRequest)
{
  if (aRequest.held == aRequest.maxCost || covers(aBudget, aRequest.maxCost, aState.now)) {
    return true;
  }
  // Without a leader no balance is known. The request is served if the tokens held cover it as a whole.
  const auto answeredAt = aState.link.answeredAt.value_or(TimePoint{});
  if (aState.now - answeredAt >= aState.options.controllerSilence && freeTokens(aBudget) >= aRequest.maxCost) {
    aRequest.held = aRequest.maxCost;
    return true;
  }
  return false;
}

/// Recomputes the tokens that waiting requests need; the next poll requests them.
void
countWaiting(State& aState)
{
  for (auto& [plan, budget] : aState.budgets.plans) {
    budget.waiting = 0;
  }
  for (const auto& [caller, request] : aState.requests) {
    if (waitsForTokens(request)) {
      aState.budgets.plans[request.plan].waiting += request.held;
    } else if (request.refill > 0) {
      aState.budgets.plans[request.plan].waiting += request.refill;
    }
  }
}

/// Tries again to get the tokens that streams have requested, and forwards the events that these cover.
void
serveStreams(State& aState)
{
  std::vector<CallerId> streams;
  for (const auto& [caller, request] : aState.requests) {
    if (request.refill > 0) {
      streams.push_back(caller);
    }
  }
  for (const auto caller : streams) {
    if (const auto found = aState.requests.find(caller); found != aState.requests.end()) {
      continueStream(aState, found->second);
    }
  }
  if (!streams.empty()) {
    countWaiting(aState);
  }
}

bool
responseOverdue(const State& aState, const Request& aRequest)
{
  if (!aRequest.attempt || aRequest.attempt->firstBytes) {
    return false;
  }
  const auto target = static_cast<double>(aRequest.route->targetLatencyMs) * aState.options.responseTimeoutFactor;
  const auto& attempt = *aRequest.attempt;
  const auto learned = attempt.estimate.expectedMs + aState.options.responseDeviations * attempt.estimate.deviationMs;
  const auto responseTimeout =
    std::max(Duration(static_cast<std::int64_t>(std::max(target, learned))), aState.options.minResponseTimeout);
  return aState.now - attempt.startedAt >= responseTimeout && aState.now >= attempt.reviewAt;
}

/// Resolves route, plan and service of the request and checks that this gateway may accept it.
/// @return false when the request was refused
bool
admit(State& aState, Request& aRequest)
{
  auto refusal = identify(aState, aRequest);
  refusal = refusal ? refusal : checkLeaving(aState, aRequest);
  refusal = refusal ? refusal : checkCapacity(aState, aRequest);
  refusal = refusal ? refusal : checkQuarantine(aState, aRequest);
  refusal = refusal ? refusal : chooseService(aState, aRequest);
  if (refusal) {
    failRequest(aState, aRequest.call.caller, *refusal);
    return false;
  }
  setExpiry(aRequest);
  if (aRequest.needsTokens) {
    chooseHold(aState, aRequest);
    recordDemand(aState.budgets.plans[aRequest.plan], aRequest.held);
  }
  return true;
}

} // namespace

void
accept(State& aState, const CallerCall& aCall)
{
  ++aState.totals.requests;
  auto& request = aState.requests[aCall.caller];
  request.call = aCall;
  request.arrivedAt = aState.now;
  request.loopDelay = aState.loop.delay;
  aState.heldBytes += aCall.body->size();
  request.expiresAt = aState.now + (aCall.deadline > Duration{ 0 } ? aCall.deadline : kDefaultDeadline);
  if (!aState.index && aState.now - aState.startedAt < aState.options.maxStartupWait) {
    request.waitsUntil = std::min(aState.startedAt + aState.options.maxStartupWait, request.expiresAt);
    return;
  }
  advance(aState, request);
}

void
advance(State& aState, Request& aRequest)
{
  if (aRequest.route == nullptr) {
    aRequest.waitsUntil.reset();
    if (!admit(aState, aRequest)) {
      return;
    }
  }
  if (aRequest.needsTokens && !aRequest.reserved) {
    auto& budget = aState.budgets.plans[aRequest.plan];
    if (!coversLargestCost(aState, budget, aRequest) || !reserve(budget, aRequest.held)) {
      if (confirmedExhausted(budget, aRequest.maxCost, aState.now)) {
        log(aState,
            Severity::kInfo,
            "budget_exhausted",
            { { "request", aRequest.call.requestId },
              { "plan", aRequest.plan },
              { "needed", aRequest.maxCost },
              { "remaining", budget.remaining },
              { "age_ms", (aState.now - budget.remainingAt).count() },
              { "issued", budget.issued },
              { "returned", budget.returned },
              { "spent", budget.spent },
              { "reserved", budget.reserved },
              { "committed", budget.committed } });
        failRequest(aState, aRequest.call.caller, { 402, "budget_exhausted", {} });
        return;
      }
      if (!aRequest.waitsUntil) {
        aRequest.waitsUntil = std::min(aState.now + aState.options.maxTokenWait, aRequest.expiresAt);
        countWaiting(aState);
        pollSoon(aState);
      }
      return;
    }
    aRequest.reserved = true;
    budget.committed += aRequest.maxCost - aRequest.held;
    if (aRequest.waitsUntil) {
      aRequest.waitsUntil.reset();
      countWaiting(aState);
    }
  }
  startAttempt(aState, aRequest);
}

void
serveWaiting(State& aState)
{
  std::vector<CallerId> waiting;
  for (const auto& [caller, request] : aState.requests) {
    if (request.waitsUntil) {
      waiting.push_back(caller);
    }
  }
  for (const auto caller : waiting) {
    if (const auto found = aState.requests.find(caller); found != aState.requests.end()) {
      advance(aState, found->second);
    }
  }
  if (!waiting.empty()) {
    countWaiting(aState);
  }
  serveStreams(aState);
}

void
tickRequests(State& aState)
{
  std::vector<CallerId> expired;
  std::vector<CallerId> overdue;
  for (const auto& [caller, request] : aState.requests) {
    const bool waitExpired = request.waitsUntil && aState.now >= *request.waitsUntil;
    if (aState.now >= request.expiresAt || waitExpired) {
      expired.push_back(caller);
    } else if (responseOverdue(aState, request)) {
      overdue.push_back(caller);
    }
  }
  for (const auto caller : expired) {
    const auto& request = aState.requests.at(caller);
    if (request.route == nullptr) {
      failRequest(aState, caller, { 503, "no_configuration", kStartupRetryAfter });
    } else if (request.waitsUntil && !waitsForTokens(request)) {
      failRequest(aState, caller, limitedError(aState, request));
    } else if (request.waitsUntil) {
      failRequest(aState, caller, { 503, "tokens_held_elsewhere", kTokensRetryAfter });
    } else {
      failRequest(aState, caller, { 504, "timed_out", {} });
    }
  }
  for (const auto caller : overdue) {
    if (const auto found = aState.requests.find(caller); found != aState.requests.end()) {
      onResponseTimeout(aState, found->second);
    }
  }
  if (!expired.empty()) {
    countWaiting(aState);
  }
}

void
endAll(State& aState)
{
  while (!aState.requests.empty()) {
    failRequest(aState, aState.requests.begin()->first, { 504, "shutting_down", kElsewhereRetryAfter });
  }
}

void
requestRefill(State& aState, Request& aRequest, Tokens aTokens)
{
  auto& budget = aState.budgets.plans[aRequest.plan];
  if (aRequest.refill == 0) {
    recordDemand(budget, aTokens);
  }
  const auto taken = std::clamp<Tokens>(freeTokens(budget), 0, aTokens);
  reserve(budget, taken);
  budget.committed -= taken;
  aRequest.held += taken;
  if (std::exchange(aRequest.refill, aTokens - taken) == 0 && aRequest.refill > 0) {
    countWaiting(aState);
    pollSoon(aState);
  }
}

void
onCallerGone(State& aState, CallerId aCaller)
{
  const auto found = aState.requests.find(aCaller);
  if (found == aState.requests.end()) {
    return;
  }
  endForDisconnectedCaller(aState, found->second);
  countWaiting(aState);
}

void
onCallerDrained(State& aState, const CallerDrained& aDrained)
{
  const auto found = aState.requests.find(aDrained.caller);
  if (found == aState.requests.end()) {
    return;
  }
  auto& request = found->second;
  request.undelivered -= std::min(request.undelivered, aDrained.bytes);
  if (request.paused && request.attempt) {
    updatePause(aState, request);
  }
}

} // namespace rhubarbarch::gateway
