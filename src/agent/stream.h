#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Appends bytes of the upstream's answer.
void
appendAnswer(Step& aStep, Run& aRun, const std::string& aBytes);

/// Sends what the credit allows, pauses or continues the upstream, resumes a suspended run, and sends RunDone when due.
void
advanceStream(Step& aStep, Run& aRun);

void
onCredit(Step& aStep, const Address& aFrom, const Credit& aCredit);

void
onAttach(Step& aStep, const Address& aFrom, const Attach& aAttach);

/// Discards answer bytes while the buffer limit of the process is exceeded, and suspends a run if that is not enough.
void
enforceBufferLimit(Step& aStep);

/// Suspends a run whose exchange exceeded the pause timeout, and resumes a suspended run whose reader has caught up.
void
onStreamTick(Step& aStep, Run& aRun);

/// Discards all buffered bytes of a run's answer.
void
discardAnswer(Step& aStep, Run& aRun);

} // namespace rhubarbarch::agent
