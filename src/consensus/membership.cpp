#include "core.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

/// A learner counts as caught up when it lacks at most this many entries, less than a leader appends in one round trip
/// under load; without a margin a busy group would never promote.
constexpr std::uint64_t kCatchUpMargin = 16;
/// A learner that stays silent for this many election timeouts is dropped; it asks again when it is back.
constexpr int kLearnerSilence = 20;
/// A member that hears no leader for this many election timeouts asks to join, in case it has been removed.
constexpr int kLostTimeouts = 3;
/// An answer to a founder is void after this many election timeouts.
constexpr int kAnswerTimeouts = 2;
/// A founder that learned of a group asks again after this many election timeouts; the disk with that group's entries
/// may have been lost before any was committed.
constexpr int kDeniedTimeouts = 4;
/// A voter that stays silent for this many election timeouts gives its place to a new instance that has caught up.
constexpr int kReplacedSilence = 3;
/// A voter that nobody replaces leaves after this many election timeouts of silence, so that the others need no reply
/// of it; it asks to join when it is back.
constexpr int kVoterSilence = 8;
/// Largest term in which a group starts.
constexpr std::uint64_t kMaxFoundingTerm = 1U << 20U;

bool
heardWithin(const Core& aCore, ReplicaId aReplica, Duration aTime, TimePoint aNow)
{
  const auto peer = aCore.peers.find(aReplica);
  return aReplica == aCore.id || (peer != aCore.peers.end() && aNow < peer->second.heardAt + aTime);
}

bool
caughtUp(const Core& aCore, const Member& aMember, TimePoint aNow)
{
  const auto& peer = aCore.peers.at(aMember.replica);
  return peer.matchIndex >= configurationIndex(aCore.log) &&
         advance(peer.matchIndex, kCatchUpMargin) >= lastIndex(aCore.log) &&
         heardWithin(aCore, aMember.replica, aCore.options.electionTimeout, aNow);
}

using Members = std::vector<Member>;

Members
without(Members aMembers, ReplicaId aReplica)
{
  std::erase_if(aMembers, [aReplica](const auto& aEach) { return aEach.replica == aReplica; });
  return aMembers;
}

/// The identity that an instance had on an earlier disk, as far as it is still a member.
std::optional<Member>
earlierIdentity(const Core& aCore, const Member& aMember)
{
  const auto& members = currentMembers(aCore.log);
  const auto found = std::ranges::find_if(members, [&aMember](const auto& aEach) {
    return aEach.instance == aMember.instance && aEach.replica != aMember.replica;
  });
  return found == members.end() ? std::nullopt : std::optional(*found);
}

/// Voters that a group keeps however long one of them is silent: with fewer, the disks that may be lost at the same
/// time could be a majority.
std::ptrdiff_t
fewestVoters(const Core& aCore)
{
  return static_cast<std::ptrdiff_t>(2 * std::max<std::size_t>(aCore.options.lossesTolerated, 1) + 1);
}

std::ptrdiff_t
voterCount(const Members& aMembers)
{
  return std::ranges::count_if(aMembers, &Member::voter);
}

/// A voter that has been silent for a time, while all other voters are heard.
std::optional<Member>
onlySilentVoter(const Core& aCore, Duration aTime, TimePoint aNow)
{
  std::optional<Member> silent;
  for (const auto& member : currentMembers(aCore.log)) {
    if (!member.voter || heardWithin(aCore, member.replica, aCore.options.electionTimeout, aNow)) {
      continue;
    }
    if (silent || heardWithin(aCore, member.replica, aTime, aNow)) {
      return std::nullopt;
    }
    silent = member;
  }
  return silent;
}

/// The member whose place a learner takes: its instance's earlier identity, or in a group that new instances may join
/// a voter that is gone. Without this, a group whose instances are replaced at other addresses would need replies from
/// voters that no longer exist.
std::optional<Member>
predecessor(const Core& aCore, const Member& aLearner, TimePoint aNow)
{
  auto earlier = earlierIdentity(aCore, aLearner);
  if (earlier || !aCore.options.openMembership) {
    return earlier;
  }
  return onlySilentVoter(aCore, kReplacedSilence * aCore.options.electionTimeout, aNow);
}

/// Replaces an earlier identity by a learner that has caught up, in two changes: first the earlier identity leaves,
/// then the learner becomes a voter. In the other order the group would for a moment have a voter more and need one
/// more reply, and if the new disk were lost at that moment, too, three voters of four would have to come from two.
std::optional<Members>
promotion(const Core& aCore, TimePoint aNow)
{
  for (const auto& member : currentMembers(aCore.log)) {
    if (member.voter || !caughtUp(aCore, member, aNow)) {
      continue;
    }
    const auto earlier = predecessor(aCore, member, aNow);
    if (earlier && heardWithin(aCore, earlier->replica, aCore.options.electionTimeout, aNow)) {
      continue; // alive, so its disk is not lost
    }
    auto members = currentMembers(aCore.log);
    if (earlier) {
      return without(std::move(members), earlier->replica);
    }
    std::ranges::find(members, member.replica, &Member::replica)->voter = true;
    return members;
  }
  return std::nullopt;
}

std::optional<Members>
removalOfSilentLearner(const Core& aCore, TimePoint aNow)
{
  const auto& members = currentMembers(aCore.log);
  const auto silent = std::ranges::find_if(members, [&](const auto& aEach) {
    return !aEach.voter && !heardWithin(aCore, aEach.replica, kLearnerSilence * aCore.options.electionTimeout, aNow);
  });
  return silent == members.end() ? std::nullopt : std::optional(without(members, silent->replica));
}

std::optional<Members>
removalOfSilentVoter(const Core& aCore, TimePoint aNow)
{
  const auto& members = currentMembers(aCore.log);
  if (!aCore.options.openMembership || voterCount(members) <= fewestVoters(aCore)) {
    return std::nullopt;
  }
  const auto silent = onlySilentVoter(aCore, kVoterSilence * aCore.options.electionTimeout, aNow);
  return silent ? std::optional(without(members, silent->replica)) : std::nullopt;
}

/// Adds a replica that asked to join as a learner. An instance has one learner at a time: an earlier one that has
/// fallen silent leaves first.
std::optional<Members>
admission(Core& aCore, TimePoint aNow)
{
  std::erase_if(aCore.joins, [&](const auto& aEach) {
    return isMember(aCore, aEach.second.replica) ||
           aEach.second.at + kLostTimeouts * aCore.options.electionTimeout <= aNow;
  });
  const auto& members = currentMembers(aCore.log);
  for (const auto& [instance, join] : aCore.joins) {
    const auto learner = std::ranges::find_if(
      members, [&instance](const auto& aEach) { return aEach.instance == instance && !aEach.voter; });
    if (learner == members.end()) {
      auto changed = members;
      changed.push_back({ join.replica, instance, false });
      return changed;
    }
    if (!heardWithin(aCore, learner->replica, aCore.options.electionTimeout, aNow)) {
      return without(members, learner->replica);
    }
  }
  return std::nullopt;
}

void
setFounder(Core& aCore, ReplicaId aFounder, Step& aStep)
{
  if (aCore.hard.founder != aFounder) {
    aCore.hard.founder = aFounder;
    aStep.out.records.emplace_back(aCore.hard);
  }
}

/// The founder is the controller whose name sorts first, so that all settings name the same one in whatever order. One
/// that has promised to join another founder's group founds none, in case the settings differ after all.
bool
mayFound(const Core& aCore, TimePoint aNow)
{
  return aCore.options.bootstrap && blank(aCore.log) && aNow >= aCore.deniedUntil &&
         aCore.hard.founder == ReplicaId{} &&
         std::ranges::find(aCore.options.controllers, aCore.options.instance) != aCore.options.controllers.end() &&
         std::ranges::all_of(aCore.options.controllers,
                             [&aCore](const auto& aEach) { return aCore.options.instance <= aEach; });
}

bool
answered(const Core& aCore, const InstanceId& aInstance, TimePoint aNow)
{
  const auto answer = aCore.freshAnswers.find(aInstance);
  return aInstance == aCore.options.instance ||
         (answer != aCore.freshAnswers.end() &&
          aNow < answer->second.at + kAnswerTimeouts * aCore.options.electionTimeout);
}

/// All controllers as voters, this one first: it names the group.
Members
foundingMembers(const Core& aCore)
{
  Members members{ { aCore.id, aCore.options.instance, true } };
  for (const auto& instance : aCore.options.controllers) {
    if (instance != aCore.options.instance) {
      members.push_back({ aCore.freshAnswers.at(instance).replica, instance, true });
    }
  }
  return members;
}

/// Founds a group once all others have said, to this identity, that they have never held an entry. One that does not
/// answer may hold the group's state: wait for it. The group starts with all as voters, because one that grew from one
/// voter over two would stop for good if the second were lost right then.
void
foundIfAllFresh(Core& aCore, Step& aStep)
{
  const auto isFresh = [&](const InstanceId& aInstance) { return answered(aCore, aInstance, aStep.now); };
  if (!mayFound(aCore, aStep.now) || !std::ranges::all_of(aCore.options.controllers, isFresh)) {
    return;
  }
  // A random term, so that two attempts at founding have no leader of the same term.
  std::uniform_int_distribution<std::uint64_t> extra(1, kMaxFoundingTerm);
  setHardState(aCore, static_cast<Term>(toNumber(aCore.hard.term) + extra(aCore.random)), aCore.id, aStep);
  becomeLeader(aCore, EntryKind::kMembership, encodeMembers(foundingMembers(aCore)), aStep);
}

/// Says whether this replica holds entries. One that does not is bound to the founder from then on.
void
answerFounder(Core& aCore, const InstanceId& aFrom, const JoinRequest& aRequest, Step& aStep)
{
  const bool grouped = !blank(aCore.log);
  if (!grouped) {
    setFounder(aCore, aRequest.replica, aStep);
    aCore.boundUntil = aStep.now + kBoundTimeouts * aCore.options.electionTimeout;
  }
  const JoinRequest answer{ aCore.id, aCore.options.instance, false, aRequest.replica, grouped };
  aStep.out.messages.push_back({ aFrom, answer });
}

void
takeAnswer(Core& aCore, const InstanceId& aFrom, const JoinRequest& aAnswer, Step& aStep)
{
  if (aAnswer.answers != aCore.id) {
    return;
  }
  if (aAnswer.grouped) {
    aCore.deniedUntil = aStep.now + kDeniedTimeouts * aCore.options.electionTimeout;
    aCore.freshAnswers.clear();
    return;
  }
  aCore.freshAnswers[aFrom] = Join{ aAnswer.replica, aStep.now };
  foundIfAllFresh(aCore, aStep);
}

} // namespace

void
handleJoinRequest(Core& aCore, const InstanceId& aFrom, const JoinRequest& aRequest, Step& aStep)
{
  if (aRequest.answers != ReplicaId{}) {
    takeAnswer(aCore, aFrom, aRequest, aStep);
    return;
  }
  if (aRequest.founding) {
    answerFounder(aCore, aFrom, aRequest, aStep);
  } else if (aCore.hard.founder == aRequest.replica && !aRequest.grouped) {
    setFounder(aCore, ReplicaId{}, aStep); // it has learned of a group and founds none
  }
  const auto& instance = aRequest.instance;
  const bool known = aCore.options.openMembership ||
                     std::ranges::find(aCore.options.controllers, instance) != aCore.options.controllers.end();
  if (!known || instance == aCore.options.instance || isMember(aCore, aRequest.replica)) {
    return;
  }
  if (aCore.role == ReplicaRole::kLeader) {
    aCore.joins[instance] = Join{ aRequest.replica, aStep.now };
  } else if (aCore.options.openMembership && aFrom == instance && !aCore.leaderInstance.empty()) {
    // The sender may know only this replica: its contacts need not hold the leader.
    aStep.out.messages.push_back({ aCore.leaderInstance, aRequest });
  }
}

void
maintainMembership(Core& aCore, Step& aStep)
{
  const bool settled = aCore.role == ReplicaRole::kLeader && aCore.firstOfTerm <= aCore.commitIndex &&
                       configurationIndex(aCore.log) <= aCore.commitIndex;
  if (!settled) {
    return;
  }
  auto change = promotion(aCore, aStep.now);
  change = change ? change : removalOfSilentVoter(aCore, aStep.now);
  change = change ? change : removalOfSilentLearner(aCore, aStep.now);
  change = change ? change : admission(aCore, aStep.now);
  if (change) {
    appendAsLeader(aCore, EntryKind::kMembership, encodeMembers(*change), aStep);
  }
}

void
seekGroup(Core& aCore, Step& aStep)
{
  const bool lost =
    !aCore.leaderHeardAt || *aCore.leaderHeardAt + kLostTimeouts * aCore.options.electionTimeout <= aStep.now;
  if (aCore.role == ReplicaRole::kLeader || aStep.now < aCore.joinDue || (isMember(aCore, aCore.id) && !lost)) {
    return;
  }
  aCore.joinDue = aStep.now + aCore.options.electionTimeout;
  foundIfAllFresh(aCore, aStep);
  if (aCore.role != ReplicaRole::kLeader) {
    const JoinRequest request{ aCore.id, aCore.options.instance, mayFound(aCore, aStep.now), {}, !blank(aCore.log) };
    sendToControllers(aCore, request, aStep);
  }
}

} // namespace rhubarbarch::consensus
