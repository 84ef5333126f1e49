#include "placement.h"
#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace rhubarbarch::gateway {

namespace {

/// Limit on sends of one request, including those refused as not run; more would add load to a service that is full.
constexpr int kMaxSends = 3;
constexpr std::int32_t kFirstServerError = 500;
/// An upstream that has sent this many events did not crash as it began to answer.
constexpr std::int64_t kSoundEvents = 2;
/// With a higher error rate, an upstream that closes a kept connection has probably failed the call.
constexpr double kSoundErrorRate = 0.15;
/// Time between two considerations whether a silent call goes elsewhere; each costs a placement.
constexpr Duration kReviewPeriod{ 50 };
/// Another upstream is clearly sooner if its estimate is below this part of the time that the silent one still needs.
constexpr double kClearlySooner = 0.8;

/// @return whether another upstream may run the request although an earlier one may have run it
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

/// @return whether time and sends are left for another attempt
bool
maySend(const State& aState, const Request& aRequest)
{
  return aRequest.expiresAt - aState.now >= aState.options.minAttemptTime && aRequest.sends < kMaxSends;
}

/// @return this gateway's part of the fleet's slack in retries. A new process has none at first: its predecessor may
/// have used it. A lower number of gateways counts only after a whole window, since a new leader knows few at first.
double
slackPart(State& aState)
{
  const auto window = aState.options.retryWindow;
  if (aState.now - aState.startedAt < window) {
    return 0;
  }
  const auto gateways = std::max<std::uint32_t>(aState.link.gateways.value(window, aState.now), 1);
  return static_cast<double>(aState.options.retrySlack) / gateways;
}

/// Takes a retry from this gateway's portion of the fleet's retry limit.
bool
takeRetry(State& aState, const Request& aRequest)
{
  const auto& options = aState.options;
  return !aRequest.mayCrash && aState.retries[aRequest.service->name].take(
                                 options.retryRatio, slackPart(aState), options.retryWindow, aState.now);
}

/// @return whether the request may be sent to another upstream
/// @param aReceived an upstream received the request, so another attempt counts towards the fleet's retry limit
bool
mayRetry(State& aState, const Request& aRequest, bool aReceived)
{
  if (!maySend(aState, aRequest)) {
    return false;
  }
  if (aRequest.mayHaveRun > 0 && (!repeatable(aRequest) || aRequest.mayHaveRun >= aRequest.route->maxAttempts)) {
    return false;
  }
  return !aReceived || takeRetry(aState, aRequest);
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
  call.priority = aRequest.attempt->priority;
  call.model = aRequest.service->isEngine;
  call.deadline = aRequest.expiresAt - aState.now;
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

/// Records that the upstream has begun to answer, so the prompt no longer counts as prefill load.
void
recordFirstBytes(State& aState, Request& aRequest)
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
  upstream->prefillTokens -= std::exchange(attempt.uncachedTokens, 0);
  const auto taken = aState.now - attempt.startedAt;
  recordTime(*upstream, taken, aRequest.service->isEngine, aState.now);
  if (aRequest.service->isEngine) {
    recordSlowness(*upstream, taken, attempt.expected, aState.now);
  }
}

/// Learns from the first event of an engine. A resumed stream, a cold or full engine and a late event loop say nothing
/// on the engine's speed.
void
learnFirstEvent(State& aState, const Request& aRequest)
{
  const auto& attempt = *aRequest.attempt;
  auto* upstream = findUpstream(aState, attempt.upstreamId);
  if (upstream == nullptr || attempt.firstBytes || !attempt.measurable || attempt.eventsBefore > 0 ||
      aState.loop.delay >= aState.options.minLoggedDelay) {
    return;
  }
  const auto taken = aState.now - attempt.startedAt;
  auto& model = aState.upstreams.models[aRequest.service->name];
  if (!upstream::learnFirstEvent(model, upstream->model, attempt.load, taken, aState.now)) {
    ++aState.totals.ignoredMeasurements;
    log(aState,
        Severity::kWarning,
        "measurement_ignored",
        { { "request", aRequest.call.requestId },
          { "upstream", attempt.upstreamId },
          { "taken_ms", taken.count() },
          { "queued_tokens", attempt.load.queuedTokens },
          { "uncached_tokens", attempt.load.uncachedTokens },
          { "running", attempt.load.running } });
    return;
  }
  auto& totals = aState.totals;
  ++totals.firstEvents;
  totals.firstEventMs += static_cast<double>(taken.count());
  totals.expectedMs += attempt.estimate.expectedMs;
  totals.estimateErrorMs += std::abs(static_cast<double>(taken.count()) - attempt.estimate.expectedMs);
}

/// Records that the current answer has got past its first event, or is complete.
void
recordSoundAnswer(State& aState, Request& aRequest)
{
  if (!std::exchange(aRequest.attempt->sound, true)) {
    recordSound(aState.crashes, aRequest.call, aState.now);
  }
}

void
logAttemptFailed(State& aState, const Request& aRequest, const std::string& aReason, bool aRetries)
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

void
logRefused(State& aState, const Request& aRequest, const UpstreamHead& aHead)
{
  log(aState,
      Severity::kInfo,
      "upstream_refused",
      { { "request", aRequest.call.requestId },
        { "upstream", aRequest.attempt->upstreamId },
        { "status", aHead.status },
        { "retry_after_ms", aHead.retryAfter ? aHead.retryAfter->count() : -1 },
        { "sends", aRequest.sends } });
}

/// Fails the current attempt and starts another one, or fails the request if no further attempt is allowed.
/// @param aMayHaveRun whether the upstream may have run the request
/// @param aReceived whether the upstream received the request
void
failAttempt(State& aState, Request& aRequest, const std::string& aReason, bool aMayHaveRun, bool aReceived)
{
  if (!aMayHaveRun) {
    --aRequest.mayHaveRun;
  }
  if (!aReceived) {
    --aRequest.sends;
  }
  const bool again = mayRetry(aState, aRequest, aReceived);
  logAttemptFailed(aState, aRequest, aReason, again);
  endAttempt(aState, aRequest, true);
  if (!again) {
    failRequest(aState, aRequest.call.caller, unavailableError(aState, aRequest, "upstream_failed"));
    return;
  }
  ++aState.totals.retries;
  startAttempt(aState, aRequest);
}

/// Sends the call of the current attempt once more to the same upstream, on a new connection. Upstreams close kept
/// connections that are idle, which says nothing on the upstream; still it may have received the call.
/// @return false when that is not allowed, or the upstream has probably failed the call
bool
resendCall(State& aState, Request& aRequest)
{
  auto& attempt = *aRequest.attempt;
  auto* upstream = findUpstream(aState, attempt.upstreamId);
  if (upstream == nullptr || !usable(*upstream) || isResting(upstream->rest, aState.now) ||
      !mayCall(upstream->limit, aState.now)) {
    return false;
  }
  decay(*upstream, aState.now);
  if (upstream->errorRate >= kSoundErrorRate || !maySend(aState, aRequest) || checkQuarantine(aState, aRequest) ||
      !takeRetry(aState, aRequest)) {
    return false;
  }
  logAttemptFailed(aState, aRequest, "kept connection closed", true);
  aState.exchanges.erase(attempt.exchange);
  attempt.exchange = ExchangeId{ ++aState.lastExchange };
  aState.exchanges[attempt.exchange] = aRequest.call.caller;
  ++aRequest.sends;
  ++aState.totals.retries;
  recordCall(upstream->limit, aState.now);
  auto call = makeCall(aState, aRequest, *upstream);
  call.fresh = true;
  aState.actions.emplace_back(std::move(call));
  return true;
}

void
forwardEvents(State& aState, Request& aRequest, std::string aEvents)
{
  learnFirstEvent(aState, aRequest);
  recordFirstBytes(aState, aRequest);
  if (auto* upstream = findUpstream(aState, aRequest.attempt->upstreamId)) {
    upstream->answeredAt = aState.now;
  }
  sendStreamHead(aState, aRequest);
  aRequest.undelivered += aEvents.size();
  recordSent(aState.shortage, aEvents.size(), aState.now);
  aState.actions.emplace_back(ReplyBody{ aRequest.call.caller, std::move(aEvents) });
  chargeDelivered(aState, aRequest);
}

/// Forwards the complete events that the request's tokens cover, and requests further tokens before these are used up.
/// @return false when the stream is not consistent with what was forwarded before
bool
feedStream(State& aState, Request& aRequest, const std::string& aData)
{
  auto events = aRequest.stream.feed(aData, coveredEvents(aRequest));
  if (!aRequest.stream.consistent()) {
    return false;
  }
  if (!events.empty()) {
    forwardEvents(aState, aRequest, std::move(events));
  }
  if (const auto tokens = missingTokens(aState, aRequest); tokens > 0) {
    requestRefill(aState, aRequest, tokens);
  }
  return true;
}

void
handleStreamData(State& aState, Request& aRequest, const std::string& aData)
{
  bool consistent = feedStream(aState, aRequest, aData);
  // Tokens may have come at once for the events held back. Each round covers at least one of them or is the last one.
  while (consistent && aRequest.stream.heldBack() && coveredEvents(aRequest) > 0) {
    consistent = feedStream(aState, aRequest, "");
  }
  if (!consistent) {
    failAttempt(aState, aRequest, "stream resumed at an unexpected event", true, true);
    return;
  }
  updatePause(aState, aRequest);
  if (aRequest.stream.events() - aRequest.attempt->eventsBefore >= kSoundEvents) {
    recordSoundAnswer(aState, aRequest);
  }
  if (!aRequest.stream.heldBack() && aRequest.stream.heldBytes() > aState.options.maxEventBytes) {
    failAttempt(aState, aRequest, "event exceeds the size limit", true, true);
  }
}

bool
isForwardedAsStream(const Request& aRequest)
{
  const auto& head = *aRequest.attempt->head;
  return aRequest.route->kind == CallKind::kStream && succeeded(head) && isEventStream(head);
}

/// @return whether the stream that has ended is whole. An answer without length or chunks ends with its connection,
/// also when its upstream crashes, so it must have brought an event. A resumed one with a length may be empty.
bool
isWholeStream(const Request& aRequest)
{
  const auto& attempt = *aRequest.attempt;
  const auto begun = attempt.head->untilClose ? attempt.eventsBefore : 0;
  return !aRequest.stream.partial() && aRequest.stream.events() > begun;
}

/// @return whether the upstream's answer is a server error and another upstream may run the request
bool
isRetryableFailure(const Request& aRequest, const UpstreamHead& aHead)
{
  return aHead.status >= kFirstServerError && repeatable(aRequest);
}

PlacementRequest
placementRequest(const State& aState, const Request& aRequest)
{
  PlacementRequest wanted;
  wanted.service = aRequest.service;
  wanted.prompt = aRequest.call.prompt.empty() ? nullptr : &aRequest.call.prompt;
  wanted.promptTokens = aRequest.call.promptTokens;
  wanted.avoid = &aRequest.tried;
  wanted.target = Duration(aRequest.route->targetLatencyMs);
  wanted.dataCentre = aState.options.dataCentre;
  wanted.protectsPauses = aRequest.index->protectsPauses;
  return wanted;
}

/// Gives up the attempts that have gathered most until the rest is within its bound.
void
limitGathered(State& aState)
{
  while (aState.gatheredBytes > aState.options.maxGatheredBytes) {
    const auto most = std::ranges::max_element(
      aState.requests, {}, [](const auto& aItem) { return aItem.second.attempt ? aItem.second.gathered : 0; });
    if (!most->second.attempt) {
      return;
    }
    failAttempt(aState, most->second, "unfinished answers exceed the memory for them", true, true);
  }
}

/// @return whether another engine will probably answer in time and clearly sooner than the silent one. One that
/// answers other calls is probably reading the prompt; then the other one must not have to read more.
bool
worthMoving(const State& aState, const Request& aRequest, const Placement& aOther)
{
  if (aOther.upstream == nullptr) {
    return false;
  }
  const auto& attempt = *aRequest.attempt;
  const auto waited = static_cast<double>((aState.now - attempt.startedAt).count());
  // The longer a call is overdue, the longer it probably still takes.
  const auto rest = std::max(attempt.estimate.deviationMs, waited - attempt.estimate.expectedMs);
  const auto left = static_cast<double>((aRequest.expiresAt - aState.now).count());
  const auto current = aState.upstreams.byId.find(attempt.upstreamId);
  const bool reads = current != aState.upstreams.byId.end() && current->second.answeredAt > attempt.startedAt;
  const auto& other = aOther.estimate;
  return other.expectedMs + other.deviationMs < left && other.expectedMs < kClearlySooner * rest &&
         !(reads && aOther.uncachedTokens > attempt.uncachedTokens);
}

void
logSilence(State& aState, const Request& aRequest, const Placement& aOther, bool aMoves)
{
  const auto& attempt = *aRequest.attempt;
  log(aState,
      Severity::kInfo,
      aMoves ? "silent_call_moved" : "silent_call_kept",
      { { "request", aRequest.call.requestId },
        { "upstream", attempt.upstreamId },
        { "waited_ms", (aState.now - attempt.startedAt).count() },
        { "estimate_ms", std::llround(attempt.estimate.expectedMs) },
        { "deviation_ms", std::llround(attempt.estimate.deviationMs) },
        { "other", aOther.upstream == nullptr ? "" : aOther.upstream->entry.id },
        { "other_ms", std::llround(aOther.estimate.expectedMs) },
        { "uncached_tokens", attempt.uncachedTokens },
        { "other_uncached_tokens", aOther.uncachedTokens } });
}

/// Decides whether a silent call to an engine goes elsewhere. Learns from the silence when it does.
bool
leaveSilentEngine(State& aState, Request& aRequest)
{
  auto& attempt = *aRequest.attempt;
  attempt.reviewAt = aState.now + kReviewPeriod;
  auto wanted = placementRequest(aState, aRequest);
  wanted.addsDemand = false;
  const auto other = place(aState.upstreams, wanted, aState.now);
  const bool moves = worthMoving(aState, aRequest, other) && mayRetry(aState, aRequest, true);
  if (!moves) {
    if (!std::exchange(attempt.keptLogged, true)) {
      ++aState.totals.silentKept;
      logSilence(aState, aRequest, other, false);
    }
    return false;
  }
  ++aState.totals.silentMoved;
  logSilence(aState, aRequest, other, true);
  if (auto* upstream = findUpstream(aState, attempt.upstreamId); upstream != nullptr && attempt.measurable) {
    const auto waited = aState.now - attempt.startedAt;
    upstream::learnSilence(
      aState.upstreams.models[aRequest.service->name], upstream->model, attempt.load, waited, aState.now);
  }
  return true;
}

} // namespace

void
updatePause(State& aState, Request& aRequest)
{
  const auto limit = aRequest.paused ? aState.options.windowBytes / 2 : aState.options.windowBytes + 1;
  const bool pauses = aRequest.stream.heldBack() || aRequest.undelivered >= limit;
  if (std::exchange(aRequest.paused, pauses) != pauses) {
    aState.totals.starved += pauses && aRequest.stream.heldBack() ? 1 : 0;
    aState.actions.emplace_back(PauseCall{ aRequest.attempt->exchange, pauses });
  }
}

void
continueStream(State& aState, Request& aRequest)
{
  requestRefill(aState, aRequest, aRequest.refill);
  if (!aRequest.attempt || !aRequest.stream.heldBack()) {
    return;
  }
  const auto exchange = aRequest.attempt->exchange;
  const bool ended = aRequest.attempt->ended;
  handleStreamData(aState, aRequest, "");
  if (ended) {
    onEnd(aState, { exchange });
  }
}

void
startAttempt(State& aState, Request& aRequest)
{
  // A first attempt was checked at admission, and whenever the quarantine changed since then.
  if (const auto refusal = aRequest.sends > 0 ? checkQuarantine(aState, aRequest) : std::nullopt) {
    failRequest(aState, aRequest.call.caller, *refusal);
    return;
  }
  auto wanted = placementRequest(aState, aRequest);
  wanted.addsDemand = !aRequest.waitsUntil;
  wanted.random = &aState.random;
  const auto placed = place(aState.upstreams, wanted, aState.now);
  if (placed.upstream == nullptr && placed.limited) {
    waitForPermit(aState, aRequest);
    return;
  }
  if (placed.upstream == nullptr) {
    failRequest(aState, aRequest.call.caller, unavailableError(aState, aRequest, "no_upstream"));
    return;
  }
  aRequest.waitsUntil.reset();
  auto& upstream = *placed.upstream;
  recordCall(upstream.limit, aState.now);
  Attempt attempt;
  attempt.exchange = ExchangeId{ ++aState.lastExchange };
  attempt.upstreamId = upstream.entry.id;
  attempt.startedAt = aState.now;
  attempt.expected = placed.expected;
  attempt.uncachedTokens = placed.uncachedTokens;
  attempt.load = placed.load;
  attempt.estimate = placed.estimate;
  attempt.measurable = placed.measurable;
  attempt.priority = aRequest.priority;
  const bool refines = aRequest.index->refinesPriorities && aRequest.index->protectsPauses;
  if (refines && placed.estimate.expectedMs > 0) {
    const auto left = Duration(aRequest.route->targetLatencyMs) - (aState.now - aRequest.arrivedAt);
    auto& typical = aState.typicalSlack[aRequest.service->name];
    attempt.priority = refinePriority(aRequest.priority, placed.readingMs, left, typical);
  } else if (refines) {
    attempt.priority = 2 * aRequest.priority + 1;
  }
  attempt.eventsBefore = aRequest.stream.events();
  attempt.trial = beginTrial(upstream.rest);
  ++upstream.running;
  upstream.prefillTokens += placed.uncachedTokens;
  upstream.cache.use(aRequest.call.prompt, aRequest.service->engine.kvTokens);
  aState.exchanges[attempt.exchange] = aRequest.call.caller;
  aRequest.tried.insert(attempt.upstreamId);
  aRequest.attempt = std::make_unique<Attempt>(std::move(attempt));
  ++aRequest.sends;
  ++aRequest.mayHaveRun;
  if (isLimited(upstream.limit, aState.now)) {
    log(aState,
        Severity::kInfo,
        "limited_call",
        { { "request", aRequest.call.requestId },
          { "upstream", upstream.entry.id },
          { "sends", aRequest.sends },
          { "permits_left", upstream.limit.permits.size() } });
  }
  recordSent(aState.shortage, aRequest.call.body->size(), aState.now);
  aState.actions.emplace_back(makeCall(aState, aRequest, upstream));
}

void
countGathered(State& aState, Request& aRequest)
{
  const auto gathered = aRequest.body.size() + aRequest.stream.heldBytes();
  aState.gatheredBytes += gathered;
  aState.gatheredBytes -= std::exchange(aRequest.gathered, gathered);
}

void
endAttempt(State& aState, Request& aRequest, bool aCancel)
{
  if (!aRequest.attempt) {
    return;
  }
  const auto& attempt = *aRequest.attempt;
  if (auto* upstream = findUpstream(aState, attempt.upstreamId)) {
    --upstream->running;
    upstream->prefillTokens -= attempt.uncachedTokens;
    if (attempt.trial) {
      endTrial(upstream->rest, false);
    }
  }
  if (aCancel) {
    aState.actions.emplace_back(CancelCall{ attempt.exchange });
  }
  aState.exchanges.erase(attempt.exchange);
  aRequest.attempt.reset();
  // Gives the memory back, which a clear would keep for the next attempt.
  std::string().swap(aRequest.body);
  aRequest.paused = false;
  aRequest.stream.discardPartial();
  countGathered(aState, aRequest);
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
  if (upstream != nullptr) {
    recordUpstreamContact(aState, *upstream, false);
  }
  if (aHead.otherInstance) {
    if (upstream != nullptr) {
      upstream->listed = false; // another instance now has its address
    }
    failAttempt(aState, *request, "other instance at the address", false, true);
    return;
  }
  if (upstream != nullptr && (aHead.genuine || aHead.notRun)) {
    onNamedLimit(aState, *upstream, aHead);
  }
  if (upstream != nullptr) {
    recordRest(aState, *upstream, aHead);
  }
  if (aHead.notRun) {
    if (upstream != nullptr) {
      recordAnswer(*upstream, true, aState.now);
    }
    logRefused(aState, *request, aHead);
    failAttempt(
      aState, *request, "upstream refused the request with status " + std::to_string(aHead.status), false, true);
    return;
  }
  if (!aHead.genuine) {
    if (upstream != nullptr) {
      recordAnswer(*upstream, true, aState.now);
    }
    failAttempt(aState, *request, "answer lacks the upstream's signature", true, true);
    return;
  }
  if (upstream != nullptr) {
    recordAnswer(*upstream, aHead.status >= kFirstServerError, aState.now);
    if (std::exchange(request->attempt->trial, false)) {
      endTrial(upstream->rest, !isResting(upstream->rest, aState.now));
    }
  }
  request->attempt->head = std::make_unique<UpstreamHead>(aHead);
  if (request->headSent && !isForwardedAsStream(*request)) {
    failAttempt(aState,
                *request,
                "resume was not answered with an event stream: status " + std::to_string(aHead.status),
                true,
                true);
  }
}

void
onData(State& aState, const UpstreamData& aData)
{
  auto* request = findRequest(aState, aData.exchange);
  if (request == nullptr || !request->attempt->head) {
    return;
  }
  if (isForwardedAsStream(*request)) {
    handleStreamData(aState, *request, aData.data);
  } else {
    request->body += aData.data;
    if (request->body.size() > aState.options.maxAnswerBytes) {
      failAttempt(aState, *request, "answer exceeds the size limit", true, true);
    }
  }
  // The request may have ended.
  if (auto* remaining = findRequest(aState, aData.exchange)) {
    countGathered(aState, *remaining);
    limitGathered(aState);
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
  if (isForwardedAsStream(*request)) {
    if (request->stream.heldBack()) {
      request->attempt->ended = true;
      return;
    }
    if (!isWholeStream(*request)) {
      onBrokenOff(aState, *request);
      failAttempt(aState, *request, "stream ended before or within an event", true, true);
    } else {
      recordSoundAnswer(aState, *request);
      endStream(aState, *request);
    }
    return;
  }
  recordFirstBytes(aState, *request);
  const auto& route = *request->route;
  if (isRetryableFailure(*request, head) && request->mayHaveRun < route.maxAttempts &&
      hasCandidate(aState.upstreams, *request->service, request->tried, aState.now) &&
      mayRetry(aState, *request, true)) {
    logAttemptFailed(aState, *request, "upstream failed the request with status " + std::to_string(head.status), true);
    endAttempt(aState, *request, false);
    ++aState.totals.retries;
    startAttempt(aState, *request);
    return;
  }
  recordSoundAnswer(aState, *request);
  forwardAnswer(aState, *request);
}

void
onError(State& aState, const UpstreamError& aError)
{
  auto* request = findRequest(aState, aError.exchange);
  if (request == nullptr) {
    return;
  }
  const bool idleClose = aError.kept && repeatable(*request);
  if (idleClose && resendCall(aState, *request)) {
    return;
  }
  const bool connectTimedOut = !aError.sent && aError.silent;
  bool linkShort = false;
  if (auto* upstream = findUpstream(aState, request->attempt->upstreamId)) {
    if (connectTimedOut) {
      recordUpstreamContact(aState, *upstream, true);
      linkShort = connectionsFail(aState.shortage, aState.now);
    }
    if (linkShort) {
      // The time-out says nothing about the upstream, and a repeat would add load to the link.
      logAttemptFailed(aState, *request, aError.detail, false);
      --request->mayHaveRun;
      --request->sends;
      endAttempt(aState, *request, true);
      failRequest(aState, request->call.caller, linkError());
      return;
    }
    if (!aError.sent || aError.silent) {
      recordUnreachable(*upstream, aState.now);
    } else {
      recordAnswer(*upstream, true, aState.now);
    }
  }
  if (aError.sent && !aError.silent && !idleClose) {
    onBrokenOff(aState, *request);
  }
  failAttempt(aState, *request, aError.detail, aError.sent, aError.sent);
}

void
onResponseTimeout(State& aState, Request& aRequest)
{
  if (!repeatable(aRequest) || aRequest.mayHaveRun >= aRequest.route->maxAttempts ||
      !hasCandidate(aState.upstreams, *aRequest.service, aRequest.tried, aState.now)) {
    return;
  }
  const bool learned = aRequest.attempt->estimate.expectedMs > 0;
  if (!(learned ? leaveSilentEngine(aState, aRequest) : mayRetry(aState, aRequest, true))) {
    return;
  }
  logAttemptFailed(aState, aRequest, "silent", true);
  endAttempt(aState, aRequest, true);
  ++aState.totals.retries;
  startAttempt(aState, aRequest);
}

} // namespace rhubarbarch::gateway
