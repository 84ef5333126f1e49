// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "consensus_cluster.h"
#include "seed.h"

#include <algorithm>
#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::consensus;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/// Steps of 10 ms for which a follower answers nothing while its connection stays open.
constexpr std::size_t kSilentSteps = 150;

/// Bytes of entries and snapshots in a message.
std::size_t
payloadBytes(const Message& aMessage)
{
  if (const auto* append = std::get_if<AppendRequest>(&aMessage)) {
    std::size_t bytes = 0;
    std::ranges::for_each(append->entries, [&bytes](const auto& aEntry) { bytes += aEntry.data.data.size(); });
    return bytes;
  }
  const auto* chunk = std::get_if<SnapshotChunk>(&aMessage);
  return chunk == nullptr ? 0 : chunk->data.data.size();
}

} // namespace

TEST_GROUP(FlowControl)
{
  ConsensusCluster cluster{ 3, testSeed() };
  InstanceId slow;

  void setup() override
  {
    for (auto& node : cluster.nodes) {
      node.options.maxEntriesPerAppend = ReplicaOptions{}.maxEntriesPerAppend;
      node.options.snapshotChunkBytes = ReplicaOptions{}.snapshotChunkBytes;
      cluster.boot(node);
    }
    CHECK(cluster.runUntil([this] { return cluster.settled(); }));
    slow = std::ranges::find_if(cluster.nodes, [](const auto& aNode) { return !aNode.replica->isLeader(); })->name;
  }

  ClusterNode& slowNode()
  {
    return *std::ranges::find(cluster.nodes, slow, &ClusterNode::name);
  }

  /// Commits commands of a total size.
  void propose(std::size_t aCommands, std::size_t aBytesEach)
  {
    for (std::size_t i = 0; i < aCommands; ++i) {
      CHECK(cluster.propose(*cluster.leader(), aBytesEach));
      cluster.step();
    }
  }

  /// Bytes that were sent to the slow follower since recording began.
  std::size_t sentToSlow() const
  {
    std::size_t bytes = 0;
    for (const auto& [from, outgoing] : cluster.sent) {
      bytes += outgoing.to == slow ? payloadBytes(outgoing.message) : 0;
    }
    return bytes;
  }

  bool caughtUp()
  {
    return cluster.settled();
  }
};

// Guards against a leader that fills its own memory and that of a follower with copies of the same entries while the
// follower, back from a partition, takes longer than a heartbeat to answer.
TEST(FlowControl, sendsEntriesOnceToAFollowerThatIsSlowToCatchUp)
{
  cluster.isolate(slowNode());
  propose(400, 10'000);
  cluster.cutLinks.clear();
  cluster.recordSent = true;
  CHECK(cluster.runUntil([this] { return sentToSlow() > 0; }));
  slowNode().paused = true;
  cluster.run(kSilentSteps);
  slowNode().paused = false;
  CHECK(cluster.runUntil([this] { return caughtUp(); }));
  // What it lacks, 4 MB, and one repeat of a request for each election timeout of silence.
  CHECK_COMPARE(sentToSlow(), <, 8 * kMegabyte);
}

// Guards against a leader that keeps all entries queued for a follower that reads nothing.
TEST(FlowControl, boundsWhatIsOnItsWayToASilentFollower)
{
  cluster.recordSent = true;
  slowNode().paused = true;
  propose(kSilentSteps, 100'000);
  CHECK_COMPARE(sentToSlow(), <, 4 * kMegabyte);
  slowNode().paused = false;
  CHECK(cluster.runUntil([this] { return caughtUp(); }));
}

// Guards against copies of a snapshot that pile up before a follower that is slow to install it.
TEST(FlowControl, repeatsNoPartOfASnapshotBeforeItsAnswerIsOverdue)
{
  cluster.isolate(slowNode());
  propose(100, 100'000);
  cluster.compact(*cluster.leader());
  propose(100, 100'000);
  cluster.compact(*cluster.leader());
  cluster.cutLinks.clear();
  cluster.recordSent = true;
  CHECK(cluster.runUntil([this] { return sentToSlow() > 0; }));
  slowNode().paused = true;
  cluster.run(kSilentSteps);
  // Two parts of 256 KB at most for each election timeout.
  CHECK_COMPARE(sentToSlow(), <, 2 * kMegabyte);
  slowNode().paused = false;
  CHECK(cluster.runUntil([this] { return caughtUp(); }));
}
