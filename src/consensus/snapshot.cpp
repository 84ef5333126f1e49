#include "core.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

bool
sameSnapshot(const IncomingSnapshot& aIncoming, const SnapshotChunk& aChunk)
{
  // Two replicas may encode the same state differently, so pieces of different leaders are never joined.
  return aIncoming.from == aChunk.from && aIncoming.term == aChunk.term &&
         aIncoming.record.lastIndex == aChunk.lastIndex && aIncoming.record.lastTerm == aChunk.lastTerm;
}

void
install(Core& aCore, SnapshotRecord aRecord, Step& aStep)
{
  const auto record = std::make_shared<const SnapshotRecord>(std::move(aRecord));
  aCore.incoming.reset();
  installSnapshot(aCore.log, record);
  aCore.commitIndex = record->lastIndex;
  aStep.out.records.emplace_back(*record);
  aStep.out.restored = *record;
  aStep.out.committed.clear(); // commands before the snapshot are part of it
}

/// Takes one piece and fills in the reply.
void
receive(Core& aCore, SnapshotChunk& aChunk, SnapshotReply& aReply, Step& aStep)
{
  if (aChunk.lastIndex <= aCore.commitIndex) {
    aReply.installed = true;
    return;
  }
  if (aChunk.offset == 0 && !(aCore.incoming && sameSnapshot(*aCore.incoming, aChunk))) {
    aCore.incoming = IncomingSnapshot{ aChunk.from, aChunk.term, {} };
    auto& record = aCore.incoming->record;
    record.lastIndex = aChunk.lastIndex;
    record.lastTerm = aChunk.lastTerm;
    record.members = std::move(aChunk.members);
    record.group = aChunk.group;
  }
  if (!aCore.incoming || !sameSnapshot(*aCore.incoming, aChunk)) {
    return;
  }
  auto& state = aCore.incoming->record.state;
  if (aChunk.offset == state.size()) {
    state += aChunk.data.data;
    if (aChunk.last) {
      install(aCore, std::move(aCore.incoming->record), aStep);
      aReply.installed = true;
      return;
    }
  }
  aReply.nextOffset = aCore.incoming->record.state.size();
}

} // namespace

void
sendSnapshotChunk(Core& aCore, const Member& aMember, Peer& aPeer, Step& aStep)
{
  if (!aPeer.transfer) {
    aPeer.transfer = SnapshotTransfer{ aCore.log.snapshot, 0, aStep.now };
  }
  auto& transfer = *aPeer.transfer;
  transfer.sentAt = aStep.now;
  const auto& snapshot = *transfer.snapshot;
  SnapshotChunk chunk;
  chunk.from = aCore.id;
  chunk.to = aMember.replica;
  chunk.term = aCore.hard.term;
  chunk.lastIndex = snapshot.lastIndex;
  chunk.lastTerm = snapshot.lastTerm;
  chunk.members = snapshot.members;
  chunk.group = snapshot.group;
  chunk.offset = transfer.offset;
  chunk.data.data = snapshot.state.substr(transfer.offset, aCore.options.snapshotChunkBytes);
  chunk.last = transfer.offset + chunk.data.data.size() == snapshot.state.size();
  aStep.out.messages.push_back({ aMember.instance, std::move(chunk) });
}

void
handleSnapshotChunk(Core& aCore, const InstanceId& aFrom, SnapshotChunk aChunk, Step& aStep)
{
  if (!isFor(aCore, aChunk.to, aFrom) || foreign(aCore, aChunk.group, aStep.now)) {
    return;
  }
  SnapshotReply reply{ aCore.id, aChunk.from, aCore.hard.term, aChunk.lastIndex };
  if (aChunk.term >= aCore.hard.term) {
    followLeader(aCore, aChunk.from, aFrom, aChunk.term, aStep);
    reply.term = aCore.hard.term;
    receive(aCore, aChunk, reply, aStep);
  }
  aStep.out.messages.push_back({ aFrom, reply });
}

void
handleSnapshotReply(Core& aCore, const SnapshotReply& aReply, Step& aStep)
{
  auto* answering = answeringPeer(aCore, aReply.to, aReply.from, aReply.term, aStep);
  if (answering == nullptr) {
    return;
  }
  auto& peer = *answering;
  if (!peer.transfer || peer.transfer->snapshot->lastIndex != aReply.lastIndex) {
    return;
  }
  const auto member = *std::ranges::find(currentMembers(aCore.log), aReply.from, &Member::replica);
  if (aReply.installed) {
    peer.transfer.reset();
    peer.probing = false;
    peer.sent.clear();
    peer.matchIndex = std::max(peer.matchIndex, aReply.lastIndex);
    peer.nextIndex = next(peer.matchIndex);
    advanceCommit(aCore, aStep);
    replicateTo(aCore, member, aStep);
  } else if (aReply.nextOffset != peer.transfer->offset) {
    // A reply that names the outstanding chunk is a duplicate; that chunk is repeated with the heartbeat.
    peer.transfer->offset = aReply.nextOffset;
    sendSnapshotChunk(aCore, member, peer, aStep);
  }
}

void
takeSnapshot(Core& aCore, std::string aState, Step& aStep)
{
  if (aCore.commitIndex <= snapshotIndex(aCore.log)) {
    return;
  }
  const auto term = termAt(aCore.log, aCore.commitIndex);
  const auto record = std::make_shared<const SnapshotRecord>(SnapshotRecord{ aCore.commitIndex,
                                                                             term.value_or(Term{}),
                                                                             membersAt(aCore.log, aCore.commitIndex),
                                                                             std::move(aState),
                                                                             aCore.log.group });
  compactLog(aCore.log, record);
  aStep.out.records.emplace_back(*record);
}

} // namespace rhubarbarch::consensus
