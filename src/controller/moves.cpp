#include "controllers.h"
#include "move_judge.h"
#include "upstreams.h"

#include <algorithm>

namespace rhubarbarch::controller {

namespace {

constexpr Duration kCheckPeriod{ 100 };

MoveWindow&
windowOf(Context& aContext, const Move& aMove)
{
  auto& window = aContext.memory.windows[aMove.id];
  if (window.changedUnixMs != aMove.changedUnixMs) {
    nextWindow(window, aMove, aContext.options.moves);
  }
  return window;
}

bool
isServing(const Move& aMove)
{
  return aMove.state == MoveState::kStepping || aMove.state == MoveState::kWatching;
}

void
proposeStep(Context& aContext, const Move& aMove, MoveState aState, std::int32_t aPerMille, const std::string& aReason)
{
  auto& window = windowOf(aContext, aMove);
  if (window.stepProposed) {
    return;
  }
  window.stepProposed = true;
  auto statistics = describeWindow(window, aMove);
  const state::StepMove command{ aMove.id, aMove.state, aMove.perMille, aState, aPerMille, aReason, aContext.unixMs };
  propose(aContext, command, [statistics, id = aMove.id](Context& aDone, const state::Outcome& aOutcome) {
    aDone.memory.windows[id].stepProposed = false;
    const auto& outcome = std::get<state::MoveOutcome>(aOutcome);
    if (outcome.accepted) {
      log(aDone,
          "move_step",
          { { "move", id },
            { "model", outcome.move.model },
            { "to_version", outcome.move.toVersion },
            { "state", static_cast<int>(outcome.move.state) },
            { "per_mille", outcome.move.perMille },
            { "reason", outcome.move.reason },
            { "judged", statistics } });
    }
  });
}

void
rollBack(Context& aContext, const Move& aMove, const std::string& aReason)
{
  proposeStep(aContext, aMove, MoveState::kTakenBack, 0, aReason);
}

Duration
untilDeadline(const Context& aContext, const Move& aMove)
{
  return Duration(aMove.deadlineUnixMs - aContext.unixMs);
}

bool
isLoaded(const Context& aContext, const Move& aMove)
{
  const auto upstreams = upstreamsOf(aContext, aMove.model);
  return !upstreams.empty() && std::ranges::all_of(upstreams, [&](const ModelUpstream& aUpstream) {
    return hasLoaded(aUpstream, aMove.model, aMove.toVersion);
  });
}

void
tickLoading(Context& aContext, const Move& aMove)
{
  const auto left = untilDeadline(aContext, aMove);
  if (isLoaded(aContext, aMove)) {
    const auto first = planStep(0, left, aContext.options.moves);
    proposeStep(aContext, aMove, MoveState::kStepping, first.perMille, {});
    return;
  }
  if (left <= aContext.options.moves.minSteps * aContext.options.moves.shortestStep) {
    rollBack(aContext, aMove, "not loaded at all upstreams in time for the deadline");
  }
}

void
tickStepping(Context& aContext, const Move& aMove)
{
  if (const auto fault = evaluateWindow(windowOf(aContext, aMove), aMove, aContext.options.moves)) {
    rollBack(aContext, aMove, *fault);
    return;
  }
  const auto left = untilDeadline(aContext, aMove);
  const auto since = Duration(aContext.unixMs - aMove.changedUnixMs);
  // The step is planned from the time of the last change of the share, so it does not become shorter as time passes.
  const auto next = planStep(aMove.perMille, left + since, aContext.options.moves);
  if (left <= Duration{ 0 }) {
    rollBack(aContext, aMove, "the deadline passed before the whole share was reached");
    return;
  }
  if (since >= next.after) {
    const bool whole = next.perMille == state::kWholeShare;
    proposeStep(aContext, aMove, whole ? MoveState::kWatching : MoveState::kStepping, next.perMille, {});
  }
}

void
tickWatching(Context& aContext, const Move& aMove)
{
  if (const auto fault = evaluateWindow(windowOf(aContext, aMove), aMove, aContext.options.moves)) {
    rollBack(aContext, aMove, *fault);
    return;
  }
  if (Duration(aContext.unixMs - aMove.changedUnixMs) >= aContext.options.moves.watchPeriod) {
    proposeStep(aContext, aMove, MoveState::kDone, state::kWholeShare, {});
  }
}

void
tickMove(Context& aContext, const Move& aMove)
{
  switch (aMove.state) {
    case MoveState::kPlanned:
      proposeStep(aContext, aMove, MoveState::kLoading, 0, {});
      break;
    case MoveState::kLoading:
      tickLoading(aContext, aMove);
      break;
    case MoveState::kStepping:
      tickStepping(aContext, aMove);
      break;
    case MoveState::kWatching:
      tickWatching(aContext, aMove);
      break;
    case MoveState::kDone:
    case MoveState::kTakenBack:
      aContext.memory.windows.erase(aMove.id);
      break;
  }
}

void
recordSamples(Context& aContext, const ConfigPoll& aPoll)
{
  for (const auto& sample : aPoll.samples) {
    const auto* move = state::activeMove(aContext.state.moves, sample.model);
    if (move != nullptr && isServing(*move)) {
      addSample(windowOf(aContext, *move).routes[sample.route][sample.version], sample);
    }
  }
}

// The circuit breaker of one router may open because of a local fault, for example a broken link. The statistics of all
// routers or a second router must confirm its report, unless the statistics hold no traffic of the new version.
void
handleBrakeReport(Context& aContext, const Address& aFrom, const BrakeReport& aReport)
{
  const auto* move = state::activeMove(aContext.state.moves, aReport.model);
  if (move == nullptr || move->toVersion != aReport.version || !isServing(*move)) {
    return;
  }
  auto& window = windowOf(aContext, *move);
  window.brakeReporters.insert(aReport.session);
  const bool confirmed = window.brakeReporters.size() > 1 || confirmsBrakeReport(window, *move, aReport.route);
  log(aContext,
      "brake_reported",
      { { "move", move->id },
        { "instance", aFrom.instance },
        { "route", aReport.route },
        { "reason", aReport.reason },
        { "confirmed", confirmed },
        { "judged", describeWindow(window, *move) } },
      Severity::kWarning);
  if (confirmed) {
    rollBack(aContext, *move, "brake at " + aFrom.instance + ", route " + aReport.route + ": " + aReport.reason);
  }
}

} // namespace

bool
handleMoves(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  if (const auto* poll = std::get_if<ConfigPoll>(&aMessage)) {
    recordSamples(aContext, *poll);
    return true;
  }
  if (const auto* report = std::get_if<BrakeReport>(&aMessage)) {
    handleBrakeReport(aContext, aFrom, *report);
    return true;
  }
  return false;
}

void
tickMoves(Context& aContext)
{
  if (aContext.unixMs == 0 || !isDue(aContext, aContext.memory.movesChecked, kCheckPeriod)) {
    return;
  }
  for (const auto& move : aContext.state.moves.moves) {
    tickMove(aContext, move);
  }
}

} // namespace rhubarbarch::controller
