#include "runner.h"

#include "admission.h"
#include "charge.h"
#include "explain.h"
#include "run_table.h"
#include "stream.h"

#include <algorithm>
#include <array>

namespace rhubarbarch::agent {

namespace {

constexpr std::int32_t kFirstErrorStatus = 400;
constexpr std::int32_t kFirstServerError = 500;

/// Queue time by which runs are ordered. A review ranks as if it arrived later, so chat cannot starve it.
TimePoint
effectiveQueueTime(const State& aState, const RunId& aId)
{
  const auto& run = aState.table.runs.at(aId);
  const bool review = run.request.priority == Priority::kReview;
  return run.queuedAt + (review ? aState.options.reviewPenalty : Duration{ 0 });
}

const char*
outcomeName(RunOutcome aOutcome)
{
  constexpr std::array kNames{ "completed", "failed", "cancelled", "timed_out" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

/// Releases the reserved memory, request body and queue entries of a run.
void
releaseResources(Step& aStep, Run& aRun)
{
  auto& table = aStep.state.table;
  trackReserved(aStep);
  table.reservedKvBytes -= aRun.kvBytes;
  table.requestBytes -= aRun.bodyBytes;
  aRun.kvBytes = 0;
  aRun.bodyBytes = 0;
  aRun.request.body = {};
  std::erase(table.queue, aRun.request.run);
  table.active.erase(aRun.request.run);
}

/// Ends a run that never reached the upstream with a refusal. Only its tombstone remains.
void
refuseRun(Step& aStep, Run& aRun, RefusalReason aReason)
{
  const auto id = aRun.request.run;
  const auto owner = aRun.owner;
  const auto receiver = aRun.receiver;
  releaseResources(aStep, aRun);
  eraseRun(aStep, id);
  recordDecision(aStep, "run_refused", id, { { "reason", reasonName(aReason) } });
  refuse(aStep, owner, id, aReason);
  if (receiver != owner) {
    aStep.send(receiver, RunStatus{ id, RunState::kNeverRan, {}, {}, false });
  }
}

RunDone
makeRunDone(Run& aRun, const Ending& aEnding)
{
  RunDone done;
  done.run = aRun.request.run;
  done.outcome = aEnding.outcome;
  done.ran = aEnding.ran;
  done.httpStatus = aRun.httpStatus;
  done.contentType = aRun.contentType;
  done.totalBytes = aRun.answer.received();
  if (const auto usage = aRun.usage.usage()) {
    done.promptTokens = usage->promptTokens;
    done.outputTokens = usage->completionTokens;
  }
  done.charge = aEnding.ran == Ran::kNo ? 0 : chargeOf(aRun);
  return done;
}

/// Removes a run's exchange without sending a cancel to the upstream.
void
removeExchange(Step& aStep, Run& aRun)
{
  auto& table = aStep.state.table;
  if (table.exchanges.erase(toNumber(aRun.exchange)) > 0) {
    --table.running;
  }
  aRun.exchange = {};
  aRun.answer.paused = false;
}

void
scheduleResume(Step& aStep, Run& aRun)
{
  removeExchange(aStep, aRun);
  aRun.phase = Phase::kSuspended;
  aRun.nextResume = aStep.now + aStep.state.options.resumeRetryPeriod;
}

void
expire(Step& aStep, Run& aRun)
{
  if (aRun.phase == Phase::kQueued) {
    refuseRun(aStep, aRun, RefusalReason::kQueueFull);
    return;
  }
  closeExchange(aStep, aRun, isModelEngine(aStep.state));
  // A service may still execute the request after its connection was closed.
  const bool answered = aRun.httpStatus != 0;
  finish(aStep, aRun, { RunOutcome::kTimedOut, answered ? Ran::kYes : Ran::kUnknown });
}

} // namespace

void
startExchange(Step& aStep, Run& aRun)
{
  auto& table = aStep.state.table;
  const auto& request = aRun.request;
  aRun.phase = Phase::kRunning;
  aRun.exchange = ExchangeId{ table.nextExchange++ };
  aRun.resumed = aRun.httpStatus != 0;
  aRun.answer.paused = false;
  table.exchanges.emplace(toNumber(aRun.exchange), request.run);
  table.active.insert(request.run);
  ++table.running;
  UpstreamStart start;
  start.exchange = aRun.exchange;
  start.method = request.method;
  start.path = request.path;
  start.contentType = request.contentType;
  start.body = request.body.data;
  start.requestId = request.run.request;
  start.idempotencyKey = request.idempotent ? std::string{} : request.run.request;
  start.priority = request.priority;
  start.outputCap = request.outputCap;
  start.resumeOffset = aRun.answer.received();
  start.timeout = aRun.deadline - aStep.now;
  start.model = request.model;
  start.version = request.version;
  aStep.out.emplace_back(std::move(start));
}

void
closeExchange(Step& aStep, Run& aRun, bool aNotifyUpstream)
{
  auto& table = aStep.state.table;
  if (table.exchanges.erase(toNumber(aRun.exchange)) == 0) {
    return;
  }
  --table.running;
  aRun.answer.paused = false;
  aStep.out.emplace_back(UpstreamCancel{ aRun.exchange, aRun.request.run.request, aNotifyUpstream });
  aRun.exchange = {};
}

void
startQueued(Step& aStep)
{
  auto& table = aStep.state.table;
  while (!table.queue.empty() && table.running < aStep.state.options.maxRunning) {
    const auto chosen =
      std::ranges::min_element(table.queue, {}, [&](const RunId& aId) { return effectiveQueueTime(aStep.state, aId); });
    auto& run = table.runs.at(*chosen);
    table.queue.erase(chosen);
    run.startedAt = aStep.now;
    recordDecision(aStep,
                   "run_started",
                   run.request.run,
                   { { "waited_ms", (aStep.now - run.queuedAt).count() }, { "running", table.running + 1 } });
    startExchange(aStep, run);
  }
}

void
finish(Step& aStep, Run& aRun, Ending aEnding)
{
  auto& table = aStep.state.table;
  auto& counters = aStep.state.counters;
  const auto id = aRun.request.run;
  removeExchange(aStep, aRun);
  releaseResources(aStep, aRun);
  aRun.phase = Phase::kDone;
  aRun.finishedAt = aStep.now;
  aRun.done = makeRunDone(aRun, aEnding);
  aRun.settled = aRun.done.charge == 0;
  aRun.nextDone = aStep.now;
  table.unsettled.insert(id);
  ++counters.finished[outcomeName(aEnding.outcome)];
  counters.chargedTokens += aRun.done.charge;
  counters.missingUsage += aRun.usage.usage() || aRun.request.model.empty() ? 0 : 1;
  recordDecision(aStep,
                 "run_done",
                 id,
                 { { "outcome", outcomeName(aEnding.outcome) },
                   { "http_status", aRun.httpStatus },
                   { "bytes", aRun.done.totalBytes },
                   { "charge_tokens", aRun.done.charge },
                   { "grant", toNumber(aRun.request.grant) } });
  advanceStream(aStep, aRun);
  startQueued(aStep);
}

void
onUpstreamHead(Step& aStep, const UpstreamHead& aEvent)
{
  auto* run = findRun(aStep.state.table, aEvent.exchange);
  if (run == nullptr) {
    return;
  }
  if (run->resumed) {
    if (aEvent.httpStatus >= kFirstErrorStatus) {
      // The engine no longer has the run, so the rest of the answer cannot be obtained.
      closeExchange(aStep, *run, false);
      finish(aStep, *run, { RunOutcome::kFailed, Ran::kYes });
    }
    return;
  }
  run->httpStatus = aEvent.httpStatus;
  run->contentType = aEvent.contentType;
  run->usage.begin(aEvent.contentType);
  advanceStream(aStep, *run);
}

void
onUpstreamData(Step& aStep, const UpstreamData& aEvent)
{
  auto* run = findRun(aStep.state.table, aEvent.exchange);
  if (run == nullptr || run->httpStatus == 0) {
    return;
  }
  appendAnswer(aStep, *run, aEvent.data);
  advanceStream(aStep, *run);
  enforceBufferLimit(aStep);
}

void
onUpstreamEnd(Step& aStep, const UpstreamEnd& aEvent)
{
  auto* run = findRun(aStep.state.table, aEvent.exchange);
  if (run == nullptr) {
    return;
  }
  const bool failed = run->httpStatus == 0 || run->httpStatus >= kFirstServerError;
  finish(aStep, *run, { failed ? RunOutcome::kFailed : RunOutcome::kCompleted, Ran::kYes });
}

void
onUpstreamError(Step& aStep, const UpstreamError& aEvent)
{
  auto* run = findRun(aStep.state.table, aEvent.exchange);
  if (run == nullptr) {
    return;
  }
  const bool notSent = aEvent.failure == ExchangeFailure::kNotSent;
  if (notSent && run->resumed) {
    scheduleResume(aStep, *run);
    return;
  }
  if (notSent) {
    removeExchange(aStep, *run);
    refuseRun(aStep, *run, RefusalReason::kUpstreamDown);
    startQueued(aStep);
    return;
  }
  // The engine may still be executing a request whose connection failed.
  closeExchange(aStep, *run, isModelEngine(aStep.state));
  finish(aStep, *run, { RunOutcome::kFailed, run->httpStatus != 0 ? Ran::kYes : Ran::kUnknown });
}

void
onCancelRun(Step& aStep, const Address& aFrom, const CancelRun& aOrder)
{
  auto* run = findRun(aStep.state.table, aOrder.run);
  if (run == nullptr || aFrom != run->receiver || !run->request.idempotent || run->phase == Phase::kDone) {
    return;
  }
  const bool queued = run->phase == Phase::kQueued;
  closeExchange(aStep, *run, isModelEngine(aStep.state));
  finish(aStep, *run, { RunOutcome::kCancelled, queued ? Ran::kNo : Ran::kYes });
}

void
onRunnerTick(Step& aStep)
{
  auto& table = aStep.state.table;
  std::vector<RunId> ids = table.queue;
  ids.insert(ids.end(), table.active.begin(), table.active.end());
  for (const auto& id : ids) {
    auto* run = findRun(table, id);
    if (run == nullptr || run->phase == Phase::kDone) {
      continue;
    }
    if (aStep.now >= run->deadline) {
      expire(aStep, *run);
    } else if (run->phase != Phase::kQueued) {
      onStreamTick(aStep, *run);
    }
  }
  startQueued(aStep);
}

} // namespace rhubarbarch::agent
