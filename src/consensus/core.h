#pragma once

#include "log.h"

#include "rhubarbarch/consensus/replica.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::consensus {

enum class ReplicaRole : std::uint8_t
{
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// Entries that were sent to a follower in one request and are not acknowledged.
struct SentEntries
{
  LogIndex lastIndex{};
  std::size_t bytes = 0;
};

/// A snapshot on its way to a follower. It keeps its snapshot alive when the leader takes a newer one meanwhile.
struct SnapshotTransfer
{
  std::shared_ptr<const SnapshotRecord> snapshot;
  std::size_t offset = 0; ///< of the chunk that is not yet acknowledged, in bytes
  TimePoint sentAt;
};

/// What the leader knows about another member.
struct Peer
{
  LogIndex matchIndex{};            ///< last index known to be synced there
  LogIndex nextIndex{};             ///< first index to send next
  bool probing = false;             ///< looking for the last common entry: one request at a time
  std::deque<SentEntries> sent;     ///< requests on their way, in order; none while probing
  TimePoint heardAt;                ///< last reply of this term
  std::uint64_t confirmedRound = 0; ///< last heartbeat round it replied to
  std::optional<SnapshotTransfer> transfer;
};

/// A snapshot that is being received.
struct IncomingSnapshot
{
  ReplicaId from{};
  Term term{};
  SnapshotRecord record;
};

/// Reads of one heartbeat round.
struct ReadRound
{
  std::uint64_t round = 0; ///< zero: no round started
  std::vector<std::uint64_t> reads;
};

/// A replica that asked to become a member, or answered a founder.
struct Join
{
  ReplicaId replica{};
  TimePoint at;
};

/// The state of a replica. The functions below, one file per concern, act on it.
struct Core
{
  ReplicaOptions options;
  ReplicaId id{};
  std::mt19937_64 random;

  HardState hard;
  Log log;
  LogIndex commitIndex{}; ///< everything up to it has been handed out for applying

  ReplicaRole role = ReplicaRole::kFollower;
  ReplicaId leaderId{};
  InstanceId leaderInstance;
  std::optional<TimePoint> leaderHeardAt;
  TimePoint electionDeadline;
  std::set<ReplicaId> votes;
  std::optional<IncomingSnapshot> incoming;

  // Only on the leader.
  std::map<ReplicaId, Peer> peers;
  LogIndex firstOfTerm{}; ///< first entry of the term
  TimePoint heartbeatDue;
  std::uint64_t round = 0;
  ReadRound startedReads;
  std::vector<std::uint64_t> waitingReads;
  std::optional<TimePoint> transferUntil; ///< handing over leadership; proposals are refused meanwhile
  ReplicaId transferTarget{};
  std::map<InstanceId, Join> joins;

  // Only without a group or without a leader.
  TimePoint joinDue;
  std::set<InstanceId> sendersToFormer;    ///< controllers that sent to an identity of this instance that is gone
  std::map<InstanceId, Join> freshAnswers; ///< controllers that have said that they are without a group
  TimePoint boundUntil;                    ///< `hard.founder` no longer matters then
  TimePoint deniedUntil; ///< a controller has said that it belongs to a group: found none, ask to join
};

/// A blank replica stays bound to a founder for this many election timeouts after its last question. One that asks no
/// more has founded the group, has lost its disk, or has learned of another group.
inline constexpr int kBoundTimeouts = 8;

/// Time and output of one step.
struct Step
{
  TimePoint now;
  Output& out;
};

// core.cpp

/// Aborts with a text when an invariant of the protocol is violated.
void
require(bool aHolds, const char* aText);

bool
isVoter(const Core& aCore, ReplicaId aReplica);

bool
isMember(const Core& aCore, ReplicaId aReplica);

/// @return how many voters make a majority
std::size_t
majority(const Core& aCore);

/// @return true when this replica and the peers for which a predicate holds make a majority of voters
template<typename Predicate>
bool
majorityOfPeers(const Core& aCore, Predicate aPredicate)
{
  std::size_t count = 0;
  for (const auto& member : currentMembers(aCore.log)) {
    const auto peer = aCore.peers.find(member.replica);
    const bool holds = member.replica == aCore.id || (peer != aCore.peers.end() && aPredicate(peer->second));
    count += member.voter && holds ? 1 : 0;
  }
  return count >= majority(aCore);
}

/// Changes term and vote and has them written.
void
setHardState(Core& aCore, Term aTerm, ReplicaId aVote, Step& aStep);

/// True when a message is of another group than ours, or of another than the one that a blank replica has promised to
/// join. Two groups exist when a founder loses its disk while its first messages are on their way; their entries may
/// have equal terms and indices, so their messages must not mix.
bool
foreign(const Core& aCore, ReplicaId aGroup, TimePoint aNow);

/// Appends entries at the end of the log and has them written.
void
storeEntries(Core& aCore, std::vector<LogEntry> aEntries, Step& aStep);

/// Advances the commit index and hands out the commands up to it.
void
commitUpTo(Core& aCore, LogIndex aIndex, Step& aStep);

void
resetElectionTimer(Core& aCore, TimePoint aNow);

/// Sets the timer to a part of its usual time: a pre-vote that failed, for want of connections after a start, changes
/// nothing, so it may be repeated soon.
void
hastenElection(Core& aCore, TimePoint aNow);

/// @return whether a message is for this replica. A sender that takes it for another one knows the group of an identity
/// that this instance had on an earlier disk, so a replica without a group remembers the sender.
bool
isFor(Core& aCore, ReplicaId aTo, const InstanceId& aFrom);

/// Sends to all other controllers that this replica knows: those named in the settings and, in a group with open
/// membership, the members in its log and the senders to its former identities.
void
sendToControllers(const Core& aCore, const Message& aMessage, Step& aStep);

// election.cpp

void
becomeFollower(Core& aCore, Term aTerm, Step& aStep);

/// Takes note of a request of the leader of a term that is not older than ours.
void
followLeader(Core& aCore, ReplicaId aLeader, const InstanceId& aInstance, Term aTerm, Step& aStep);

/// Starts to lead the current term.
/// @param aFirstKind kind of the first entry of the term: kNoop, or kMembership of a new group
void
becomeLeader(Core& aCore, EntryKind aFirstKind, std::string aFirstData, Step& aStep);

void
startPreVote(Core& aCore, Step& aStep);

void
startElection(Core& aCore, bool aTransfer, Step& aStep);

void
handleVoteRequest(Core& aCore, const InstanceId& aFrom, const VoteRequest& aRequest, Step& aStep);

void
handleVoteReply(Core& aCore, const VoteReply& aReply, Step& aStep);

void
handleTimeoutNow(Core& aCore, const TimeoutNow& aMessage, Step& aStep);

void
beginTransfer(Core& aCore, Step& aStep);

/// Sends TimeoutNow once the chosen successor has the whole log.
void
continueTransfer(Core& aCore, Step& aStep);

// replication.cpp

/// Appends one entry of the leader and replicates it.
LogIndex
appendAsLeader(Core& aCore, EntryKind aKind, std::string aData, Step& aStep);

/// Starts a heartbeat round.
void
broadcastHeartbeat(Core& aCore, Step& aStep);

/// Sends what a member lacks, as far as its state permits.
void
replicateTo(Core& aCore, const Member& aMember, Step& aStep);

void
handleAppendRequest(Core& aCore, const InstanceId& aFrom, const AppendRequest& aRequest, Step& aStep);

/// The member that a reply to this leader comes from, noted as heard. A reply of a later term ends the leadership.
/// @return null for a reply that means nothing to this replica now
Peer*
answeringPeer(Core& aCore, ReplicaId aTo, ReplicaId aFrom, Term aTerm, Step& aStep);

void
handleAppendReply(Core& aCore, const AppendReply& aReply, Step& aStep);

/// Commits entries of the current term that a majority has synced.
void
advanceCommit(Core& aCore, Step& aStep);

/// Drops peers that left and adds those that joined.
void
updatePeers(Core& aCore, TimePoint aNow);

// snapshot.cpp

void
sendSnapshotChunk(Core& aCore, const Member& aMember, Peer& aPeer, Step& aStep);

void
handleSnapshotChunk(Core& aCore, const InstanceId& aFrom, SnapshotChunk aChunk, Step& aStep);

void
handleSnapshotReply(Core& aCore, const SnapshotReply& aReply, Step& aStep);

void
takeSnapshot(Core& aCore, std::string aState, Step& aStep);

// membership.cpp

void
handleJoinRequest(Core& aCore, const InstanceId& aFrom, const JoinRequest& aRequest, Step& aStep);

/// On the leader: makes the next membership change that is due.
void
maintainMembership(Core& aCore, Step& aStep);

/// Without a leader: asks to join, and founds the group where that is allowed.
void
seekGroup(Core& aCore, Step& aStep);

// reads.cpp

/// Starts a round for the waiting reads unless one is under way.
void
startReads(Core& aCore, Step& aStep);

/// Reports the reads whose round a majority has confirmed.
void
confirmReads(Core& aCore, Step& aStep);

void
failReads(Core& aCore, Step& aStep);

} // namespace rhubarbarch::consensus
