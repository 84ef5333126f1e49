#include "core.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

void
sendToVoters(const Core& aCore, VoteRequest aRequest, Step& aStep)
{
  for (const auto& member : currentMembers(aCore.log)) {
    if (member.voter && member.replica != aCore.id) {
      aRequest.to = member.replica;
      aStep.out.messages.push_back({ member.instance, aRequest });
    }
  }
}

bool
heardLeaderRecently(const Core& aCore, TimePoint aNow)
{
  return aCore.role == ReplicaRole::kLeader ||
         (aCore.leaderHeardAt && aNow < *aCore.leaderHeardAt + aCore.options.electionTimeout);
}

bool
upToDate(const Core& aCore, const VoteRequest& aRequest)
{
  const auto ours = lastTerm(aCore.log);
  return aRequest.lastTerm > ours || (aRequest.lastTerm == ours && aRequest.lastIndex >= lastIndex(aCore.log));
}

bool
wonVotes(const Core& aCore)
{
  const auto voters = std::ranges::count_if(aCore.votes, [&aCore](ReplicaId aVoter) { return isVoter(aCore, aVoter); });
  return static_cast<std::size_t>(voters) >= majority(aCore);
}

/// Decides on a vote without changing anything.
bool
wouldVote(const Core& aCore, const VoteRequest& aRequest)
{
  // A blank replica votes only while the group is being founded. Later its vote would be safe, since its identity is in
  // no member list, but it has nothing to say.
  if ((blank(aCore.log) && !aCore.options.bootstrap) || !upToDate(aCore, aRequest)) {
    return false;
  }
  if (aRequest.preVote) {
    return aRequest.term > aCore.hard.term;
  }
  return aRequest.term == aCore.hard.term &&
         (aCore.hard.votedFor == ReplicaId{} || aCore.hard.votedFor == aRequest.from);
}

} // namespace

void
becomeFollower(Core& aCore, Term aTerm, Step& aStep)
{
  if (aTerm > aCore.hard.term) {
    setHardState(aCore, aTerm, ReplicaId{}, aStep);
  }
  failReads(aCore, aStep);
  aCore.role = ReplicaRole::kFollower;
  aCore.leaderId = ReplicaId{};
  aCore.leaderInstance.clear();
  aCore.votes.clear();
  aCore.peers.clear();
  aCore.transferUntil.reset();
  resetElectionTimer(aCore, aStep.now);
}

void
followLeader(Core& aCore, ReplicaId aLeader, const InstanceId& aInstance, Term aTerm, Step& aStep)
{
  if (aTerm > aCore.hard.term || aCore.role != ReplicaRole::kFollower) {
    require(aTerm > aCore.hard.term || aCore.role != ReplicaRole::kLeader, "two leaders in one term");
    becomeFollower(aCore, aTerm, aStep);
  }
  aCore.leaderId = aLeader;
  aCore.leaderInstance = aInstance;
  aCore.leaderHeardAt = aStep.now;
  resetElectionTimer(aCore, aStep.now);
}

void
becomeLeader(Core& aCore, EntryKind aFirstKind, std::string aFirstData, Step& aStep)
{
  aCore.role = ReplicaRole::kLeader;
  aCore.leaderId = aCore.id;
  aCore.leaderInstance = aCore.options.instance;
  aCore.incoming.reset();
  aCore.peers.clear();
  aCore.joins.clear();
  aCore.round = 0;
  aCore.startedReads = {};
  aCore.transferUntil.reset();
  updatePeers(aCore, aStep.now);
  aCore.firstOfTerm = next(lastIndex(aCore.log));
  aCore.heartbeatDue = aStep.now + aCore.options.heartbeat;
  appendAsLeader(aCore, aFirstKind, std::move(aFirstData), aStep);
}

void
startPreVote(Core& aCore, Step& aStep)
{
  hastenElection(aCore, aStep.now);
  if (!isVoter(aCore, aCore.id)) {
    return;
  }
  aCore.role = ReplicaRole::kPreCandidate;
  aCore.leaderId = ReplicaId{};
  aCore.leaderInstance.clear();
  aCore.votes = { aCore.id };
  if (wonVotes(aCore)) {
    startElection(aCore, false, aStep);
    return;
  }
  const VoteRequest request{
    aCore.id, {}, next(aCore.hard.term), true, false, lastIndex(aCore.log), lastTerm(aCore.log), aCore.log.group
  };
  sendToVoters(aCore, request, aStep);
}

void
startElection(Core& aCore, bool aTransfer, Step& aStep)
{
  aCore.role = ReplicaRole::kCandidate;
  aCore.leaderId = ReplicaId{};
  aCore.leaderInstance.clear();
  setHardState(aCore, next(aCore.hard.term), aCore.id, aStep);
  resetElectionTimer(aCore, aStep.now);
  aCore.votes = { aCore.id };
  if (wonVotes(aCore)) {
    becomeLeader(aCore, EntryKind::kNoop, {}, aStep);
    return;
  }
  const VoteRequest request{
    aCore.id, {}, aCore.hard.term, false, aTransfer, lastIndex(aCore.log), lastTerm(aCore.log), aCore.log.group
  };
  sendToVoters(aCore, request, aStep);
}

void
handleVoteRequest(Core& aCore, const InstanceId& aFrom, const VoteRequest& aRequest, Step& aStep)
{
  if (!isFor(aCore, aRequest.to, aFrom) || foreign(aCore, aRequest.group, aStep.now)) {
    return;
  }
  // Without this, a replica that cannot hear the leader deposes it although everyone else can.
  const bool bound = !aRequest.transfer && heardLeaderRecently(aCore, aStep.now);
  if (!bound && !aRequest.preVote && aRequest.term > aCore.hard.term) {
    becomeFollower(aCore, aRequest.term, aStep);
  }
  const bool granted = !bound && wouldVote(aCore, aRequest);
  if (granted && !aRequest.preVote) {
    setHardState(aCore, aCore.hard.term, aRequest.from, aStep);
    resetElectionTimer(aCore, aStep.now);
  }
  const auto term = granted ? aRequest.term : aCore.hard.term;
  aStep.out.messages.push_back({ aFrom, VoteReply{ aCore.id, aRequest.from, term, aRequest.preVote, granted } });
}

void
handleVoteReply(Core& aCore, const VoteReply& aReply, Step& aStep)
{
  if (aReply.to != aCore.id) {
    return;
  }
  if (!aReply.granted) {
    if (aReply.term > aCore.hard.term) {
      becomeFollower(aCore, aReply.term, aStep);
    }
    return;
  }
  const bool preVote =
    aCore.role == ReplicaRole::kPreCandidate && aReply.preVote && aReply.term == next(aCore.hard.term);
  const bool vote = aCore.role == ReplicaRole::kCandidate && !aReply.preVote && aReply.term == aCore.hard.term;
  if (!preVote && !vote) {
    return;
  }
  aCore.votes.insert(aReply.from);
  if (!wonVotes(aCore)) {
    return;
  }
  if (preVote) {
    startElection(aCore, false, aStep);
  } else {
    becomeLeader(aCore, EntryKind::kNoop, {}, aStep);
  }
}

void
handleTimeoutNow(Core& aCore, const TimeoutNow& aMessage, Step& aStep)
{
  const bool fromLeader = aMessage.to == aCore.id && aMessage.term == aCore.hard.term &&
                          aCore.role == ReplicaRole::kFollower && aMessage.from == aCore.leaderId;
  if (fromLeader && isVoter(aCore, aCore.id)) {
    startElection(aCore, true, aStep);
  }
}

void
beginTransfer(Core& aCore, Step& aStep)
{
  const Member* best = nullptr;
  for (const auto& member : currentMembers(aCore.log)) {
    const auto peer = aCore.peers.find(member.replica);
    if (!member.voter || peer == aCore.peers.end() ||
        peer->second.heardAt + aCore.options.electionTimeout <= aStep.now) {
      continue;
    }
    if (best == nullptr || peer->second.matchIndex > aCore.peers.at(best->replica).matchIndex) {
      best = &member;
    }
  }
  if (best != nullptr) {
    aCore.transferTarget = best->replica;
    aCore.transferUntil = aStep.now + aCore.options.electionTimeout;
    continueTransfer(aCore, aStep);
  }
}

void
continueTransfer(Core& aCore, Step& aStep)
{
  if (!aCore.transferUntil) {
    return;
  }
  const auto peer = aCore.peers.find(aCore.transferTarget);
  if (peer == aCore.peers.end() || aStep.now >= *aCore.transferUntil) {
    aCore.transferUntil.reset();
    return;
  }
  if (peer->second.matchIndex != lastIndex(aCore.log)) {
    return;
  }
  const auto target = std::ranges::find(currentMembers(aCore.log), aCore.transferTarget, &Member::replica);
  aStep.out.messages.push_back({ target->instance, TimeoutNow{ aCore.id, target->replica, aCore.hard.term } });
}

} // namespace rhubarbarch::consensus
