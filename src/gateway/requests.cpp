#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace rhubarbarch::gateway {

namespace {

/// When a caller that found the tokens of its plan held elsewhere, or the controllers out of reach, should come back:
/// some polls later.
constexpr Duration kTokensRetry{ 500 };
/// When a caller that this gateway has no memory for should come back; another gateway may take it earlier.
constexpr Duration kOverloadRetry{ 500 };
/// When a caller of a gateway that knows no routes yet should come back: after an election and a poll.
constexpr Duration kStartRetry{ 1200 };

/// Kept this long when the caller does not say how long it waits and no route says how long it may.
constexpr Duration kUnknownDeadline{ 30'000 };
/// When a caller should come back that the balancer will send to another gateway: at once, but not in the same instant.
constexpr Duration kElsewhereRetry{ 50 };

std::optional<GiveUp>
identify(const State& aState, Request& aRequest)
{
  const auto& table = aState.index;
  if (!table) {
    return GiveUp{ 503, "no_configuration", kStartRetry };
  }
  aRequest.index = table;
  aRequest.route = findRoute(*table, aRequest.call.host, aRequest.call.target);
  if (aRequest.route == nullptr) {
    return GiveUp{ 404, "unknown_path", {} };
  }
  aRequest.priority = aRequest.route->priority;
  if (aRequest.route->isPublic || table->table.plans.empty()) {
    return std::nullopt;
  }
  const auto* plan = findPlan(*table, aRequest.call.key);
  if (plan == nullptr) {
    return GiveUp{ 401, "unknown_key", {} };
  }
  aRequest.plan = plan->plan;
  aRequest.priority = plan->priority >= 0 ? plan->priority : aRequest.priority;
  aRequest.worstCase = aRequest.call.promptTokens + aRequest.call.maxOutputTokens;
  aRequest.limited = plan->prepaid >= 0 && aRequest.worstCase > 0;
  return std::nullopt;
}

std::optional<GiveUp>
chooseService(State& aState, Request& aRequest)
{
  std::uniform_real_distribution<double> draw(0, 1);
  aRequest.service = findService(*aRequest.index, pickService(*aRequest.route, draw(aState.random)));
  if (aRequest.service == nullptr) {
    return GiveUp{ 503, "no_service", kOverloadRetry };
  }
  aState.retries[aRequest.service->name].noteRequest(aState.now);
  return std::nullopt;
}

/// A gateway that is about to end may not take what it could not finish.
std::optional<GiveUp>
checkLeaving(const State& aState, const Request& aRequest)
{
  const bool streams = aRequest.route->kind == CallKind::kStream;
  const auto last = streams ? aState.options.lastStream : aState.options.lastCall;
  if (aState.leavingSince && aState.now - *aState.leavingSince >= last) {
    return GiveUp{ 503, "shutting_down", kElsewhereRetry };
  }
  return std::nullopt;
}

std::optional<GiveUp>
checkRoom(const State& aState, const Request& aRequest)
{
  if (overloaded(aState)) {
    return GiveUp{ 503, "event_loop_late", kElsewhereRetry };
  }
  const auto bytes = aState.heldBytes + aRequest.call.body->size();
  if (aState.requests.size() >= aState.options.maxRequests || bytes > aState.options.maxHeldBytes) {
    return GiveUp{ 503, "overloaded", kOverloadRetry };
  }
  return std::nullopt;
}

void
setEnd(Request& aRequest)
{
  aRequest.endsAt = aRequest.arrivedAt + Duration(aRequest.route->timeoutMs);
  if (aRequest.call.deadline > Duration{ 0 }) {
    aRequest.endsAt = std::min(aRequest.endsAt, aRequest.arrivedAt + aRequest.call.deadline);
  }
}

/// The tokens of a request that waits, so that the next poll asks for them.
void
countWaiting(State& aState)
{
  for (auto& [plan, budget] : aState.budgets.plans) {
    budget.waiting = 0;
  }
  for (const auto& [caller, request] : aState.requests) {
    if (request.waitsUntil && request.route != nullptr) {
      aState.budgets.plans[request.plan].waiting += request.worstCase;
    }
  }
}

bool
silent(const State& aState, const Request& aRequest)
{
  if (!aRequest.attempt || aRequest.attempt->firstBytes) {
    return false;
  }
  const auto target = static_cast<double>(aRequest.route->targetLatencyMs) * aState.options.patience;
  const auto patience = std::max(Duration(static_cast<std::int64_t>(target)), aState.options.shortestPatience);
  return aState.now - aRequest.attempt->startedAt >= patience;
}

/// Finds out what the request asks for and may use.
/// @return false when it was refused
bool
admit(State& aState, Request& aRequest)
{
  auto refusal = identify(aState, aRequest);
  refusal = refusal ? refusal : checkLeaving(aState, aRequest);
  refusal = refusal ? refusal : checkRoom(aState, aRequest);
  refusal = refusal ? refusal : chooseService(aState, aRequest);
  if (refusal) {
    giveUp(aState, aRequest.call.caller, *refusal);
    return false;
  }
  setEnd(aRequest);
  if (aRequest.limited) {
    noteDemand(aState.budgets.plans[aRequest.plan], aRequest.worstCase);
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
  request.endsAt = aState.now + (aCall.deadline > Duration{ 0 } ? aCall.deadline : kUnknownDeadline);
  if (!aState.index && aState.now - aState.startedAt < aState.options.startWait) {
    request.waitsUntil = std::min(aState.startedAt + aState.options.startWait, request.endsAt);
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
  if (aRequest.limited && !aRequest.reserved) {
    auto& budget = aState.budgets.plans[aRequest.plan];
    if (!reserve(budget, aRequest.worstCase)) {
      if (provedExhausted(budget, aRequest.worstCase, aState.now)) {
        log(aState,
            Severity::kInfo,
            "budget_exhausted",
            { { "request", aRequest.call.requestId },
              { "plan", aRequest.plan },
              { "needed", aRequest.worstCase },
              { "remaining", budget.remaining },
              { "age_ms", (aState.now - budget.remainingAt).count() },
              { "issued", budget.issued },
              { "returned", budget.returned },
              { "spent", budget.spent },
              { "reserved", budget.reserved } });
        giveUp(aState, aRequest.call.caller, { 402, "budget_exhausted", {} });
        return;
      }
      if (!aRequest.waitsUntil) {
        aRequest.waitsUntil = std::min(aState.now + aState.options.tokenWait, aRequest.endsAt);
        countWaiting(aState);
        pollSoon(aState);
      }
      return;
    }
    aRequest.reserved = true;
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
}

void
tickRequests(State& aState)
{
  std::vector<CallerId> due;
  std::vector<CallerId> quiet;
  for (const auto& [caller, request] : aState.requests) {
    const bool waitedLong = request.waitsUntil && aState.now >= *request.waitsUntil;
    if (aState.now >= request.endsAt || waitedLong) {
      due.push_back(caller);
    } else if (silent(aState, request)) {
      quiet.push_back(caller);
    }
  }
  for (const auto caller : due) {
    const auto& request = aState.requests.at(caller);
    if (request.route == nullptr) {
      giveUp(aState, caller, { 503, "no_configuration", kStartRetry });
    } else if (request.waitsUntil) {
      giveUp(aState, caller, { 503, "tokens_held_elsewhere", kTokensRetry });
    } else {
      giveUp(aState, caller, { 504, "timed_out", {} });
    }
  }
  for (const auto caller : quiet) {
    if (const auto found = aState.requests.find(caller); found != aState.requests.end()) {
      onSilence(aState, found->second);
    }
  }
  if (!due.empty()) {
    countWaiting(aState);
  }
}

void
onCallerGone(State& aState, CallerId aCaller)
{
  const auto found = aState.requests.find(aCaller);
  if (found == aState.requests.end()) {
    return;
  }
  endForCallerGone(aState, found->second);
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
  if (request.paused && request.attempt && request.undelivered < aState.options.windowBytes / 2) {
    request.paused = false;
    aState.actions.emplace_back(PauseCall{ request.attempt->exchange, false });
  }
}

} // namespace rhubarbarch::gateway
