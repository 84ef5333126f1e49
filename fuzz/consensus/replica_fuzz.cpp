// Drives 3 to 5 replicas through random faults and checks them against an oracle.
//
// RHUBARBARCH_SEED sets the seed, RHUBARBARCH_FUZZ_CASES the number of cases (default kDefaultCases).

#include "consensus_cluster.h"

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <ostream>
#include <string>
#include <vector>

using namespace rhubarbarch;
using namespace rhubarbarch::consensus;

namespace {

constexpr int kDefaultCases = 400;

enum class Kind : std::uint8_t
{
  kRun,
  kPropose,
  kRead,
  kCompact,
  kTransfer,
  kCrash,
  kLoseDisk,
  kBoot,
  kPause,
  kResume,
  kCut,
  kIsolate,
  kHeal,
  kNetwork,
  kReplay
};

/// One step of a case; what the numbers mean depends on the kind.
struct Operation
{
  Kind kind = Kind::kRun;
  unsigned a = 0;
  unsigned b = 0;
};

std::ostream&
operator<<(std::ostream& aStream, const Operation& aOperation)
{
  return aStream << "{" << static_cast<unsigned>(aOperation.kind) << "," << aOperation.a << "," << aOperation.b << "}";
}

rc::Gen<Operation>
operations()
{
  const auto kind = rc::gen::weightedElement<Kind>({ { 12, Kind::kRun },
                                                     { 10, Kind::kPropose },
                                                     { 4, Kind::kRead },
                                                     { 3, Kind::kCompact },
                                                     { 1, Kind::kTransfer },
                                                     { 3, Kind::kCrash },
                                                     { 3, Kind::kLoseDisk },
                                                     { 8, Kind::kBoot },
                                                     { 2, Kind::kPause },
                                                     { 4, Kind::kResume },
                                                     { 3, Kind::kCut },
                                                     { 2, Kind::kIsolate },
                                                     { 3, Kind::kHeal },
                                                     { 2, Kind::kNetwork },
                                                     { 2, Kind::kReplay } });
  return rc::gen::build<Operation>(rc::gen::set(&Operation::kind, kind),
                                   rc::gen::set(&Operation::a, rc::gen::inRange(0U, 60U)),
                                   rc::gen::set(&Operation::b, rc::gen::inRange(0U, 60U)));
}

void
proposeSome(ConsensusCluster& aCluster, ClusterNode& aNode, unsigned aCount)
{
  for (unsigned i = 0; i < aCount && ConsensusCluster::running(aNode); ++i) {
    aCluster.propose(aNode);
  }
}

/// Faults that act on one node.
void
applyToNode(ConsensusCluster& aCluster, ClusterNode& aNode, const Operation& aOperation)
{
  const bool running = ConsensusCluster::running(aNode);
  if (aOperation.kind == Kind::kPropose) {
    proposeSome(aCluster, aNode, aOperation.b % 8);
  } else if (aOperation.kind == Kind::kRead && running) {
    aCluster.read(aNode);
  } else if (aOperation.kind == Kind::kCompact && running) {
    aCluster.compact(aNode);
  } else if (aOperation.kind == Kind::kTransfer && running) {
    aCluster.transfer(aNode);
  } else if (aOperation.kind == Kind::kCrash && aNode.replica) {
    aCluster.crash(aNode);
  } else if (aOperation.kind == Kind::kLoseDisk && aCluster.mayLoseDisk(aNode)) {
    aCluster.loseDisk(aNode);
  } else if (aOperation.kind == Kind::kBoot && !aNode.replica) {
    aCluster.boot(aNode);
  } else if (aOperation.kind == Kind::kPause || aOperation.kind == Kind::kResume) {
    aNode.paused = aOperation.kind == Kind::kPause && aNode.replica;
  }
}

void
apply(ConsensusCluster& aCluster, const Operation& aOperation)
{
  auto& node = aCluster.nodes[aOperation.a % aCluster.nodes.size()];
  const auto& other = aCluster.nodes[aOperation.b % aCluster.nodes.size()];
  auto* leader = aCluster.leader();
  switch (aOperation.kind) {
    case Kind::kCut:
      aCluster.cutLinks.insert({ node.name, other.name });
      break;
    case Kind::kIsolate:
      aCluster.isolate(node);
      break;
    case Kind::kHeal:
      aCluster.cutLinks.clear();
      break;
    case Kind::kNetwork:
      aCluster.faults = { aOperation.a / 2, aOperation.b / 2, 1 + aOperation.a * aOperation.b / 8 };
      aCluster.groupCommit = aOperation.a % 2 == 0;
      break;
    case Kind::kReplay:
      aCluster.replayOld();
      break;
    case Kind::kPropose:
    case Kind::kRead:
    case Kind::kTransfer:
      // Most of them go to the leader; now and then one goes to a replica that may have been deposed.
      applyToNode(aCluster, leader != nullptr && aOperation.a % 4 != 0 ? *leader : node, aOperation);
      break;
    default:
      applyToNode(aCluster, node, aOperation);
  }
  aCluster.run(1 + (aOperation.kind == Kind::kRun ? aOperation.a * 3 : aOperation.b / 8));
}

/// Ends all faults; then the group must come together and know every committed command.
void
finish(ConsensusCluster& aCluster)
{
  aCluster.cutLinks.clear();
  aCluster.faults = {};
  for (auto& node : aCluster.nodes) {
    node.paused = false;
    if (!node.replica) {
      aCluster.boot(node);
    }
  }
  const auto settled = [&aCluster] { return aCluster.settled(); };
  ConsensusOracle::check(aCluster.runUntil(settled),
                         "the group did not come together after all faults ended" + aCluster.describe());
  const auto before = aCluster.oracle.size();
  const auto committed = [&] {
    // Proposals are refused while leadership is handed over, so they are repeated.
    auto* leader = aCluster.leader();
    if (leader != nullptr && aCluster.oracle.size() == before) {
      aCluster.propose(*leader);
      aCluster.read(*leader);
    }
    return aCluster.oracle.size() > before && aCluster.settled();
  };
  ConsensusOracle::check(aCluster.runUntil(committed),
                         "a command was not committed after all faults ended" + aCluster.describe());
  for (const auto& node : aCluster.nodes) {
    aCluster.oracle.stands(node.applied, node.state);
  }
}

} // namespace

int
main()
{
  // NOLINTBEGIN(concurrency-mt-unsafe)
  const char* seedText = std::getenv("RHUBARBARCH_SEED");
  const char* casesText = std::getenv("RHUBARBARCH_FUZZ_CASES");
  const std::string seed = seedText == nullptr ? "20261204" : seedText;
  const std::string cases = casesText == nullptr ? std::to_string(kDefaultCases) : casesText;
  std::cout << "seed " << seed << ", " << cases << " cases\n";
  const auto parameters = "seed=" + seed + " max_success=" + cases + " max_size=100";
  setenv("RC_PARAMS", parameters.c_str(), 0);
  // NOLINTEND(concurrency-mt-unsafe)

  std::size_t committed = 0;
  std::size_t lost = 0;
  const bool holds = rc::check("the replicated log keeps what it committed", [&] {
    const auto size = *rc::gen::inRange<std::size_t>(3, 6);
    const auto networkSeed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const auto steps = *rc::gen::container<std::vector<Operation>>(operations());
    ConsensusCluster cluster(size, networkSeed);
    for (const auto& operation : steps) {
      apply(cluster, operation);
    }
    finish(cluster);
    committed += cluster.oracle.size();
    lost += cluster.disksLost;
  });
  std::cout << committed << " commands committed, " << lost << " disks lost\n";
  return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}
