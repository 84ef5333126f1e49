#include "runs.h"

#include "claims.h"
#include "control.h"
#include "filters.h"
#include "finish.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbarch::router {

namespace {

Dispatch
dispatchMessage(const State& aState, const Request& aRequest, const Reservation& aReservation)
{
  Dispatch message;
  message.run = aRequest.run.id;
  message.routerSession = aState.link.session;
  message.expectedBoot = aRequest.run.boot;
  message.grant = aReservation.grant;
  message.plan = aRequest.plan;
  message.reserved = aReservation.tokens;
  message.outputCap = aRequest.model.maxTokens;
  message.priority = aRequest.priority;
  message.timeoutMs = (aRequest.deadline - aState.now).count();
  message.idempotent = aRequest.route.idempotent;
  message.stream = aRequest.model.stream;
  message.method = aRequest.call.method;
  message.path = aRequest.call.path;
  message.contentType = aRequest.call.contentType;
  message.model = aRequest.model.model;
  message.version = aRequest.run.version;
  message.body.data = aRequest.call.body;
  message.creditUntil = aRequest.stream.creditUntil;
  return message;
}

void
startRun(State& aState, Request& aRequest)
{
  Run& run = aRequest.run;
  run.dispatched = true;
  run.routerSession = aState.link.session;
  const auto agent = aState.agents.find(run.agent);
  run.agentSession = agent == aState.agents.end() ? SessionId{} : agent->second.session;
  run.startedAt = aState.now;
  run.lastActivityAt = aState.now;
  run.queryAt = aState.now + aState.options.runQueryPeriod;
}

void
noteActivity(State& aState, Request& aRequest)
{
  aRequest.run.accepted = true;
  aRequest.run.lastActivityAt = aState.now;
  aRequest.run.queryAt = aState.now + aState.options.runIdlePeriod;
}

void
sendCredit(State& aState, Request& aRequest)
{
  if (!aRequest.run.done && extendCredit(aRequest.stream, aState.options.creditWindowBytes)) {
    sendToAgent(aState, aRequest.run.agent, Credit{ aRequest.run.id, aRequest.stream.creditUntil });
  }
}

/// @return false for an answer with a server error, which another attempt may still replace
bool
forwardsAnswer(const Request& aRequest) noexcept
{
  return aRequest.stream.headKnown && aRequest.stream.httpStatus < 500;
}

void
onRunHead(State& aState, Request& aRequest, const RunHead& aHead)
{
  noteActivity(aState, aRequest);
  aRequest.stream.headKnown = true;
  aRequest.stream.httpStatus = aHead.httpStatus;
  aRequest.stream.contentType = aHead.contentType;
  if (forwardsAnswer(aRequest)) {
    sendHead(aState, aRequest);
  } else {
    aRequest.stream.discard = true;
  }
}

void
noteFirstBytes(State& aState, Request& aRequest)
{
  if (std::exchange(aRequest.run.firstBytes, true) || aRequest.run.attached || !aRequest.route.service.empty()) {
    return;
  }
  const TrafficKey key{ aRequest.model.model, aRequest.run.version, aRequest.route.path };
  noteFirstToken(aState.breakers, key, aState.now - aRequest.run.startedAt, aState.options, aState.now);
}

void
appendAnswerCopy(const State& aState, Request& aRequest, std::string_view aBytes)
{
  if (!storesOutcome(aRequest) || aRequest.claim.outcomeSubmitted || !aRequest.answerCopyComplete) {
    return;
  }
  if (aRequest.answerCopy.size() + aBytes.size() > aState.options.creditWindowBytes) {
    // Too long to be stored: a retry can read it from the agent while the agent retains it.
    aRequest.answerCopyComplete = false;
    aRequest.answerCopy.clear();
    return;
  }
  aRequest.answerCopy.append(aBytes);
}

void
onStreamChunk(State& aState, Request& aRequest, const StreamChunk& aChunk)
{
  noteActivity(aState, aRequest);
  if (!aRequest.stream.headKnown) {
    aRequest.stream.gap = true; // the head is missing; the agent sends it again after an Attach
    sendAttach(aState, aRequest);
    return;
  }
  const std::string_view bytes = acceptChunk(aRequest.stream, aChunk.offset, aChunk.data.data);
  if (!bytes.empty()) {
    noteFirstBytes(aState, aRequest);
    if (forwardsAnswer(aRequest)) {
      appendAnswerCopy(aState, aRequest, bytes);
    }
    if (forwardsAnswer(aRequest) && aRequest.caller) {
      aState.actions.emplace_back(ReplyBody{ *aRequest.caller, std::string(bytes) });
    }
  }
  updateHeldBytes(aState, aRequest);
  if (aRequest.stream.discard) {
    sendCredit(aState, aRequest);
  }
  if (aRequest.stream.gap) {
    sendAttach(aState, aRequest);
  }
  if (aRequest.run.done) {
    advance(aState, aRequest.key);
  }
}

void
onRunDone(State& aState, Request& aRequest, const RunDone& aDone)
{
  noteActivity(aState, aRequest);
  if (!aRequest.run.done) {
    aRequest.run.done = aDone;
    if (aDone.ran != Ran::kNo) {
      noteRunResult(aState, aRequest, aDone.outcome != RunOutcome::kCompleted || aDone.httpStatus >= 500);
      chargeRun(aState, aRequest, aDone.charge);
    }
  }
  advance(aState, aRequest.key);
}

void
onQueriedClaim(State& aState, Request& aRequest, const RunStatus& aStatus)
{
  const bool ended = aStatus.state == RunState::kDone;
  if (aStatus.state == RunState::kNeverRan || (ended && aStatus.done.ran == Ran::kNo)) {
    rebindClaim(aState, aRequest);
  } else if (aStatus.state == RunState::kUnknown) {
    onOutcomeUnknown(aState, aRequest, "the agent does not know the run of this key", true);
  } else {
    attachToRun(aState, aRequest);
  }
}

/// Handles a run whose answer another router now reads, since the caller reconnected there. Another Attach would take
/// the answer away from that router.
void
onRunMoved(State& aState, Request& aRequest)
{
  noteDecision(aState, aRequest.id, "moved", nlohmann::json::object());
  aRequest.run.moved = true;
  aRequest.stream.discard = true;
  aRequest.stream.drained = aRequest.stream.received;
  updateHeldBytes(aState, aRequest);
  detachCaller(aState, aRequest);
}

void
onRunStatus(State& aState, Request& aRequest, const RunStatus& aStatus)
{
  if (aRequest.claim.phase == ClaimPhase::kQuerying) {
    onQueriedClaim(aState, aRequest, aStatus);
    return;
  }
  if (!aRequest.run.dispatched) {
    return;
  }
  if (aStatus.moved) {
    onRunMoved(aState, aRequest);
    return;
  }
  switch (aStatus.state) {
    case RunState::kQueued:
    case RunState::kRunning:
      noteActivity(aState, aRequest);
      return;
    case RunState::kDone:
      onRunDone(aState, aRequest, aStatus.done);
      return;
    case RunState::kNeverRan:
      if (!aRequest.run.accepted) {
        onNotRun(aState, aRequest, "the dispatch never arrived", Duration{ 0 });
        return;
      }
      [[fallthrough]]; // the agent knew the attempt before, so kNeverRan confirms nothing
    case RunState::kUnknown:
      // The agent also sends kUnknown for an Attach that it cannot serve while the run may continue: not final.
      onOutcomeUnknown(aState, aRequest, "the agent does not know the run", false);
      return;
  }
}

std::string
reasonText(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kLeaving:
      return "leaving";
    case RefusalReason::kQueueFull:
      return "queue full";
    case RefusalReason::kMemory:
      return "no KV memory";
    case RefusalReason::kFenced:
      return "router session fenced";
    case RefusalReason::kOtherBoot:
      return "agent restarted";
    case RefusalReason::kTombstone:
      return "declared as never run";
    case RefusalReason::kNotLoaded:
      return "version not loaded";
    case RefusalReason::kUpstreamDown:
      return "upstream down";
  }
  return "unknown";
}

void
onDispatchRefused(State& aState, Request& aRequest, const DispatchRefused& aRefused)
{
  if (!aRequest.run.dispatched || aRequest.run.attached || aRequest.run.done) {
    return;
  }
  const bool fenced = aRefused.reason == RefusalReason::kFenced;
  const bool otherAgent =
    !fenced && aRefused.reason != RefusalReason::kOtherBoot && aRefused.reason != RefusalReason::kTombstone;
  if (fenced && aRequest.run.routerSession == aState.link.session) {
    endControlSession(aState);
  }
  if (otherAgent) {
    aRequest.avoid.insert(aRequest.run.agent);
  }
  onNotRun(aState, aRequest, reasonText(aRefused.reason), Duration{ aRefused.retryAfterMs });
}

/// @return the request whose current attempt is this run at this agent, or null
Request*
runAt(State& aState, const InstanceId& aAgent, const RunId& aRun)
{
  Request* request = findRun(aState, aRun);
  return request != nullptr && request->run.agent == aAgent ? request : nullptr;
}

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

} // namespace

void
bindRun(State& aState, Request& aRequest, const Placement& aPlacement)
{
  unbindRun(aState, aRequest);
  aRequest.run.id = { aRequest.runRequest, aRequest.attempt };
  aRequest.run.agent = aPlacement.agent;
  aRequest.run.boot = aPlacement.boot;
  aRequest.run.version = aPlacement.version;
  aState.runs[aRequest.run.id] = aRequest.key;
}

void
bindExistingRun(State& aState, Request& aRequest, const RunId& aRun, const InstanceId& aAgent, Boot aBoot)
{
  unbindRun(aState, aRequest);
  aRequest.run.id = aRun;
  aRequest.run.agent = aAgent;
  aRequest.run.boot = aBoot;
  aRequest.run.attached = true;
  aState.runs[aRun] = aRequest.key;
}

void
unbindRun(State& aState, Request& aRequest)
{
  const auto found = aState.runs.find(aRequest.run.id);
  if (found != aState.runs.end() && found->second == aRequest.key) {
    aState.runs.erase(found);
  }
  aRequest.run = Run{};
}

Outcome
dispatch(State& aState, Request& aRequest)
{
  if (aRequest.claim.phase == ClaimPhase::kAttaching) {
    if (aState.link.session == SessionId{}) {
      return Wait{}; // agents only answer routers with a live session
    }
    startRun(aState, aRequest);
    sendAttach(aState, aRequest);
    return Continue{};
  }
  const Reservation reservation = aRequest.reservation.value_or(Reservation{});
  const auto grant = aState.grants.grants.find(reservation.grant);
  if (grant == aState.grants.grants.end() || !grant->second.live) {
    // The session was fenced between the reservation and the dispatch.
    releaseTokens(aState.grants, reservation.grant, reservation.tokens);
    aRequest.reservation.reset();
    aRequest.stage = Stage::kReserve;
    return Rewind{};
  }
  if (aState.now >= aRequest.deadline) {
    return Refusal{ 504, "timed_out", "the request could not be started in time", Ran::kNo, Duration{ 1000 } };
  }
  startRun(aState, aRequest);
  sendToAgent(aState, aRequest.run.agent, dispatchMessage(aState, aRequest, reservation));
  const auto agent = aState.agents.find(aRequest.run.agent);
  if (agent != aState.agents.end()) {
    const bool isService = !aRequest.route.service.empty();
    const auto bytes = isService ? 0 : aRequest.worstCase * aState.options.kvBytesPerToken;
    agent->second.recent.push_back({ aState.now, bytes });
  }
  noteDecision(
    aState,
    aRequest.id,
    "dispatched",
    { { "run", aRequest.run.id.request }, { "agent", aRequest.run.agent }, { "grant", toNumber(reservation.grant) } });
  return Continue{};
}

void
sendAttach(State& aState, Request& aRequest)
{
  if (aRequest.run.moved || aState.now < aRequest.stream.attachAt) {
    return;
  }
  aRequest.stream.attachAt = aState.now + aState.options.attachPeriod;
  Attach message;
  message.run = aRequest.run.id;
  message.expectedBoot = aRequest.run.boot;
  message.routerSession = aState.link.session;
  message.offset = aRequest.stream.received;
  message.creditUntil = aRequest.stream.creditUntil;
  sendToAgent(aState, aRequest.run.agent, message);
}

bool
handleAgentMessage(State& aState, const InstanceId& aFrom, const Message& aMessage)
{
  const auto agent = aState.agents.find(aFrom);
  if (agent != aState.agents.end()) {
    agent->second.lastContactAt = aState.now;
  }
  const auto onRun = [&](const auto& aPart, auto aHandler) {
    if (Request* request = runAt(aState, aFrom, aPart.run)) {
      aHandler(aState, *request, aPart);
    }
    return true;
  };
  return std::visit(Overloaded{
                      [&](const AgentStatus& aStatus) {
                        if (agent != aState.agents.end()) {
                          applyStatus(agent->second, aStatus, aState.now);
                          checkAgentBoots(aState);
                        }
                        return true;
                      },
                      [&](const RunHead& aHead) { return onRun(aHead, onRunHead); },
                      [&](const StreamChunk& aChunk) { return onRun(aChunk, onStreamChunk); },
                      [&](const RunStatus& aStatus) { return onRun(aStatus, onRunStatus); },
                      [&](const DispatchRefused& aRefused) { return onRun(aRefused, onDispatchRefused); },
                      [&](const RunDone& aDone) {
                        if (runAt(aState, aFrom, aDone.run) == nullptr) {
                          // The request was already settled or failed; the agent need not repeat the message.
                          sendToAgent(aState, aFrom, RunDoneAck{ aDone.run });
                        }
                        return onRun(aDone, onRunDone);
                      },
                      [](const auto&) { return false; },
                    },
                    aMessage);
}

void
onCallerDrained(State& aState, const CallerDrained& aEvent)
{
  const auto found = aState.callers.find(aEvent.caller);
  if (found == aState.callers.end()) {
    return;
  }
  Request& request = aState.requests.at(found->second);
  request.stream.drained = std::min(request.stream.drained + aEvent.bytes, request.stream.received);
  updateHeldBytes(aState, request);
  if (request.run.done) {
    // The run has ended in time; the router delivers its answer for as long as the caller reads.
    request.deadline = std::max(request.deadline, aState.now + aState.options.readerTimeout);
  }
  if (request.run.dispatched) {
    sendCredit(aState, request);
  }
}

void
onCallerDisconnected(State& aState, CallerId aCaller)
{
  const auto found = aState.callers.find(aCaller);
  if (found == aState.callers.end()) {
    return;
  }
  Request& request = aState.requests.at(found->second);
  aState.callers.erase(found);
  request.caller.reset();
  noteDecision(aState, request.id, "caller_gone", nlohmann::json::object());
  if (!request.run.dispatched) {
    refuse(aState, request, { 499, "caller_gone", "the caller closed the connection", Ran::kNo, {} });
    return;
  }
  request.stream.discard = true;
  request.stream.drained = request.stream.received;
  updateHeldBytes(aState, request);
  if (request.route.idempotent && !claims(request)) {
    request.run.cancelled = true;
    sendToAgent(aState, request.run.agent, CancelRun{ request.run.id });
  } else {
    // The run continues to its end: a retry with the same key gets its answer.
    sendCredit(aState, request);
  }
  if (request.run.done) {
    advance(aState, request.key);
  }
}

} // namespace rhubarbarch::router
