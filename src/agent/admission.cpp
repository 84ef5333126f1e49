#include "admission.h"

#include "explain.h"
#include "run_table.h"
#include "runner.h"
#include "sessions.h"

#include <algorithm>
#include <array>
#include <optional>

namespace rhubarbarch::agent {

namespace {

/// Delays before a router should retry a refused request.
constexpr Duration kQueueRetryDelay{ 1000 };
constexpr Duration kMemoryRetryDelay{ 2000 };
constexpr Duration kUpstreamRetryDelay{ 3000 };
constexpr std::int64_t kPerMille = 1000;

std::int64_t
retryAfter(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kQueueFull:
      return kQueueRetryDelay.count();
    case RefusalReason::kMemory:
      return kMemoryRetryDelay.count();
    case RefusalReason::kUpstreamDown:
      return kUpstreamRetryDelay.count();
    default:
      return 0;
  }
}

std::int64_t
kvBytesOf(const State& aState, const Dispatch& aDispatch)
{
  if (!isModelEngine(aState)) {
    return 0;
  }
  constexpr auto kMaxKvBytes = std::numeric_limits<std::int64_t>::max() / 4;
  const auto perToken = std::max<std::int64_t>(aState.options.kvBytesPerToken, 1);
  return aDispatch.reserved > kMaxKvBytes / perToken ? kMaxKvBytes
                                                     : aDispatch.reserved * aState.options.kvBytesPerToken;
}

/// KV bytes in the engine's report that exceed the largest reservation at the time of the report.
std::int64_t
unaccountedKvBytes(const State& aState)
{
  const auto& peak = aState.engine.peak;
  const auto reserved = std::max({ aState.table.reservedKvBytes, peak.current, peak.previous });
  return std::max<std::int64_t>(0, aState.engine.load.kvUsedBytes - reserved);
}

using Refusal = std::optional<RefusalReason>;

Refusal
checkReservation(const State& /*aState*/, const Dispatch& aDispatch)
{
  const bool valid = aDispatch.reserved >= 0 && aDispatch.outputCap >= 0 && aDispatch.timeoutMs > 0;
  return valid ? Refusal{} : Refusal{ RefusalReason::kQueueFull };
}

Refusal
checkRegistered(const State& aState, const Dispatch& /*aDispatch*/)
{
  return aState.sessions.registered ? Refusal{} : Refusal{ RefusalReason::kLeaving };
}

Refusal
checkSession(const State& aState, const Dispatch& aDispatch)
{
  const bool accepted = sessionAccepted(aState.sessions, aDispatch.routerSession);
  return accepted ? Refusal{} : Refusal{ RefusalReason::kFenced };
}

Refusal
checkTombstone(const State& aState, const Dispatch& aDispatch)
{
  return isTombstoned(aState.table, aDispatch.run) ? Refusal{ RefusalReason::kTombstone } : Refusal{};
}

Refusal
checkLeaving(const State& aState, const Dispatch& /*aDispatch*/)
{
  return aState.leaving ? Refusal{ RefusalReason::kLeaving } : Refusal{};
}

Refusal
checkLoaded(const State& aState, const Dispatch& aDispatch)
{
  if (!isModelEngine(aState)) {
    return aDispatch.model.empty() ? Refusal{} : Refusal{ RefusalReason::kNotLoaded };
  }
  const LoadedVersion wanted{ aDispatch.model, aDispatch.version };
  const auto& loaded = aState.engine.load.loaded;
  const bool found = std::ranges::find(loaded, wanted) != loaded.end();
  return found ? Refusal{} : Refusal{ RefusalReason::kNotLoaded };
}

Refusal
checkQueue(const State& aState, const Dispatch& aDispatch)
{
  const auto& table = aState.table;
  const auto& options = aState.options;
  const auto bytes = table.requestBytes + static_cast<std::int64_t>(aDispatch.body.data.size());
  const bool full = table.queue.size() >= options.maxQueued || table.unsettled.size() >= options.maxUnsettledRuns ||
                    bytes > static_cast<std::int64_t>(options.maxRequestBytes);
  return full ? Refusal{ RefusalReason::kQueueFull } : Refusal{};
}

Refusal
checkMemory(const State& aState, const Dispatch& aDispatch)
{
  const auto needed = kvBytesOf(aState, aDispatch);
  const bool fits =
    needed == 0 || needed + aState.table.reservedKvBytes + unaccountedKvBytes(aState) <= kvLimit(aState);
  return fits ? Refusal{} : Refusal{ RefusalReason::kMemory };
}

/// All checks of a new dispatch, in order. Every refusal confirms that the attempt does not run.
constexpr std::array kChecks{ checkTombstone, checkRegistered, checkSession, checkReservation,
                              checkLeaving,   checkLoaded,     checkQueue,   checkMemory };

Refusal
firstRefusal(const State& aState, const Dispatch& aDispatch)
{
  for (const auto check : kChecks) {
    if (const auto refusal = check(aState, aDispatch)) {
      return refusal;
    }
  }
  return {};
}

/// Answers a dispatch that must not reach the checks: a repeat of a known run, one of which an earlier copy may have
/// run, or one for another boot. The first two must not be refused: a refusal confirms that nothing ran.
bool
answerWithoutChecks(Step& aStep, const Address& aFrom, const Dispatch& aDispatch)
{
  auto& table = aStep.state.table;
  const bool otherBoot = aDispatch.expectedBoot != aStep.state.boot;
  auto* run = otherBoot ? nullptr : findRun(table, aDispatch.run);
  if (run != nullptr) {
    ++aStep.state.counters.duplicates;
    recordDecision(aStep, "admission", aDispatch.run, { { "result", "duplicate" }, { "from", aFrom.instance } });
    answerStatus(aStep, aFrom, aDispatch.run, aDispatch.expectedBoot);
    return true;
  }
  const bool tombstoned = !otherBoot && isTombstoned(table, aDispatch.run);
  const bool unknown = otherBoot ? aDispatch.repeated : !tombstoned && mayHaveBeenErased(table, aDispatch);
  if (unknown) {
    recordDecision(aStep, "admission", aDispatch.run, { { "result", "unknown" }, { "from", aFrom.instance } });
    aStep.send(aFrom, RunStatus{ aDispatch.run, RunState::kUnknown, {}, {}, false });
    return true;
  }
  if (otherBoot) {
    ++aStep.state.counters.refused[reasonName(RefusalReason::kOtherBoot)];
    recordDecision(aStep, "admission", aDispatch.run, { { "result", reasonName(RefusalReason::kOtherBoot) } });
    aStep.send(aFrom, DispatchRefused{ aDispatch.run, RefusalReason::kOtherBoot, 0 });
  }
  return otherBoot;
}

void
enqueue(Step& aStep, const Address& aFrom, const Dispatch& aDispatch)
{
  auto& table = aStep.state.table;
  Run run;
  run.request = aDispatch;
  run.owner = aFrom;
  run.receiver = aFrom;
  run.receiverSession = aDispatch.routerSession;
  run.queuedAt = aStep.now;
  run.deadline = aStep.now + std::min(Duration{ aDispatch.timeoutMs }, aStep.state.options.maxRunTime);
  run.kvBytes = kvBytesOf(aStep.state, aDispatch);
  run.bodyBytes = static_cast<std::int64_t>(aDispatch.body.data.size());
  run.answer.creditUntil = aDispatch.creditUntil;
  table.reservedKvBytes += run.kvBytes;
  table.requestBytes += run.bodyBytes;
  table.runs.emplace(aDispatch.run, std::move(run));
  table.queue.push_back(aDispatch.run);
  trackReserved(aStep);
}

} // namespace

const char*
reasonName(RefusalReason aReason)
{
  constexpr std::array kNames{ "leaving",    "queue_full", "memory",     "fenced",
                               "other_boot", "tombstone",  "not_loaded", "upstream_down" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

std::int64_t
kvLimit(const State& aState)
{
  const auto reported = aState.engine.load.kvCapacityBytes;
  auto capacity = aState.options.upstream.kvCapacityBytes;
  if (capacity <= 0 || (reported > 0 && reported < capacity)) {
    capacity = reported;
  }
  return capacity - capacity / kPerMille * aState.options.kvHeadroomPerMille;
}

void
trackReserved(Step& aStep)
{
  auto& peak = aStep.state.engine.peak;
  if (aStep.now >= peak.rotateAt) {
    peak.rotateAt = aStep.now + aStep.state.options.loadReportLag;
    peak.previous = peak.current;
    peak.current = 0;
  }
  peak.current = std::max(peak.current, aStep.state.table.reservedKvBytes);
}

void
refuse(Step& aStep, const Address& aTo, const RunId& aRun, RefusalReason aReason)
{
  // Without a tombstone, a late copy of the dispatch could be accepted after the router learned of the refusal.
  writeTombstone(aStep, aRun);
  ++aStep.state.counters.refused[reasonName(aReason)];
  aStep.send(aTo, DispatchRefused{ aRun, aReason, retryAfter(aReason) });
}

void
onDispatch(Step& aStep, const Address& aFrom, const Dispatch& aDispatch)
{
  auto& table = aStep.state.table;
  if (answerWithoutChecks(aStep, aFrom, aDispatch)) {
    return;
  }
  const auto refusal = firstRefusal(aStep.state, aDispatch);
  recordDecision(aStep,
                 "admission",
                 aDispatch.run,
                 { { "result", refusal ? reasonName(*refusal) : "queued" },
                   { "from", aFrom.instance },
                   { "session", toNumber(aDispatch.routerSession) },
                   { "reserved_tokens", aDispatch.reserved },
                   { "queue", table.queue.size() },
                   { "reserved_kv_bytes", table.reservedKvBytes } });
  if (refusal) {
    refuse(aStep, aFrom, aDispatch.run, *refusal);
    return;
  }
  ++aStep.state.counters.accepted;
  table.largestSession = std::max(table.largestSession, aDispatch.routerSession);
  enqueue(aStep, aFrom, aDispatch);
  startQueued(aStep);
}

} // namespace rhubarbarch::agent
