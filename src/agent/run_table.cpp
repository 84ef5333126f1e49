#include "run_table.h"

#include "explain.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace rhubarbarch::agent {

namespace {

/// A request id split into the router boot that assigned it and the counter within that boot.
struct Origin
{
  std::string routerBoot;
  std::uint64_t counter = 0;
};

/// Later attempts append a suffix to the counter, for example `r1-7-12.2`. Any other id counts as its own boot.
Origin
originOf(const RequestId& aRequest)
{
  const auto dash = aRequest.rfind('-');
  if (dash == std::string::npos) {
    return { aRequest, 0 };
  }
  const auto* first = aRequest.data() + dash + 1;
  const auto* last = aRequest.data() + aRequest.size();
  std::uint64_t counter = 0;
  const auto [end, error] = std::from_chars(first, last, counter);
  if (error != std::errc{} || (end != last && *end != '.')) {
    return { aRequest, 0 };
  }
  return { aRequest.substr(0, dash), counter };
}

void
raiseWatermark(Step& aStep, const RunId& aId)
{
  auto& table = aStep.state.table;
  auto origin = originOf(aId.request);
  const auto [entry, added] = table.watermarks.try_emplace(origin.routerBoot, origin.counter);
  entry->second = std::max(entry->second, origin.counter);
  if (!added) {
    return;
  }
  table.watermarkOrder.push_back(std::move(origin.routerBoot));
  if (table.watermarkOrder.size() <= aStep.state.options.maxWatermarks) {
    return;
  }
  table.watermarks.erase(table.watermarkOrder.front());
  table.watermarkOrder.pop_front();
  table.watermarksEvicted = true;
  table.largestSessionAtEviction = table.largestSession;
}

RunState
stateOf(const Run& aRun)
{
  switch (aRun.phase) {
    case Phase::kQueued:
      return RunState::kQueued;
    case Phase::kDone:
      return RunState::kDone;
    case Phase::kRunning:
    case Phase::kSuspended:
      break;
  }
  return RunState::kRunning;
}

void
removeOldTombstones(Step& aStep)
{
  auto& table = aStep.state.table;
  const auto& options = aStep.state.options;
  while (!table.tombstoneOrder.empty()) {
    const auto oldest = table.tombstones.find(table.tombstoneOrder.front());
    if (table.tombstones.size() <= options.maxTombstones && aStep.now - oldest->second < options.finishedRetention) {
      return;
    }
    // The watermark replaces the tombstone and prevents a late dispatch of this attempt from running.
    raiseWatermark(aStep, oldest->first);
    table.tombstones.erase(oldest);
    table.tombstoneOrder.pop_front();
  }
}

void
removeOldRuns(Step& aStep)
{
  auto& table = aStep.state.table;
  const auto& options = aStep.state.options;
  while (!table.finished.empty()) {
    const RunId id = table.finished.front();
    const auto& run = table.runs.at(id);
    if (table.finished.size() <= options.maxFinishedRuns && aStep.now - run.finishedAt < options.finishedRetention) {
      return;
    }
    raiseWatermark(aStep, id);
    eraseRun(aStep, id);
    table.finished.pop_front();
  }
}

} // namespace

Run*
findRun(RunTable& aTable, const RunId& aId)
{
  const auto found = aTable.runs.find(aId);
  return found == aTable.runs.end() ? nullptr : &found->second;
}

Run*
findRun(RunTable& aTable, ExchangeId aExchange)
{
  const auto found = aTable.exchanges.find(toNumber(aExchange));
  return found == aTable.exchanges.end() ? nullptr : findRun(aTable, found->second);
}

bool
isTombstoned(const RunTable& aTable, const RunId& aId)
{
  return aTable.tombstones.contains(aId);
}

bool
mayHaveBeenErased(const RunTable& aTable, const RunId& aId)
{
  const auto origin = originOf(aId.request);
  const auto found = aTable.watermarks.find(origin.routerBoot);
  return found == aTable.watermarks.end() ? aTable.watermarksEvicted : origin.counter <= found->second;
}

bool
mayHaveBeenErased(const RunTable& aTable, const Dispatch& aDispatch)
{
  const auto origin = originOf(aDispatch.run.request);
  const auto found = aTable.watermarks.find(origin.routerBoot);
  if (found != aTable.watermarks.end()) {
    return origin.counter <= found->second;
  }
  return aTable.watermarksEvicted && aDispatch.routerSession <= aTable.largestSessionAtEviction;
}

void
writeTombstone(Step& aStep, const RunId& aId)
{
  auto& table = aStep.state.table;
  if (!table.tombstones.try_emplace(aId, aStep.now).second) {
    return;
  }
  table.tombstoneOrder.push_back(aId);
  ++aStep.state.counters.tombstoned;
}

void
eraseRun(Step& aStep, const RunId& aId)
{
  auto& table = aStep.state.table;
  const auto found = table.runs.find(aId);
  if (found == table.runs.end()) {
    return;
  }
  table.bufferedBytes -= found->second.answer.buffered.size();
  std::erase(table.queue, aId);
  table.active.erase(aId);
  table.unsettled.erase(aId);
  table.runs.erase(found);
}

void
removeOld(Step& aStep)
{
  removeOldTombstones(aStep);
  removeOldRuns(aStep);
}

Run*
answerStatus(Step& aStep, const Address& aTo, const RunId& aId, Boot aExpected)
{
  auto& table = aStep.state.table;
  RunStatus status;
  status.run = aId;
  auto* run = aExpected == aStep.state.boot ? findRun(table, aId) : nullptr;
  if (run != nullptr) {
    status.state = stateOf(*run);
    status.grant = run->request.grant;
    status.done = run->done;
  } else if (aExpected == aStep.state.boot && (isTombstoned(table, aId) || !mayHaveBeenErased(table, aId))) {
    writeTombstone(aStep, aId);
    status.state = RunState::kNeverRan;
  }
  aStep.send(aTo, std::move(status));
  return run;
}

void
onRunQuery(Step& aStep, const Address& aFrom, const RunQuery& aQuery)
{
  // Routers query their runs frequently, so queries that find a run are not recorded.
  if (answerStatus(aStep, aFrom, aQuery.run, aQuery.expectedBoot) == nullptr) {
    const bool tombstone = isTombstoned(aStep.state.table, aQuery.run) && aQuery.expectedBoot == aStep.state.boot;
    recordDecision(aStep,
                   "run_query",
                   aQuery.run,
                   { { "result", tombstone ? "never_ran" : "unknown" }, { "from", aFrom.instance } });
  }
}

} // namespace rhubarbarch::agent
