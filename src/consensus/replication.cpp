#include "core.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

/// Bytes of entries in one request. A follower on the smallest machine (0.3 of a core) takes some 60 ms for them, less
/// than a heartbeat.
constexpr std::size_t kMaxAppendBytes = std::size_t{ 256 } * 1024;
/// Requests that may be on their way to one member unacknowledged.
constexpr std::size_t kMaxRequestsInFlight = 16;
/// Bytes of entries from which on no further request is sent to a member until it acknowledges some. With seven members
/// that answer nothing, a leader holds less than a tenth of the smallest machine's memory (88 MB) for them.
constexpr std::size_t kMaxBytesInFlight = std::size_t{ 1024 } * 1024;

std::size_t
byteCount(const std::vector<LogEntry>& aEntries)
{
  return std::accumulate(aEntries.begin(), aEntries.end(), std::size_t{ 0 }, [](std::size_t aSum, const auto& aEntry) {
    return aSum + aEntry.data.data.size();
  });
}

void
sendAppend(Core& aCore, const Member& aMember, Peer& aPeer, std::vector<LogEntry> aEntries, Step& aStep)
{
  AppendRequest request;
  request.from = aCore.id;
  request.to = aMember.replica;
  request.term = aCore.hard.term;
  request.round = aCore.round;
  request.group = aCore.log.group;
  if (!aPeer.transfer) {
    request.previousIndex = previous(aPeer.nextIndex);
    request.previousTerm = termAt(aCore.log, request.previousIndex).value_or(Term{});
    request.commitIndex = aCore.commitIndex;
    request.entries = std::move(aEntries);
    aPeer.nextIndex = advance(aPeer.nextIndex, request.entries.size());
    if (!request.entries.empty()) {
      aPeer.sent.push_back({ request.entries.back().index, byteCount(request.entries) });
    }
  }
  aStep.out.messages.push_back({ aMember.instance, std::move(request) });
}

std::vector<LogEntry>
nextEntries(const Core& aCore, const Peer& aPeer)
{
  return entriesFrom(aCore.log, aPeer.nextIndex, aCore.options.maxEntriesPerAppend, kMaxAppendBytes);
}

/// @return true when the entries that the member lacks are no longer kept
bool
needsSnapshot(const Core& aCore, const Peer& aPeer)
{
  return aPeer.nextIndex <= aCore.log.baseIndex;
}

bool
windowOpen(const Core& aCore, const Peer& aPeer)
{
  const auto onTheirWay =
    std::accumulate(aPeer.sent.begin(), aPeer.sent.end(), std::size_t{ 0 }, [](std::size_t aSum, const auto& aEach) {
      return aSum + aEach.bytes;
    });
  const auto window = kMaxRequestsInFlight * aCore.options.maxEntriesPerAppend;
  return aPeer.nextIndex <= lastIndex(aCore.log) && aPeer.nextIndex <= advance(aPeer.matchIndex, window) &&
         onTheirWay < kMaxBytesInFlight;
}

void
forgetAcknowledged(Peer& aPeer)
{
  while (!aPeer.sent.empty() && aPeer.sent.front().lastIndex <= aPeer.matchIndex) {
    aPeer.sent.pop_front();
  }
}

/// Sends entries without counting them as sent: the answer to this request decides what follows.
void
sendProbe(Core& aCore, const Member& aMember, Peer& aPeer, Step& aStep)
{
  const auto resumeAt = aPeer.nextIndex;
  sendAppend(aCore, aMember, aPeer, nextEntries(aCore, aPeer), aStep);
  aPeer.nextIndex = resumeAt;
  aPeer.sent.clear();
}

void
heartbeatTo(Core& aCore, const Member& aMember, Step& aStep)
{
  auto& peer = aCore.peers.at(aMember.replica);
  const bool starts = !peer.transfer && needsSnapshot(aCore, peer);
  const bool overdue = peer.transfer && peer.transfer->sentAt + aCore.options.electionTimeout <= aStep.now;
  if (starts || overdue) {
    sendSnapshotChunk(aCore, aMember, peer, aStep);
  }
  // Nothing is repeated here: a follower that lacks what was sent before says so in its answer to the empty request.
  // Entries repeated with each heartbeat would pile up before a follower that takes longer than that for them.
  sendAppend(aCore, aMember, peer, {}, aStep);
}

/// Index to try next after a mismatch: before all entries of the term that disagrees.
LogIndex
backOff(const Core& aCore, LogIndex aIndex)
{
  if (aIndex > lastIndex(aCore.log)) {
    return lastIndex(aCore.log);
  }
  const auto term = termAt(aCore.log, aIndex);
  auto index = aIndex;
  while (index > aCore.commitIndex && termAt(aCore.log, index) == term) {
    index = previous(index);
  }
  return index;
}

/// Appends those entries that the log lacks, dropping what disagrees with them.
void
mergeEntries(Core& aCore, const std::vector<LogEntry>& aEntries, Step& aStep)
{
  const auto firstNew = std::ranges::find_if(aEntries, [&aCore](const auto& aEntry) {
    return aEntry.index > aCore.commitIndex && termAt(aCore.log, aEntry.index) != aEntry.term;
  });
  if (firstNew != aEntries.end()) {
    truncateFrom(aCore.log, firstNew->index);
    storeEntries(aCore, { firstNew, aEntries.end() }, aStep);
  }
}

bool
agrees(const Core& aCore, const AppendRequest& aRequest)
{
  // Committed entries agree in all logs, also those that are no longer kept.
  return aRequest.previousIndex <= aCore.commitIndex ||
         termAt(aCore.log, aRequest.previousIndex) == aRequest.previousTerm;
}

void
retreat(Core& aCore, const Member& aMember, Peer& aPeer, LogIndex aHint, Step& aStep)
{
  const auto wanted = std::max(next(aHint), next(aPeer.matchIndex));
  if (aPeer.transfer || wanted >= aPeer.nextIndex) {
    return; // answer to a request before the last retreat
  }
  aPeer.nextIndex = wanted;
  aPeer.probing = true;
  aPeer.sent.clear();
  if (needsSnapshot(aCore, aPeer)) {
    sendSnapshotChunk(aCore, aMember, aPeer, aStep);
    return;
  }
  sendProbe(aCore, aMember, aPeer, aStep);
}

} // namespace

LogIndex
appendAsLeader(Core& aCore, EntryKind aKind, std::string aData, Step& aStep)
{
  const auto index = next(lastIndex(aCore.log));
  storeEntries(aCore, { LogEntry{ aCore.hard.term, index, aKind, { std::move(aData) } } }, aStep);
  updatePeers(aCore, aStep.now);
  for (const auto& member : currentMembers(aCore.log)) {
    replicateTo(aCore, member, aStep);
  }
  advanceCommit(aCore, aStep);
  return index;
}

void
broadcastHeartbeat(Core& aCore, Step& aStep)
{
  ++aCore.round;
  aCore.heartbeatDue = aStep.now + aCore.options.heartbeat;
  for (const auto& member : currentMembers(aCore.log)) {
    if (member.replica != aCore.id) {
      heartbeatTo(aCore, member, aStep);
    }
  }
}

void
replicateTo(Core& aCore, const Member& aMember, Step& aStep)
{
  if (aMember.replica == aCore.id) {
    return;
  }
  auto& peer = aCore.peers.at(aMember.replica);
  if (peer.transfer || peer.probing) {
    return;
  }
  if (needsSnapshot(aCore, peer)) {
    sendSnapshotChunk(aCore, aMember, peer, aStep);
    return;
  }
  while (windowOpen(aCore, peer)) {
    sendAppend(aCore, aMember, peer, nextEntries(aCore, peer), aStep);
  }
}

void
handleAppendRequest(Core& aCore, const InstanceId& aFrom, const AppendRequest& aRequest, Step& aStep)
{
  if (!isFor(aCore, aRequest.to, aFrom) || foreign(aCore, aRequest.group, aStep.now)) {
    return;
  }
  AppendReply reply{ aCore.id, aRequest.from, aCore.hard.term };
  if (aRequest.term >= aCore.hard.term) {
    followLeader(aCore, aRequest.from, aFrom, aRequest.term, aStep);
    reply.term = aCore.hard.term;
    reply.round = aRequest.round;
    reply.success = agrees(aCore, aRequest);
    if (reply.success) {
      mergeEntries(aCore, aRequest.entries, aStep);
      reply.matchIndex = advance(aRequest.previousIndex, aRequest.entries.size());
      commitUpTo(aCore, std::min(aRequest.commitIndex, reply.matchIndex), aStep);
    } else {
      reply.matchIndex = backOff(aCore, aRequest.previousIndex);
    }
  }
  aStep.out.messages.push_back({ aFrom, reply });
}

Peer*
answeringPeer(Core& aCore, ReplicaId aTo, ReplicaId aFrom, Term aTerm, Step& aStep)
{
  if (aTo != aCore.id) {
    return nullptr;
  }
  if (aTerm > aCore.hard.term) {
    becomeFollower(aCore, aTerm, aStep);
    return nullptr;
  }
  const auto found = aCore.peers.find(aFrom);
  if (aCore.role != ReplicaRole::kLeader || aTerm != aCore.hard.term || found == aCore.peers.end()) {
    return nullptr;
  }
  found->second.heardAt = aStep.now;
  return &found->second;
}

void
handleAppendReply(Core& aCore, const AppendReply& aReply, Step& aStep)
{
  auto* answering = answeringPeer(aCore, aReply.to, aReply.from, aReply.term, aStep);
  if (answering == nullptr) {
    return;
  }
  auto& peer = *answering;
  peer.confirmedRound = std::max(peer.confirmedRound, aReply.round);
  const auto member = *std::ranges::find(currentMembers(aCore.log), aReply.from, &Member::replica);
  if (!aReply.success) {
    retreat(aCore, member, peer, aReply.matchIndex, aStep);
  } else {
    peer.matchIndex = std::max(peer.matchIndex, aReply.matchIndex);
    peer.nextIndex = std::max(peer.nextIndex, next(peer.matchIndex));
    forgetAcknowledged(peer);
    peer.probing = peer.probing && aReply.matchIndex < previous(peer.nextIndex);
    advanceCommit(aCore, aStep);
    replicateTo(aCore, member, aStep);
  }
  confirmReads(aCore, aStep);
  continueTransfer(aCore, aStep);
}

void
advanceCommit(Core& aCore, Step& aStep)
{
  std::vector<LogIndex> synced;
  for (const auto& member : currentMembers(aCore.log)) {
    if (member.voter) {
      // The caller syncs our own entries before any later message leaves, so they count at once.
      synced.push_back(member.replica == aCore.id ? lastIndex(aCore.log) : aCore.peers.at(member.replica).matchIndex);
    }
  }
  std::ranges::sort(synced, std::greater{});
  const auto candidate = synced.at(majority(aCore) - 1);
  // Entries of earlier terms may still be overwritten even when a majority has them; an entry of this term seals them.
  if (candidate > aCore.commitIndex && termAt(aCore.log, candidate) == aCore.hard.term) {
    commitUpTo(aCore, candidate, aStep);
    startReads(aCore, aStep);
  }
}

void
updatePeers(Core& aCore, TimePoint aNow)
{
  std::erase_if(aCore.peers, [&aCore](const auto& aEach) { return !isMember(aCore, aEach.first); });
  for (const auto& member : currentMembers(aCore.log)) {
    if (member.replica != aCore.id && !aCore.peers.contains(member.replica)) {
      Peer peer;
      peer.nextIndex = next(lastIndex(aCore.log));
      peer.heardAt = aNow;
      aCore.peers.emplace(member.replica, std::move(peer));
    }
  }
}

} // namespace rhubarbarch::consensus
