#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// The run, or null.
Run*
findRun(RunTable& aTable, const RunId& aId);

/// The run that an exchange with the upstream belongs to, or null.
Run*
findRun(RunTable& aTable, ExchangeId aExchange);

bool
isTombstoned(const RunTable& aTable, const RunId& aId);

/// Whether the attempt may have been erased: its counter is not above the watermark of its router boot, or the
/// watermark itself may have been evicted. The agent neither runs such an attempt nor reports that it never ran.
bool
mayHaveBeenErased(const RunTable& aTable, const RunId& aId);

/// The same for a dispatch. Whether its watermark may have been evicted is decided by the router's session.
bool
mayHaveBeenErased(const RunTable& aTable, const Dispatch& aDispatch);

/// Records that an attempt never ran, and prevents it from running later.
void
writeTombstone(Step& aStep, const RunId& aId);

/// Removes a run from the table without writing a tombstone.
void
eraseRun(Step& aStep, const RunId& aId);

/// Removes finished runs and tombstones that exceed the retention time or the maximum count.
void
removeOld(Step& aStep);

void
onRunQuery(Step& aStep, const Address& aFrom, const RunQuery& aQuery);

/// Sends the status of the attempt. An attempt that certainly never ran gets a tombstone.
/// @return the run, or null when there is none
Run*
answerStatus(Step& aStep, const Address& aTo, const RunId& aId, Boot aExpected);

} // namespace rhubarbarch::agent
