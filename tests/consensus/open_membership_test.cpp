// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "consensus_cluster.h"
#include "seed.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::consensus;

namespace {

std::size_t
voters(const Replica& aReplica)
{
  const auto members = aReplica.members();
  return static_cast<std::size_t>(std::ranges::count_if(members, &Member::voter));
}

bool
isVoter(const Replica& aReplica, const InstanceId& aInstance)
{
  return std::ranges::any_of(aReplica.members(),
                             [&](const Member& aMember) { return aMember.instance == aInstance && aMember.voter; });
}

} // namespace

TEST_GROUP(OpenMembership)
{
  ConsensusCluster cluster{ 3, testSeed() };

  void setup() override
  {
    for (auto& node : cluster.nodes) {
      node.options.openMembership = true;
      cluster.boot(node);
    }
    CHECK(cluster.runUntil([this] { return cluster.settled(); }));
  }

  /// Adds a blank instance that knows only `aContact`.
  ClusterNode& add(const InstanceId& aName, const InstanceId& aContact)
  {
    auto options = cluster.nodes[0].options;
    options.instance = aName;
    options.controllers = { aContact };
    options.bootstrap = false;
    std::mt19937_64 random(testSeed() + cluster.nodes.size());
    cluster.nodes.push_back({ aName, options, MemoryDisk(random), {}, false, {}, {}, {}, {} });
    cluster.boot(cluster.nodes.back());
    return cluster.nodes.back();
  }

  InstanceId leaderName()
  {
    const auto* leader = cluster.leader();
    return leader == nullptr ? InstanceId{} : leader->name;
  }

  ClusterNode& node(const InstanceId& aName)
  {
    return *std::ranges::find(cluster.nodes, aName, &ClusterNode::name);
  }

  InstanceId aRunningFollower()
  {
    return std::ranges::find_if(cluster.nodes,
                                [](const auto& aNode) { return aNode.replica && !aNode.replica->isLeader(); })
      ->name;
  }

  InstanceId aFollower()
  {
    return std::ranges::find_if(cluster.nodes, [](const auto& aNode) { return !aNode.replica->isLeader(); })->name;
  }
};

// Guards against an instance at a new address that knows only a follower never becoming a member.
TEST(OpenMembership, admitsANewInstanceThroughAFollower)
{
  add("c9", aFollower());
  CHECK(cluster.runUntil([this] { return isVoter(*cluster.leader()->replica, "c9"); }));
  CHECK_EQUAL(4U, voters(*cluster.leader()->replica));
}

// Guards against a replaced instance counting for ever: with it, the loss of one more would stop the group.
TEST(OpenMembership, replacesAVoterThatIsGone)
{
  const auto gone = aFollower();
  cluster.crash(node(gone));
  cluster.run(100);
  add("c9", leaderName());
  CHECK(cluster.runUntil([&] {
    const auto* leader = cluster.leader();
    return leader != nullptr && isVoter(*leader->replica, "c9") && !isVoter(*leader->replica, gone);
  }));
  CHECK_EQUAL(3U, voters(*cluster.leader()->replica));
}

// Guards against the old voter of a planned replacement, which leaves after the new one has come, counting for ever.
TEST(OpenMembership, dropsAVoterThatLeavesAfterItsSuccessorCame)
{
  add("c9", leaderName());
  CHECK(cluster.runUntil([this] { return isVoter(*cluster.leader()->replica, "c9"); }));
  const auto gone = aFollower();
  cluster.crash(node(gone));
  CHECK(cluster.runUntil([&] {
    const auto* leader = cluster.leader();
    return leader != nullptr && !isVoter(*leader->replica, gone);
  }));
  CHECK_EQUAL(3U, voters(*cluster.leader()->replica));
}

// Guards against a voter that was dropped while it was cut off staying outside.
TEST(OpenMembership, takesADroppedVoterBack)
{
  add("c9", leaderName());
  CHECK(cluster.runUntil([this] { return isVoter(*cluster.leader()->replica, "c9"); }));
  const auto cut = aFollower();
  cluster.isolate(node(cut));
  CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr && !isVoter(*cluster.leader()->replica, cut); }));
  cluster.cutLinks.clear();
  CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr && isVoter(*cluster.leader()->replica, cut); }));
}

// Guards against a group of three giving up a voter that nobody replaces.
TEST(OpenMembership, keepsThreeVoters)
{
  cluster.crash(node(aFollower()));
  cluster.run(2000);
  CHECK_EQUAL(3U, voters(*cluster.leader()->replica));
}

// Guards against a group that gives up silent voters until the disks that a deployment may lose at once are a majority:
// after such a loss no leader could be elected, and all requests would be refused for good.
TEST(OpenMembership, keepsTheVotersThatTheToleratedLossesNeed)
{
  for (auto& node : cluster.nodes) {
    node.options.lossesTolerated = 2;
    cluster.boot(node);
  }
  CHECK(cluster.runUntil([this] { return cluster.settled(); }));
  for (const auto* name : { "c7", "c8", "c9" }) {
    add(name, leaderName());
    CHECK(cluster.runUntil([&] { return cluster.leader() != nullptr && isVoter(*cluster.leader()->replica, name); }));
  }
  for (const std::size_t expected : { 5U, 5U }) {
    cluster.crash(node(aRunningFollower()));
    cluster.run(2000);
    CHECK_EQUAL(expected, voters(*cluster.leader()->replica));
  }
}
