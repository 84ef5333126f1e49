#include "core.h"

#include <iterator>
#include <utility>

namespace rhubarbarch::consensus {

void
startReads(Core& aCore, Step& aStep)
{
  // Before an entry of this term is committed, the leader may not know of all that was committed before.
  const bool ready = aCore.role == ReplicaRole::kLeader && aCore.firstOfTerm <= aCore.commitIndex;
  if (!ready || aCore.waitingReads.empty() || !aCore.startedReads.reads.empty()) {
    return;
  }
  aCore.startedReads.reads = std::exchange(aCore.waitingReads, {});
  broadcastHeartbeat(aCore, aStep);
  aCore.startedReads.round = aCore.round;
  confirmReads(aCore, aStep);
}

void
confirmReads(Core& aCore, Step& aStep)
{
  const auto confirmed = [&aCore](const Peer& aPeer) { return aPeer.confirmedRound >= aCore.startedReads.round; };
  if (aCore.startedReads.reads.empty() || !majorityOfPeers(aCore, confirmed)) {
    return;
  }
  const auto reads = std::exchange(aCore.startedReads, {}).reads;
  aStep.out.readsReady.insert(aStep.out.readsReady.end(), reads.begin(), reads.end());
  startReads(aCore, aStep);
}

void
failReads(Core& aCore, Step& aStep)
{
  const auto started = std::exchange(aCore.startedReads, {}).reads;
  const auto waiting = std::exchange(aCore.waitingReads, {});
  aStep.out.readsFailed.insert(aStep.out.readsFailed.end(), started.begin(), started.end());
  aStep.out.readsFailed.insert(aStep.out.readsFailed.end(), waiting.begin(), waiting.end());
}

} // namespace rhubarbarch::consensus
