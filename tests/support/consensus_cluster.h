#pragma once

#include "memory_disk.h"

#include "rhubarbarch/consensus/replica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::consensus {

/// What the network does to messages.
struct NetworkFaults
{
  unsigned dropPercent = 0;
  unsigned duplicatePercent = 0;
  Duration::rep maxDelay = 1; ///< in milliseconds; messages overtake one another within it
};

/// The truth that all replicas are checked against. A violation throws.
class ConsensusOracle
{
public:
  void leads(Term aTerm, ReplicaId aReplica)
  {
    const auto known = mLeaders.emplace(aTerm, aReplica).first;
    check(known->second == aReplica, "two leaders in term " + std::to_string(toNumber(aTerm)));
  }

  /// A replica whose last applied index was `aPrevious` applies a command.
  void applies(LogIndex aPrevious, const LogEntry& aEntry)
  {
    const auto known = mCommitted.emplace(aEntry.index, aEntry.data.data).first;
    const auto text = "index " + std::to_string(toNumber(aEntry.index));
    check(known->second == aEntry.data.data, text + " was committed with another command");
    const auto following = mCommitted.upper_bound(aPrevious);
    check(following == known, text + " was applied without the one before it");
  }

  /// A replica stands at an index with a state.
  void stands(LogIndex aIndex, const std::vector<std::string>& aState) const
  {
    std::vector<std::string> expected;
    for (const auto& [index, command] : mCommitted) {
      if (index <= aIndex) {
        expected.push_back(command);
      }
    }
    check(expected == aState,
          "state at index " + std::to_string(toNumber(aIndex)) + " differs from what was committed");
  }

  /// Number of commands that were committed.
  std::size_t size() const { return mCommitted.size(); }
  LogIndex lastCommitted() const { return mCommitted.empty() ? LogIndex{} : mCommitted.rbegin()->first; }

  static void check(bool aHolds, const std::string& aText)
  {
    if (!aHolds) {
      throw std::runtime_error(aText);
    }
  }

private:
  std::map<Term, ReplicaId> mLeaders;
  std::map<LogIndex, std::string> mCommitted;
};

/// One controller: a disk that survives crashes, and the replica that runs on it.
struct ClusterNode
{
  InstanceId name;
  ReplicaOptions options;
  MemoryDisk disk;
  std::unique_ptr<Replica> replica; ///< null: crashed
  bool paused = false;
  LogIndex applied{};
  std::vector<std::string> state;
  Output unflushed;                           ///< not yet synced, so neither sent nor visible
  std::map<std::uint64_t, std::size_t> reads; ///< read → commands committed when it was asked
};

/// A few replicas in one thread with a network and disks that fail on demand.
class ConsensusCluster
{
public:
  ConsensusCluster(std::size_t aSize, std::uint64_t aSeed, bool aBootstrap = true)
    : mRandom(aSeed)
  {
    std::vector<InstanceId> names;
    names.reserve(aSize);
    for (std::size_t i = 0; i < aSize; ++i) {
      names.push_back("c" + std::to_string(i + 1));
    }
    for (const auto& name : names) {
      ReplicaOptions options;
      options.instance = name;
      options.controllers = names;
      options.bootstrap = aBootstrap;
      options.snapshotChunkBytes = 16;
      options.maxEntriesPerAppend = 4;
      nodes.push_back({ name, options, MemoryDisk(mRandom), {}, false, {}, {}, {}, {} });
    }
    for (auto& node : nodes) {
      boot(node);
    }
  }

  std::vector<ClusterNode> nodes;
  ConsensusOracle oracle;
  NetworkFaults faults;
  std::set<std::pair<InstanceId, InstanceId>> cutLinks; ///< directed
  bool groupCommit = false;                             ///< sync at the end of each step instead of after each output
  TimePoint now{ Duration{ 1000000 } };

  /// Starts the replica of a node from its disk.
  void boot(ClusterNode& aNode)
  {
    aNode.applied = LogIndex{};
    aNode.state.clear();
    aNode.replica = std::make_unique<Replica>(aNode.options, aNode.disk.synced(), std::mt19937_64(mRandom()));
    take(aNode, aNode.replica->start(now));
  }

  /// Kills the replica of a node; what it had not synced may be lost.
  void crash(ClusterNode& aNode)
  {
    aNode.replica.reset();
    aNode.paused = false;
    aNode.unflushed = {};
    aNode.reads.clear();
    aNode.disk.crash(mRandom);
  }

  /// Kills the replica of a node and replaces its disk by a blank one.
  void loseDisk(ClusterNode& aNode)
  {
    crash(aNode);
    aNode.disk = MemoryDisk(mRandom);
    ++disksLost;
  }

  /// True when a majority of the voters of each member list that is or may come into force keeps its disk although
  /// this node's disk is lost.
  bool mayLoseDisk(const ClusterNode& aNode) const
  {
    std::set<ReplicaId> kept;
    std::map<LogIndex, std::vector<Member>> lists;
    for (const auto& node : nodes) {
      const auto stored = node.disk.latest();
      if (&node != &aNode) {
        kept.insert(stored.replica);
      }
      collectLists(stored, lists);
    }
    if (lists.empty()) {
      // A group founded on identities that are gone by then would count as one that lost a majority.
      return (disksLost + 1) * 2 < nodes.size();
    }
    // Member lists before the last one known to be committed no longer matter.
    const auto first = lists.upper_bound(mCommitIndex);
    return std::all_of(first == lists.begin() ? first : std::prev(first), lists.end(), [&kept](const auto& aList) {
      const auto voters = std::ranges::count_if(aList.second, &Member::voter);
      const auto left = std::ranges::count_if(
        aList.second, [&kept](const Member& aMember) { return aMember.voter && kept.contains(aMember.replica); });
      return left > voters / 2;
    });
  }

  /// Advances time by one tick period: delivers what is due and ticks every running replica.
  void step()
  {
    now += kTickPeriod;
    deliver();
    for (auto& node : nodes) {
      if (running(node)) {
        take(node, node.replica->tick(now));
      }
    }
    std::ranges::for_each(nodes, [this](auto& aNode) { flush(aNode); });
  }

  void run(std::size_t aSteps)
  {
    for (std::size_t i = 0; i < aSteps; ++i) {
      step();
    }
  }

  /// Steps until a condition holds.
  /// @return false when it does not hold within a minute of simulated time
  template<typename Condition>
  bool runUntil(Condition aCondition)
  {
    for (std::size_t i = 0; i < 6000; ++i) {
      if (aCondition()) {
        return true;
      }
      step();
    }
    return aCondition();
  }

  static bool running(const ClusterNode& aNode) { return aNode.replica != nullptr && !aNode.paused; }

  ClusterNode* leader()
  {
    ClusterNode* result = nullptr;
    for (auto& node : nodes) {
      if (running(node) && node.replica->isLeader() &&
          (result == nullptr || node.replica->term() > result->replica->term())) {
        result = &node;
      }
    }
    return result;
  }

  /// Proposes the next command on a node.
  /// @param aBytes size to which its text is filled up
  /// @return false when it is not the leader
  bool propose(ClusterNode& aNode, std::size_t aBytes = 0)
  {
    Output output;
    auto command = "command " + std::to_string(++mCommands);
    command.resize(std::max(command.size(), aBytes), '.');
    const auto index = aNode.replica->propose(std::move(command), now, output);
    take(aNode, std::move(output));
    return index.has_value();
  }

  bool read(ClusterNode& aNode)
  {
    Output output;
    const auto id = ++mReads;
    aNode.reads[id] = oracle.size();
    const bool taken = aNode.replica->requestRead(id, now, output).has_value();
    if (!taken) {
      aNode.reads.erase(id);
    }
    take(aNode, std::move(output));
    return taken;
  }

  void compact(ClusterNode& aNode)
  {
    flush(aNode);
    take(aNode, aNode.replica->compact(nlohmann::json(aNode.state).dump()));
  }

  void transfer(ClusterNode& aNode) { take(aNode, aNode.replica->transferLeadership(now)); }

  /// Hands a message to a node at once.
  void inject(ClusterNode& aNode, const InstanceId& aFrom, const Message& aMessage)
  {
    take(aNode, aNode.replica->handle(aFrom, aMessage, now));
  }

  /// Cuts a node off from all others, both ways, or reconnects it.
  void isolate(const ClusterNode& aNode)
  {
    for (const auto& other : nodes) {
      cutLinks.insert({ aNode.name, other.name });
      cutLinks.insert({ other.name, aNode.name });
    }
  }

  /// True when each node runs, one leads, all are voters and nobody else is a member, and all have the same state.
  bool settled()
  {
    const auto* first = leader();
    return first != nullptr && std::ranges::all_of(nodes, [&](const auto& aNode) {
             const auto members = running(aNode) ? aNode.replica->members() : std::vector<Member>{};
             return members.size() == nodes.size() && std::ranges::all_of(members, &Member::voter) &&
                    aNode.applied == first->applied && first->applied >= oracle.lastCommitted();
           });
  }

  /// Sends some of the messages that have left before once more.
  void replayOld()
  {
    for (std::size_t i = 0; i < kReplayed && !mOld.empty(); ++i) {
      auto message = mOld[std::uniform_int_distribution<std::size_t>(0, mOld.size() - 1)(mRandom)];
      message.due = now + kTickPeriod;
      mInFlight.push_back(std::move(message));
    }
  }

  /// What each replica stands at, for a failure's text.
  std::string describe() const
  {
    std::string text;
    for (const auto& node : nodes) {
      text += "\n" + node.name + (running(node) ? "" : " stopped");
      if (!node.replica) {
        continue;
      }
      const auto& replica = *node.replica;
      text += " replica " + std::to_string(toNumber(replica.id())) + " term " +
              std::to_string(toNumber(replica.term())) + " leader " + replica.leader() + " last " +
              std::to_string(toNumber(replica.lastIndex())) + " applied " +
              std::to_string(toNumber(replica.appliedIndex())) + " members " + nlohmann::json(replica.members()).dump();
    }
    return text;
  }

  std::size_t disksLost = 0;

  /// Messages read by tests, in the order they left.
  std::vector<std::pair<InstanceId, Outgoing>> sent;
  bool recordSent = false;

private:
  static constexpr std::size_t kReplayed = 20;
  static constexpr std::size_t kOldKept = 500;

  struct InFlight
  {
    TimePoint due;
    InstanceId from;
    Outgoing outgoing;
  };

  static void collectLists(const StoredState& aStored, std::map<LogIndex, std::vector<Member>>& aLists)
  {
    if (aStored.snapshot) {
      aLists[aStored.snapshot->lastIndex] = aStored.snapshot->members;
    }
    for (const auto& entry : aStored.entries) {
      if (entry.kind == EntryKind::kMembership) {
        aLists[entry.index] = nlohmann::json::from_cbor(entry.data.data).get<std::vector<Member>>();
      }
    }
  }

  unsigned percent() { return std::uniform_int_distribution<unsigned>(0, 99)(mRandom); }

  void take(ClusterNode& aNode, Output aOutput)
  {
    auto& kept = aNode.unflushed;
    aNode.disk.write(aOutput.records);
    if (aOutput.restored) {
      kept.restored = std::move(aOutput.restored);
      kept.committed.clear();
    }
    std::ranges::move(aOutput.committed, std::back_inserter(kept.committed));
    std::ranges::move(aOutput.readsReady, std::back_inserter(kept.readsReady));
    std::ranges::move(aOutput.messages, std::back_inserter(kept.messages));
    if (aNode.replica->isLeader()) {
      oracle.leads(aNode.replica->term(), aNode.replica->id());
    }
    if (!groupCommit) {
      flush(aNode);
    }
  }

  /// Syncs what a node has written and lets its effects out.
  void flush(ClusterNode& aNode)
  {
    if (!running(aNode)) {
      return;
    }
    aNode.disk.sync();
    auto output = std::exchange(aNode.unflushed, {});
    if (output.restored) {
      aNode.applied = output.restored->lastIndex;
      aNode.state = nlohmann::json::parse(output.restored->state).get<std::vector<std::string>>();
      oracle.stands(aNode.applied, aNode.state);
    }
    for (const auto& entry : output.committed) {
      oracle.applies(aNode.applied, entry);
      aNode.applied = entry.index;
      aNode.state.push_back(entry.data.data);
    }
    mCommitIndex = std::max(mCommitIndex, aNode.replica->appliedIndex());
    aNode.applied = aNode.replica->appliedIndex();
    for (const auto read : output.readsReady) {
      ConsensusOracle::check(aNode.reads.at(read) <= aNode.state.size(), "a confirmed read missed a committed command");
      aNode.reads.erase(read);
    }
    std::ranges::for_each(output.messages, [&](auto& aEach) { send(aNode.name, aEach); });
  }

  void send(const InstanceId& aFrom, const Outgoing& aOutgoing)
  {
    if (recordSent) {
      sent.emplace_back(aFrom, aOutgoing);
    }
    if (mOld.size() < kOldKept) {
      mOld.push_back({ now, aFrom, aOutgoing });
    } else {
      mOld[mRandom() % kOldKept] = { now, aFrom, aOutgoing };
    }
    const auto copies = percent() < faults.dropPercent ? 0U : percent() < faults.duplicatePercent ? 2U : 1U;
    for (unsigned i = 0; i < copies; ++i) {
      const Duration delay{ std::uniform_int_distribution<Duration::rep>(1, faults.maxDelay)(mRandom) };
      mInFlight.push_back({ now + delay, aFrom, aOutgoing });
    }
  }

  void deliver()
  {
    const auto waiting = std::ranges::partition(mInFlight, [this](const auto& aEach) { return aEach.due > now; });
    std::vector<InFlight> due(std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
    mInFlight.erase(waiting.begin(), waiting.end());
    std::ranges::sort(due, {}, &InFlight::due);
    for (auto& each : due) {
      const auto to = std::ranges::find(nodes, each.outgoing.to, &ClusterNode::name);
      if (to == nodes.end() || !to->replica || cutLinks.contains({ each.from, each.outgoing.to })) {
        continue;
      }
      if (to->paused) {
        each.due = now + kTickPeriod; // stays in the receive buffer
        mInFlight.push_back(std::move(each));
        continue;
      }
      take(*to, to->replica->handle(each.from, each.outgoing.message, now));
    }
  }

  std::mt19937_64 mRandom;
  std::vector<InFlight> mInFlight;
  std::vector<InFlight> mOld; ///< a sample of all messages sent
  std::uint64_t mCommands = 0;
  std::uint64_t mReads = 0;
  LogIndex mCommitIndex{};
};

} // namespace rhubarbarch::consensus
