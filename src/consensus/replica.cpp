#include "rhubarbarch/consensus/replica.h"

#include "core.h"

#include <numeric>
#include <utility>

namespace rhubarbarch::consensus {

struct Replica::State : Core
{};

namespace {

/// Calls the handler of each consensus message.
struct Dispatcher
{
  Core& core;
  const InstanceId& from;
  Step& step;

  void operator()(const VoteRequest& aBody) const { handleVoteRequest(core, from, aBody, step); }
  void operator()(const VoteReply& aBody) const { handleVoteReply(core, aBody, step); }
  void operator()(const AppendRequest& aBody) const { handleAppendRequest(core, from, aBody, step); }
  void operator()(const AppendReply& aBody) const { handleAppendReply(core, aBody, step); }
  void operator()(const SnapshotChunk& aBody) const { handleSnapshotChunk(core, from, aBody, step); }
  void operator()(const SnapshotReply& aBody) const { handleSnapshotReply(core, aBody, step); }
  void operator()(const TimeoutNow& aBody) const { handleTimeoutNow(core, aBody, step); }
  void operator()(const JoinRequest& aBody) const { handleJoinRequest(core, from, aBody, step); }
  template<typename Other>
  void operator()(const Other& /*unused*/) const
  {
  }
};

void
tickLeader(Core& aCore, Step& aStep)
{
  const auto heard = [&](const Peer& aPeer) { return aStep.now < aPeer.heardAt + aCore.options.electionTimeout; };
  if (!majorityOfPeers(aCore, heard)) {
    becomeFollower(aCore, aCore.hard.term, aStep);
    return;
  }
  if (aStep.now >= aCore.heartbeatDue) {
    broadcastHeartbeat(aCore, aStep);
    confirmReads(aCore, aStep);
  }
  continueTransfer(aCore, aStep);
}

} // namespace

Replica::Replica(ReplicaOptions aOptions, StoredState aStored, std::mt19937_64 aRandom)
  : mState(std::make_unique<State>())
{
  mState->options = std::move(aOptions);
  mState->id = aStored.replica;
  mState->random = aRandom;
  mState->hard = aStored.hardState;
  mState->log = makeLog(std::move(aStored));
  mState->commitIndex = snapshotIndex(mState->log);
}

Replica::~Replica() = default;
Replica::Replica(Replica&&) noexcept = default;
Replica&
Replica::operator=(Replica&&) noexcept = default;

Output
Replica::start(TimePoint aNow)
{
  Output output;
  // After all have been down nobody hears a leader, and while one leads the others refuse a pre-vote.
  hastenElection(*mState, aNow);
  mState->boundUntil = aNow + kBoundTimeouts * mState->options.electionTimeout;
  mState->joinDue = isMember(*mState, mState->id) ? aNow + 3 * mState->options.electionTimeout : aNow;
  if (mState->log.snapshot) {
    output.restored = *mState->log.snapshot;
  }
  return output;
}

Output
Replica::handle(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow)
{
  Output output;
  Step step{ aNow, output };
  std::visit(Dispatcher{ *mState, aFrom, step }, aMessage);
  maintainMembership(*mState, step);
  return output;
}

Output
Replica::tick(TimePoint aNow)
{
  Output output;
  Step step{ aNow, output };
  if (mState->role == ReplicaRole::kLeader) {
    tickLeader(*mState, step);
  } else if (aNow >= mState->electionDeadline) {
    startPreVote(*mState, step);
  }
  seekGroup(*mState, step);
  maintainMembership(*mState, step);
  return output;
}

Result<LogIndex>
Replica::propose(std::string aCommand, TimePoint aNow, Output& aOutput)
{
  if (mState->role != ReplicaRole::kLeader || mState->transferUntil) {
    return failure(ErrorCode::kNotLeader, mState->leaderInstance);
  }
  Step step{ aNow, aOutput };
  return appendAsLeader(*mState, EntryKind::kCommand, std::move(aCommand), step);
}

Result<void>
Replica::requestRead(std::uint64_t aRead, TimePoint aNow, Output& aOutput)
{
  if (mState->role != ReplicaRole::kLeader) {
    return failure(ErrorCode::kNotLeader, mState->leaderInstance);
  }
  Step step{ aNow, aOutput };
  mState->waitingReads.push_back(aRead);
  startReads(*mState, step);
  return boost::outcome_v2::success();
}

Output
Replica::compact(std::string aState)
{
  Output output;
  Step step{ {}, output };
  takeSnapshot(*mState, std::move(aState), step);
  return output;
}

Output
Replica::transferLeadership(TimePoint aNow)
{
  Output output;
  Step step{ aNow, output };
  if (mState->role == ReplicaRole::kLeader) {
    beginTransfer(*mState, step);
  }
  return output;
}

void
Replica::setContacts(std::vector<InstanceId> aControllers)
{
  mState->options.controllers = std::move(aControllers);
}

bool
Replica::isLeader() const noexcept
{
  return mState->role == ReplicaRole::kLeader;
}

InstanceId
Replica::leader() const
{
  return mState->leaderInstance;
}

Term
Replica::term() const noexcept
{
  return mState->hard.term;
}

ReplicaId
Replica::id() const noexcept
{
  return mState->id;
}

LogIndex
Replica::appliedIndex() const noexcept
{
  return mState->commitIndex;
}

LogIndex
Replica::lastIndex() const noexcept
{
  return consensus::lastIndex(mState->log);
}

std::size_t
Replica::logLength() const noexcept
{
  return toNumber(lastIndex()) - toNumber(snapshotIndex(mState->log));
}

std::size_t
Replica::logBytes() const noexcept
{
  const auto& entries = mState->log.entries;
  return std::accumulate(entries.begin(), entries.end(), std::size_t{ 0 }, [](std::size_t aSum, const auto& aEntry) {
    return aSum + aEntry.data.data.size();
  });
}

std::size_t
Replica::snapshotBytes() const noexcept
{
  return mState->log.snapshot ? mState->log.snapshot->state.size() : 0;
}

LogIndex
Replica::membershipIndex() const noexcept
{
  return configurationIndex(mState->log);
}

std::vector<Member>
Replica::members() const
{
  return currentMembers(mState->log);
}

std::vector<MemberProgress>
Replica::progress(TimePoint aNow) const
{
  std::vector<MemberProgress> progress;
  for (const auto& member : currentMembers(mState->log)) {
    MemberProgress each{ member, {}, {}, false };
    if (member.replica == mState->id) {
      each.matchIndex = consensus::lastIndex(mState->log);
    } else if (const auto peer = mState->peers.find(member.replica); peer != mState->peers.end()) {
      each = { member, peer->second.matchIndex, aNow - peer->second.heardAt, peer->second.transfer.has_value() };
    }
    progress.push_back(std::move(each));
  }
  return progress;
}

} // namespace rhubarbarch::consensus
