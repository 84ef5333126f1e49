#include "placement.h"
#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace rhubarbarch::gateway {

namespace {

/// When a caller should come back after no upstream could take its request; about one service time.
constexpr Duration kBusyRetry{ 400 };
/// Sends of one request that upstreams refused as not run; more would load a service that is full.
constexpr int kMaxSends = 3;
constexpr std::int32_t kFirstFailure = 500;

/// Whether another upstream may run the request although an earlier one may have run it.
bool
repeatable(const Request& aRequest)
{
  return aRequest.route->kind == CallKind::kIdempotent ||
         (aRequest.route->kind == CallKind::kStream && aRequest.route->resumable);
}

bool
isEventStream(const UpstreamHead& aHead)
{
  return std::ranges::any_of(aHead.fields,
                             [](const HttpField& aField) { return aField.value.starts_with("text/event-stream"); });
}

bool
succeeded(const UpstreamHead& aHead)
{
  return aHead.status >= 200 && aHead.status < 300;
}

/// Whether the request may be sent once more.
/// @param aArrived an upstream has got it, so that another attempt counts towards the fleet's limit
bool
mayTryAgain(State& aState, const Request& aRequest, bool aArrived)
{
  if (aRequest.endsAt - aState.now < aState.options.latestRetry || aRequest.sends >= kMaxSends) {
    return false;
  }
  if (aRequest.mayHaveRun > 0 && (!repeatable(aRequest) || aRequest.mayHaveRun >= aRequest.route->maxAttempts)) {
    return false;
  }
  return !aArrived || aState.retries[aRequest.service->name].take(aState.options.retryRatio,
                                                                  aState.options.retrySlack,
                                                                  aState.link.gateways,
                                                                  aState.options.retryWindow,
                                                                  aState.now);
}

StartCall
makeCall(const State& aState, const Request& aRequest, const Upstream& aUpstream)
{
  StartCall call;
  call.exchange = aRequest.attempt->exchange;
  call.endpoint = aUpstream.entry.endpoint;
  call.upstreamId = aUpstream.entry.id;
  call.requestId = aRequest.call.requestId;
  call.method = aRequest.call.method;
  call.host = aRequest.call.host;
  call.target = aRequest.call.target;
  call.fields = aRequest.call.fields;
  call.body = aRequest.call.body;
  call.plan = aRequest.plan;
  call.priority = aRequest.priority;
  call.model = aRequest.service->isEngine;
  call.deadline = aRequest.endsAt - aState.now;
  call.lastEventId = aRequest.stream.lastId().empty() ? aRequest.call.lastEventId : aRequest.stream.lastId();
  call.repeatable = repeatable(aRequest);
  return call;
}

Request*
findRequest(State& aState, ExchangeId aExchange)
{
  const auto exchange = aState.exchanges.find(aExchange);
  if (exchange == aState.exchanges.end()) {
    return nullptr;
  }
  const auto found = aState.requests.find(exchange->second);
  return found == aState.requests.end() ? nullptr : &found->second;
}

/// The upstream has begun to answer: its prompt is read.
void
noteFirstBytes(State& aState, Request& aRequest)
{
  auto& attempt = *aRequest.attempt;
  if (attempt.firstBytes) {
    return;
  }
  attempt.firstBytes = true;
  auto* upstream = findUpstream(aState, attempt.upstreamId);
  if (upstream == nullptr) {
    return;
  }
  upstream->prefillTokens -= std::exchange(attempt.missing, 0);
  noteTime(*upstream, aState.now - attempt.startedAt, attempt.expected, aRequest.service->isEngine, aState.now);
}

void
logAttemptLost(State& aState, const Request& aRequest, const std::string& aReason, bool aRetries)
{
  log(aState,
      Severity::kInfo,
      "attempt_lost",
      { { "request", aRequest.call.requestId },
        { "upstream", aRequest.attempt->upstreamId },
        { "reason", aReason },
        { "after_ms", (aState.now - aRequest.attempt->startedAt).count() },
        { "events", aRequest.stream.events() },
        { "retries", aRetries } });
}

/// Ends the current attempt and tries elsewhere, or ends the request.
/// @param aRan whether it may have run
/// @param aArrived whether the upstream has got it
void
loseAttempt(State& aState, Request& aRequest, const std::string& aReason, bool aRan, bool aArrived)
{
  if (!aRan) {
    --aRequest.mayHaveRun;
  }
  if (!aArrived) {
    --aRequest.sends;
  }
  const bool again = mayTryAgain(aState, aRequest, aArrived);
  logAttemptLost(aState, aRequest, aReason, again);
  dropAttempt(aState, aRequest, true);
  if (!again) {
    giveUp(aState, aRequest.call.caller, { 503, "upstream_failed", kBusyRetry });
    return;
  }
  ++aState.totals.retries;
  startAttempt(aState, aRequest);
}

void
passWhole(State& aState, Request& aRequest, std::string aEvents)
{
  noteFirstBytes(aState, aRequest);
  sendStreamHead(aState, aRequest);
  aRequest.undelivered += aEvents.size();
  aState.actions.emplace_back(ReplyBody{ aRequest.call.caller, std::move(aEvents) });
  if (!aRequest.paused && aRequest.undelivered > aState.options.windowBytes) {
    aRequest.paused = true;
    aState.actions.emplace_back(PauseCall{ aRequest.attempt->exchange, true });
  }
}

void
passEvents(State& aState, Request& aRequest, const std::string& aData)
{
  auto events = aRequest.stream.feed(aData);
  if (!aRequest.stream.consistent()) {
    loseAttempt(aState, aRequest, "resumed at another event", true, true);
    return;
  }
  if (!events.empty()) {
    passWhole(aState, aRequest, std::move(events));
  }
  if (aRequest.stream.heldBytes() > aState.options.maxEventBytes) {
    loseAttempt(aState, aRequest, "event without end", true, true);
  }
}

bool
passesEvents(const Request& aRequest)
{
  const auto& head = *aRequest.attempt->head;
  return aRequest.route->kind == CallKind::kStream && succeeded(head) && isEventStream(head);
}

/// A failure of the upstream after which another one may do better.
bool
worthRetry(const Request& aRequest, const UpstreamHead& aHead)
{
  return aHead.status >= kFirstFailure && repeatable(aRequest);
}

} // namespace

void
startAttempt(State& aState, Request& aRequest)
{
  PlacementRequest wanted;
  wanted.service = aRequest.service;
  wanted.prompt = aRequest.call.prompt.empty() ? nullptr : &aRequest.call.prompt;
  wanted.promptTokens = aRequest.call.promptTokens;
  wanted.avoid = &aRequest.tried;
  wanted.target = Duration(aRequest.route->targetLatencyMs);
  wanted.dataCentre = aState.options.dataCentre;
  const auto placed = place(aState.upstreams, wanted, aState.now);
  if (placed.upstream == nullptr) {
    giveUp(aState, aRequest.call.caller, { 503, "no_upstream", kBusyRetry });
    return;
  }
  auto& upstream = *placed.upstream;
  Attempt attempt;
  attempt.exchange = ExchangeId{ ++aState.lastExchange };
  attempt.upstreamId = upstream.entry.id;
  attempt.startedAt = aState.now;
  attempt.expected = placed.expected;
  attempt.missing = placed.missing;
  ++upstream.running;
  upstream.prefillTokens += placed.missing;
  upstream.cache.use(aRequest.call.prompt, aRequest.service->engine.kvTokens);
  aState.exchanges[attempt.exchange] = aRequest.call.caller;
  aRequest.tried.insert(attempt.upstreamId);
  aRequest.attempt = std::make_unique<Attempt>(std::move(attempt));
  ++aRequest.sends;
  ++aRequest.mayHaveRun;
  aState.actions.emplace_back(makeCall(aState, aRequest, upstream));
}

void
dropAttempt(State& aState, Request& aRequest, bool aCancel)
{
  if (!aRequest.attempt) {
    return;
  }
  const auto& attempt = *aRequest.attempt;
  if (auto* upstream = findUpstream(aState, attempt.upstreamId)) {
    --upstream->running;
    upstream->prefillTokens -= attempt.missing;
  }
  if (aCancel) {
    aState.actions.emplace_back(CancelCall{ attempt.exchange });
  }
  aState.exchanges.erase(attempt.exchange);
  aRequest.attempt.reset();
  aRequest.body.clear();
  aRequest.paused = false;
  aRequest.stream.dropPartial();
  if (!aRequest.stream.lastId().empty()) {
    aRequest.stream.expectNext();
  }
}

void
onHead(State& aState, const UpstreamHead& aHead)
{
  auto* request = findRequest(aState, aHead.exchange);
  if (request == nullptr) {
    return;
  }
  auto* upstream = findUpstream(aState, request->attempt->upstreamId);
  if (aHead.otherInstance) {
    if (upstream != nullptr) {
      upstream->listed = false; // its address belongs to another instance now
    }
    loseAttempt(aState, *request, "other instance at the address", false, true);
    return;
  }
  if (aHead.notRun) {
    loseAttempt(aState, *request, "refused by the upstream: " + std::to_string(aHead.status), false, true);
    return;
  }
  if (!aHead.genuine) {
    if (upstream != nullptr) {
      noteAnswer(*upstream, true, aState.now);
    }
    loseAttempt(aState, *request, "answer without the upstream's signature", true, true);
    return;
  }
  if (upstream != nullptr) {
    noteAnswer(*upstream, aHead.status >= kFirstFailure, aState.now);
  }
  request->attempt->head = std::make_unique<UpstreamHead>(aHead);
}

void
onData(State& aState, const UpstreamData& aData)
{
  auto* request = findRequest(aState, aData.exchange);
  if (request == nullptr || !request->attempt->head) {
    return;
  }
  if (passesEvents(*request)) {
    passEvents(aState, *request, aData.data);
  } else {
    request->body += aData.data;
    if (request->body.size() > aState.options.maxAnswerBytes) {
      loseAttempt(aState, *request, "answer without end", true, true);
    }
  }
}

void
onEnd(State& aState, const UpstreamEnd& aEnd)
{
  auto* request = findRequest(aState, aEnd.exchange);
  if (request == nullptr || !request->attempt->head) {
    return;
  }
  const auto& head = *request->attempt->head;
  if (passesEvents(*request)) {
    if (request->stream.partial()) {
      loseAttempt(aState, *request, "ended within an event", true, true);
    } else {
      endStream(aState, *request);
    }
    return;
  }
  if (request->headSent) {
    loseAttempt(aState, *request, "no stream after a resume: " + std::to_string(head.status), true, true);
    return;
  }
  noteFirstBytes(aState, *request);
  const auto& route = *request->route;
  if (worthRetry(*request, head) && request->mayHaveRun < route.maxAttempts && mayTryAgain(aState, *request, true)) {
    logAttemptLost(aState, *request, "failed by the upstream: " + std::to_string(head.status), true);
    dropAttempt(aState, *request, false);
    ++aState.totals.retries;
    startAttempt(aState, *request);
    return;
  }
  passOn(aState, *request);
}

void
onError(State& aState, const UpstreamError& aError)
{
  auto* request = findRequest(aState, aError.exchange);
  if (request == nullptr) {
    return;
  }
  if (auto* upstream = findUpstream(aState, request->attempt->upstreamId)) {
    if (!aError.sent || aError.silent) {
      noteUnreachable(*upstream, aState.now);
    } else {
      noteAnswer(*upstream, true, aState.now);
    }
  }
  loseAttempt(aState, *request, aError.detail, aError.sent, aError.sent);
}

void
onSilence(State& aState, Request& aRequest)
{
  if (!repeatable(aRequest) || aRequest.mayHaveRun >= aRequest.route->maxAttempts ||
      !mayTryAgain(aState, aRequest, true)) {
    return;
  }
  logAttemptLost(aState, aRequest, "silent", true);
  dropAttempt(aState, aRequest, true);
  ++aState.totals.retries;
  startAttempt(aState, aRequest);
}

} // namespace rhubarbarch::gateway
