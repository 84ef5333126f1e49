#include "core.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace rhubarbarch::consensus {

void
require(bool aHolds, const char* aText)
{
  if (!aHolds) {
    static_cast<void>(std::fprintf(stderr, "consensus: %s\n", aText));
    std::abort();
  }
}

bool
isVoter(const Core& aCore, ReplicaId aReplica)
{
  return std::ranges::any_of(currentMembers(aCore.log),
                             [aReplica](const auto& aEach) { return aEach.replica == aReplica && aEach.voter; });
}

bool
isMember(const Core& aCore, ReplicaId aReplica)
{
  return std::ranges::any_of(currentMembers(aCore.log),
                             [aReplica](const auto& aEach) { return aEach.replica == aReplica; });
}

std::size_t
majority(const Core& aCore)
{
  const auto voters = std::ranges::count_if(currentMembers(aCore.log), &Member::voter);
  return static_cast<std::size_t>(voters) / 2 + 1;
}

void
setHardState(Core& aCore, Term aTerm, ReplicaId aVote, Step& aStep)
{
  const HardState changed{ aTerm, aVote, aCore.hard.founder };
  if (aCore.hard != changed) {
    aCore.hard = changed;
    aStep.out.records.emplace_back(changed);
  }
}

bool
foreign(const Core& aCore, ReplicaId aGroup, TimePoint aNow)
{
  if (blank(aCore.log) && aNow >= aCore.boundUntil) {
    return false;
  }
  const auto ours = blank(aCore.log) ? aCore.hard.founder : aCore.log.group;
  return ours != ReplicaId{} && aGroup != ours;
}

void
storeEntries(Core& aCore, std::vector<LogEntry> aEntries, Step& aStep)
{
  std::ranges::for_each(aEntries, [&aCore](const auto& aEntry) { appendEntry(aCore.log, aEntry); });
  aStep.out.records.emplace_back(EntriesRecord{ std::move(aEntries) });
}

void
commitUpTo(Core& aCore, LogIndex aIndex, Step& aStep)
{
  while (aCore.commitIndex < aIndex) {
    aCore.commitIndex = next(aCore.commitIndex);
    const auto& entry = entryAt(aCore.log, aCore.commitIndex);
    if (entry.kind == EntryKind::kCommand) {
      aStep.out.committed.push_back(entry);
    }
  }
}

void
resetElectionTimer(Core& aCore, TimePoint aNow)
{
  std::uniform_int_distribution<Duration::rep> extra(0, aCore.options.electionTimeout.count());
  aCore.electionDeadline = aNow + aCore.options.electionTimeout + Duration(extra(aCore.random));
}

void
hastenElection(Core& aCore, TimePoint aNow)
{
  constexpr int kPart = 3;
  const auto part = aCore.options.electionTimeout / kPart;
  std::uniform_int_distribution<Duration::rep> extra(0, part.count());
  aCore.electionDeadline = aNow + part + Duration(extra(aCore.random));
}

bool
isFor(Core& aCore, ReplicaId aTo, const InstanceId& aFrom)
{
  // More than a group has members; bounds what unknown senders can add.
  constexpr std::size_t kMaxSenders = 16;
  if (aTo == aCore.id) {
    return true;
  }
  if (aCore.options.openMembership && !isMember(aCore, aCore.id) && aCore.sendersToFormer.size() < kMaxSenders) {
    aCore.sendersToFormer.insert(aFrom);
  }
  return false;
}

void
sendToControllers(const Core& aCore, const Message& aMessage, Step& aStep)
{
  std::set<InstanceId> receivers(aCore.options.controllers.begin(), aCore.options.controllers.end());
  if (aCore.options.openMembership) {
    // The contacts in the settings may all have lost the group. Then they would ask only each other for it.
    std::ranges::transform(currentMembers(aCore.log), std::inserter(receivers, receivers.end()), &Member::instance);
    receivers.insert(aCore.sendersToFormer.begin(), aCore.sendersToFormer.end());
  }
  receivers.erase(aCore.options.instance);
  for (const auto& instance : receivers) {
    aStep.out.messages.push_back({ instance, aMessage });
  }
}

} // namespace rhubarbarch::consensus
