// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "consensus_cluster.h"
#include "seed.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::consensus;

namespace {

constexpr std::size_t kInstances = 8;
constexpr std::size_t kTolerated = 2;   ///< instances that may be lost at the same time, disks included
constexpr Duration kCatchUp{ 6'000 };   ///< an instance that is back counts as lost for this long
constexpr Duration kRecovery{ 15'000 }; ///< from the return of all instances to the first served request
constexpr int kDefaultCases = 12;
constexpr int kTroublesPerCase = 14;

/// Number of cases; RHUBARBARCH_TOLERANCE_CASES sets another one for runs by hand.
int
cases()
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* text = std::getenv("RHUBARBARCH_TOLERANCE_CASES");
  return text == nullptr ? kDefaultCases : std::atoi(text); // NOLINT(cert-err34-c)
}

/// A group of the size of a deployment that tolerates the loss of two instances, under losses that keep to that.
class Deployment
{
public:
  explicit Deployment(std::uint64_t aSeed)
    : mRandom(aSeed)
    , cluster(3, aSeed)
  {
    for (auto& node : cluster.nodes) {
      node.options.openMembership = true;
      node.options.maxEntriesPerAppend = ReplicaOptions{}.maxEntriesPerAppend;
      node.options.snapshotChunkBytes = ReplicaOptions{}.snapshotChunkBytes;
      cluster.boot(node);
    }
    cluster.runUntil([this] { return cluster.settled(); });
    for (auto& node : cluster.nodes) {
      node.options.bootstrap = false;
    }
    while (cluster.nodes.size() < kInstances) {
      add();
    }
    cluster.runUntil([this] { return voters() == kInstances; });
  }

  /// Adds a blank instance that knows three of the others.
  void add()
  {
    auto options = cluster.nodes[0].options;
    options.instance = "i" + std::to_string(++mAdded);
    options.controllers = contacts();
    cluster.nodes.push_back({ options.instance, options, MemoryDisk(mRandom), {}, false, {}, {}, {}, {} });
    cluster.boot(cluster.nodes.back());
  }

  std::size_t voters()
  {
    auto* leader = cluster.leader();
    if (leader == nullptr) {
      return 0;
    }
    const auto members = leader->replica->members();
    return static_cast<std::size_t>(std::ranges::count_if(members, &Member::voter));
  }

  /// One loss of one or two instances, then time to catch up.
  void trouble()
  {
    const auto lost = choose(1 + draw(kTolerated));
    const auto kind = draw(6);
    const Duration time{ 200 + static_cast<Duration::rep>(draw(9'000)) };
    if (kind == 5) {
      split(time);
    } else if (kind == 4) {
      replace(*lost.begin());
    } else if (kind == 3) {
      cut(lost, time);
    } else if (kind == 2) {
      freeze(lost, time);
    } else {
      restart(lost, time, kind == 1);
    }
    run(kCatchUp);
  }

  /// The settings of all instances name the same three contacts. One of them is cut off until the group has given it
  /// up; then all lose power, and the other two their disks.
  /// @return whether each contact knows the leader within the time to recover
  bool powerLossAtTheContacts()
  {
    const std::vector<InstanceId> seeds{ "c1", "c2", "c3" };
    cluster.isolate(node("c3"));
    cluster.runUntil([this] {
      proposeAtLeader();
      return voters() == kInstances - 1;
    });
    for (auto& each : cluster.nodes) {
      each.options.controllers = seeds;
      each.name == "c1" || each.name == "c2" ? cluster.loseDisk(each) : cluster.crash(each);
    }
    cluster.cutLinks.clear();
    std::ranges::for_each(cluster.nodes, [this](auto& aNode) { cluster.boot(aNode); });
    run(kRecovery);
    return std::ranges::all_of(seeds, [this](const auto& aName) {
      const auto& replica = *node(aName).replica;
      return replica.isLeader() || !replica.leader().empty();
    });
  }

  /// All instances lose power right after a command was committed, and one or two of them their disks.
  /// @return whether a leader serves within the time to recover
  bool powerLoss()
  {
    const auto before = cluster.oracle.size();
    if (!cluster.runUntil([&] {
          proposeAtLeader();
          return cluster.oracle.size() > before + 3;
        })) {
      return false;
    }
    const auto wiped = choose(kTolerated);
    for (auto& node : cluster.nodes) {
      if (wiped.contains(node.name)) {
        cluster.loseDisk(node);
      } else {
        cluster.crash(node);
      }
    }
    run(Duration{ 1'000 });
    refreshContacts();
    std::ranges::for_each(cluster.nodes, [this](auto& aNode) { cluster.boot(aNode); });
    const auto deadline = cluster.now + kRecovery;
    const auto committed = cluster.oracle.size();
    while (cluster.now < deadline && cluster.oracle.size() == committed) {
      proposeAtLeader();
      cluster.step();
    }
    const bool served = cluster.oracle.size() > committed;
    run(kCatchUp);
    return served;
  }

  /// @return whether each instance is a voter under its present identity, and nobody else is a member
  bool whole()
  {
    auto* leader = cluster.leader();
    const auto members = leader == nullptr ? std::vector<Member>{} : leader->replica->members();
    return members.size() == cluster.nodes.size() && std::ranges::all_of(cluster.nodes, [&](const auto& aNode) {
             return std::ranges::any_of(members, [&](const Member& aMember) {
               return aMember.voter && aNode.replica && aMember.replica == aNode.replica->id();
             });
           });
  }

private:
  std::size_t draw(std::size_t aBelow) { return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(mRandom); }

  std::set<InstanceId> choose(std::size_t aCount)
  {
    std::set<InstanceId> chosen;
    while (chosen.size() < aCount) {
      chosen.insert(cluster.nodes[draw(cluster.nodes.size())].name);
    }
    return chosen;
  }

  std::vector<InstanceId> contacts()
  {
    const auto names = choose(3);
    return { names.begin(), names.end() };
  }

  void refreshContacts()
  {
    for (auto& node : cluster.nodes) {
      node.options.controllers = contacts();
    }
  }

  ClusterNode& node(const InstanceId& aName) { return *std::ranges::find(cluster.nodes, aName, &ClusterNode::name); }

  void proposeAtLeader()
  {
    if (auto* leader = cluster.leader(); leader != nullptr) {
      cluster.propose(*leader);
    }
    cluster.step();
  }

  /// Lets time pass under load: a command every 20 ms, and a snapshot now and then.
  void run(Duration aTime)
  {
    const auto until = cluster.now + aTime;
    while (cluster.now < until) {
      proposeAtLeader();
      cluster.step();
      if (auto* leader = cluster.leader(); leader != nullptr && draw(200) == 0) {
        cluster.compact(*leader);
      }
    }
  }

  void restart(const std::set<InstanceId>& aLost, Duration aTime, bool aWipe)
  {
    for (const auto& name : aLost) {
      aWipe ? cluster.loseDisk(node(name)) : cluster.crash(node(name));
    }
    run(aTime);
    for (const auto& name : aLost) {
      node(name).options.controllers = contacts();
      cluster.boot(node(name));
    }
  }

  void replace(const InstanceId& aGone)
  {
    cluster.crash(node(aGone));
    std::erase_if(cluster.nodes, [&](const auto& aEach) { return aEach.name == aGone; });
    run(Duration{ 1'000 });
    add();
  }

  void freeze(const std::set<InstanceId>& aLost, Duration aTime)
  {
    std::ranges::for_each(aLost, [this](const auto& aName) { node(aName).paused = true; });
    run(aTime);
    std::ranges::for_each(aLost, [this](const auto& aName) { node(aName).paused = false; });
  }

  void cut(const std::set<InstanceId>& aLost, Duration aTime)
  {
    std::ranges::for_each(aLost, [this](const auto& aName) { cluster.isolate(node(aName)); });
    run(aTime);
    cluster.cutLinks.clear();
  }

  void split(Duration aTime)
  {
    const auto half = choose(cluster.nodes.size() / 2);
    for (const auto& left : cluster.nodes) {
      for (const auto& right : cluster.nodes) {
        if (half.contains(left.name) != half.contains(right.name)) {
          cluster.cutLinks.insert({ left.name, right.name });
        }
      }
    }
    run(aTime);
    cluster.cutLinks.clear();
  }

  std::mt19937_64 mRandom;
  std::size_t mAdded = 0;

public:
  ConsensusCluster cluster;
};

} // namespace

TEST_GROUP(Tolerance){};

// Guards against a group that does not come back from a power loss of all instances although no more disks are lost
// with it than the deployment tolerates.
TEST(Tolerance, recoversFromAPowerLossWithTheToleratedDisks)
{
  for (int i = 0; i < cases(); ++i) {
    const auto seed = testSeed() + static_cast<std::uint64_t>(i);
    Deployment deployment(seed);
    const auto text = "seed " + std::to_string(seed);
    for (int trouble = 0; trouble < kTroublesPerCase; ++trouble) {
      const auto describe = [&] {
        return text + ", trouble " + std::to_string(trouble) + deployment.cluster.describe();
      };
      deployment.trouble();
      CHECK_TRUE_TEXT(deployment.whole(), describe().c_str());
      if (trouble % 3 == 2) {
        CHECK_TRUE_TEXT(deployment.powerLoss(), describe().c_str());
        CHECK_TRUE_TEXT(deployment.whole(), describe().c_str());
      }
    }
  }
}

// Guards against a fleet that refuses everything after a power loss although a leader serves: all named contacts have
// lost the group, two with their disks and one that was given up before, and they only asked each other for it.
TEST(Tolerance, contactsThatHaveLostTheGroupFindItAgain)
{
  Deployment deployment(testSeed());
  CHECK_TRUE_TEXT(deployment.powerLossAtTheContacts(), deployment.cluster.describe().c_str());
}
