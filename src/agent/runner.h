#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Starts queued runs while exchanges are available: chat before review, with ageing.
void
startQueued(Step& aStep);

/// Starts the exchange of a run, from the first byte or after the bytes already received.
void
startExchange(Step& aStep, Run& aRun);

/// Closes the run's exchange.
/// @param aNotifyUpstream whether to send the upstream a cancel request as well
void
closeExchange(Step& aStep, Run& aRun, bool aNotifyUpstream);

/// The part of a run's result that is not derived from its answer.
struct Ending
{
  RunOutcome outcome = RunOutcome::kCompleted;
  Ran ran = Ran::kYes;
};

/// Ends a run, computes its charge and starts the delivery of RunDone.
void
finish(Step& aStep, Run& aRun, Ending aEnding);

void
onUpstreamHead(Step& aStep, const UpstreamHead& aEvent);

void
onUpstreamData(Step& aStep, const UpstreamData& aEvent);

void
onUpstreamEnd(Step& aStep, const UpstreamEnd& aEvent);

void
onUpstreamError(Step& aStep, const UpstreamError& aEvent);

void
onCancelRun(Step& aStep, const Address& aFrom, const CancelRun& aOrder);

/// Ends queued and running runs whose deadline has passed, and resumes suspended ones.
void
onRunnerTick(Step& aStep);

} // namespace rhubarbarch::agent
