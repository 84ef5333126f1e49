#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Charge of a run that has ended, at most its reservation. Without final usage, an engine's answer is charged the
/// whole reservation, unless it has an error status, which means that there was no output.
Tokens
chargeOf(const Run& aRun);

void
onRunDoneAck(Step& aStep, const Address& aFrom, const RunDoneAck& aAck);

void
onChargeSettled(Step& aStep, const ChargeSettled& aSettled);

void
onChargeAck(Step& aStep, const Address& aFrom, const ChargeAck& aAck);

/// Sends RunDone to the owner, and to the receiver once all bytes of the answer were sent.
void
deliverRunDone(Step& aStep, Run& aRun);

/// Resends RunDone, and delivers charges that the routers do not deliver.
void
onChargeTick(Step& aStep);

/// Whether the router is not expected to deliver a charge: its session is not accepted, or it is unresponsive.
bool
isRouterLost(const State& aState, const Address& aRouter, SessionId aSession, TimePoint aNow);

} // namespace rhubarbarch::agent
