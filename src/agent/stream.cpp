#include "stream.h"

#include "charge.h"
#include "explain.h"
#include "run_table.h"
#include "runner.h"
#include "sessions.h"

#include <algorithm>

namespace rhubarbarch::agent {

namespace {

/// Bytes are discarded from the front in blocks, since each erase moves the remaining bytes.
constexpr std::uint64_t kDiscardBlockBytes = std::uint64_t{ 64 } << 10U;

bool
isReceiverLost(const Step& aStep, const Run& aRun)
{
  return isRouterLost(aStep.state, aRun.receiver, aRun.receiverSession, aStep.now);
}

/// Offset up to which the agent reads from the upstream. If the receiver is lost, the agent reads on, up to the buffer
/// limit of the run, for a router that attaches later.
std::uint64_t
readLimit(const Step& aStep, const Run& aRun)
{
  const auto& options = aStep.state.options;
  const auto creditLimit = aRun.answer.creditUntil + options.window;
  const auto bufferLimit = aRun.answer.bufferedFrom + options.maxBufferedBytesPerRun;
  return isReceiverLost(aStep, aRun) ? std::max(creditLimit, bufferLimit) : creditLimit;
}

/// Offset before which the receiver has all bytes: credit is at most one window ahead of the bytes it received. The
/// last window of sent bytes stays buffered, since it may be lost with a connection.
std::uint64_t
deliveredOffset(const Step& aStep, const Answer& aAnswer)
{
  const auto window = aStep.state.options.window;
  const auto creditedOffset = std::min(aAnswer.creditUntil, aAnswer.sent);
  return creditedOffset > window ? creditedOffset - window : 0;
}

void
discardFront(Step& aStep, Answer& aAnswer, std::uint64_t aBytes)
{
  aAnswer.buffered.erase(0, aBytes);
  aAnswer.bufferedFrom += aBytes;
  aStep.state.table.bufferedBytes -= aBytes;
}

void
discardDelivered(Step& aStep, Answer& aAnswer)
{
  const auto until = deliveredOffset(aStep, aAnswer);
  if (until > aAnswer.bufferedFrom) {
    discardFront(aStep, aAnswer, until - aAnswer.bufferedFrom);
  }
}

void
sendChunks(Step& aStep, Run& aRun)
{
  auto& answer = aRun.answer;
  const auto until = std::min(answer.creditUntil, answer.received());
  while (answer.sent < until) {
    const auto count = std::min<std::uint64_t>(until - answer.sent, aStep.state.options.chunkBytes);
    StreamChunk chunk{ aRun.request.run, answer.sent, {} };
    chunk.data.data = answer.buffered.substr(answer.sent - answer.bufferedFrom, count);
    aStep.send(aRun.receiver, std::move(chunk));
    answer.sent += count;
  }
}

void
applyBackpressure(Step& aStep, Run& aRun)
{
  auto& answer = aRun.answer;
  if (aRun.phase != Phase::kRunning) {
    return;
  }
  const bool ahead = answer.received() > readLimit(aStep, aRun);
  if (ahead && !answer.paused) {
    answer.paused = true;
    answer.pausedSince = aStep.now;
    ++aStep.state.counters.pauses;
    aStep.out.emplace_back(UpstreamPause{ aRun.exchange });
  } else if (!ahead && answer.paused) {
    answer.paused = false;
    aStep.out.emplace_back(UpstreamContinue{ aRun.exchange });
  }
}

bool
canSuspend(const Step& aStep, const Run& aRun)
{
  return aRun.phase == Phase::kRunning && isModelEngine(aStep.state) && aRun.httpStatus == 200;
}

void
suspend(Step& aStep, Run& aRun, const char* aReason)
{
  ++aStep.state.counters.suspended;
  recordDecision(
    aStep,
    "run_suspended",
    aRun.request.run,
    { { "reason", aReason }, { "received_bytes", aRun.answer.received() }, { "sent_bytes", aRun.answer.sent } });
  closeExchange(aStep, aRun, true);
  aRun.phase = Phase::kSuspended;
  aRun.nextResume = aStep.now;
}

void
resumeIfCaughtUp(Step& aStep, Run& aRun)
{
  const auto& table = aStep.state.table;
  const auto& options = aStep.state.options;
  const auto& answer = aRun.answer;
  // All bytes that the credit allows are sent first, so credit beyond the received bytes means that all were sent.
  const bool caughtUp = answer.creditUntil > answer.received();
  const bool hasCapacity = table.running < options.maxRunning && table.bufferedBytes < options.keepTotal;
  if (aRun.phase != Phase::kSuspended || !caughtUp || !hasCapacity || aStep.now < aRun.nextResume) {
    return;
  }
  ++aStep.state.counters.resumed;
  startExchange(aStep, aRun);
}

void
discardFinishedAnswers(Step& aStep)
{
  auto& table = aStep.state.table;
  for (const auto& id : table.finished) {
    if (table.bufferedBytes <= aStep.state.options.keepTotal) {
      return;
    }
    discardAnswer(aStep, table.runs.at(id));
  }
}

/// The running run with the most unsent bytes among those that can be suspended, or null.
Run*
runWithMostUnsentBytes(Step& aStep)
{
  auto& table = aStep.state.table;
  Run* largest = nullptr;
  std::uint64_t most = 0;
  for (const auto& id : table.active) {
    auto& run = table.runs.at(id);
    const auto held = run.answer.received() - run.answer.sent;
    if (canSuspend(aStep, run) && held > most) {
      largest = &run;
      most = held;
    }
  }
  return largest;
}

bool
mayAttach(const Step& aStep, const Address& aFrom, const Run& aRun, const Attach& aAttach)
{
  // A fenced router that resumes after a process pause must not take the answer from the router that has it now.
  return sessionAccepted(aStep.state.sessions, aAttach.routerSession) || aFrom == aRun.receiver;
}

void
moveReceiver(Step& aStep, const Address& aFrom, Run& aRun, const Attach& aAttach)
{
  if (aRun.receiver != aFrom) {
    RunStatus moved{ aRun.request.run, RunState::kRunning, aRun.request.grant, {}, true };
    aStep.send(aRun.receiver, std::move(moved));
    aRun.receiverAcked = false;
  }
  aRun.receiver = aFrom;
  aRun.receiverSession = aAttach.routerSession;
  aRun.answer.sent = aAttach.offset;
  aRun.answer.creditUntil = aAttach.creditUntil;
  aRun.answer.headSent = false;
  aRun.nextDone = aStep.now;
  ++aStep.state.counters.attached;
}

} // namespace

void
appendAnswer(Step& aStep, Run& aRun, const std::string& aBytes)
{
  aRun.answer.buffered += aBytes;
  aStep.state.table.bufferedBytes += aBytes.size();
  aRun.usage.feed(aBytes);
}

void
advanceStream(Step& aStep, Run& aRun)
{
  auto& answer = aRun.answer;
  if (aRun.httpStatus != 0 && !answer.headSent) {
    answer.headSent = true;
    aStep.send(aRun.receiver, RunHead{ aRun.request.run, aRun.httpStatus, aRun.contentType });
  }
  sendChunks(aStep, aRun);
  if (answer.buffered.size() > aStep.state.options.maxBufferedBytesPerRun + kDiscardBlockBytes) {
    discardDelivered(aStep, answer);
  }
  applyBackpressure(aStep, aRun);
  resumeIfCaughtUp(aStep, aRun);
  deliverRunDone(aStep, aRun);
}

void
onCredit(Step& aStep, const Address& aFrom, const Credit& aCredit)
{
  auto* run = findRun(aStep.state.table, aCredit.run);
  if (run == nullptr || aFrom != run->receiver || aCredit.until <= run->answer.creditUntil) {
    return;
  }
  run->answer.creditUntil = aCredit.until;
  advanceStream(aStep, *run);
}

void
onAttach(Step& aStep, const Address& aFrom, const Attach& aAttach)
{
  auto& table = aStep.state.table;
  auto* run = aAttach.expectedBoot == aStep.state.boot ? findRun(table, aAttach.run) : nullptr;
  if (run == nullptr) {
    answerStatus(aStep, aFrom, aAttach.run, aAttach.expectedBoot);
    recordDecision(aStep, "attach", aAttach.run, { { "result", "no_run" }, { "from", aFrom.instance } });
    return;
  }
  const auto& answer = run->answer;
  const bool held = aAttach.offset >= answer.bufferedFrom && aAttach.offset <= answer.received();
  if (!held || !mayAttach(aStep, aFrom, *run, aAttach)) {
    RunStatus status{ aAttach.run, RunState::kUnknown, run->request.grant, {}, false };
    aStep.send(aFrom, std::move(status));
    recordDecision(
      aStep, "attach", aAttach.run, { { "result", held ? "fenced" : "dropped" }, { "from", aFrom.instance } });
    return;
  }
  recordDecision(aStep,
                 "attach",
                 aAttach.run,
                 { { "result", "attached" }, { "from", aFrom.instance }, { "offset", aAttach.offset } });
  moveReceiver(aStep, aFrom, *run, aAttach);
  answerStatus(aStep, aFrom, aAttach.run, aAttach.expectedBoot);
  advanceStream(aStep, *run);
}

void
enforceBufferLimit(Step& aStep)
{
  auto& table = aStep.state.table;
  const auto limit = aStep.state.options.keepTotal;
  if (table.bufferedBytes <= limit) {
    return;
  }
  discardFinishedAnswers(aStep);
  for (const auto* ids : { &table.unsettled, &table.active }) {
    for (const auto& id : *ids) {
      if (table.bufferedBytes > limit) {
        discardDelivered(aStep, table.runs.at(id).answer);
      }
    }
  }
  if (table.bufferedBytes > limit) {
    if (auto* run = runWithMostUnsentBytes(aStep)) {
      suspend(aStep, *run, "process_ceiling");
    }
  }
}

void
onStreamTick(Step& aStep, Run& aRun)
{
  applyBackpressure(aStep, aRun);
  const auto& answer = aRun.answer;
  if (answer.paused && aStep.now - answer.pausedSince >= aStep.state.options.pauseTimeout && canSuspend(aStep, aRun)) {
    suspend(aStep, aRun, "long_pause");
  }
  resumeIfCaughtUp(aStep, aRun);
}

void
discardAnswer(Step& aStep, Run& aRun)
{
  discardFront(aStep, aRun.answer, aRun.answer.buffered.size());
  aRun.answer.buffered.shrink_to_fit();
}

} // namespace rhubarbarch::agent
