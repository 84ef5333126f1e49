// Cost of control per process by fleet size: time in the state machine and bytes sent a second, without requests and
// with them. Time in the codec, sockets and threads is not part of it; see benchmark_wire for the codec.

#include "fleet_setup.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <vector>

DEFINE_uint64(seed, 20261204, "seed of the run");

using namespace rhubarbarch;
using namespace rhubarbarch::testing;

namespace {

constexpr Duration kMeasured{ 10'000 };

struct Size
{
  std::size_t routers = 2;
  std::size_t engines = 4;
  std::size_t plans = 10;
  int requestsPerSecond = 0;
};

std::vector<TestPlan>
plansOf(std::size_t aCount)
{
  std::vector<TestPlan> plans;
  plans.reserve(aCount);
  for (std::size_t number = 0; number < aCount; ++number) {
    plans.push_back({ "plan-" + std::to_string(number), 1'000'000'000 });
  }
  return plans;
}

void
askEvenly(Fleet& aFleet, const Size& aSize)
{
  const Duration interval{ 1000 / aSize.requestsPerSecond };
  const auto until = aFleet.now + kMeasured;
  std::size_t number = 0;
  while (aFleet.now < until) {
    const auto plan = "plan-" + std::to_string(number % aSize.plans);
    const auto router = "r" + std::to_string(number % aSize.routers + 1);
    aFleet.ask(router, plan + "-key", kChatPath, chatBody(100, 50));
    ++number;
    aFleet.advance(interval);
  }
}

FleetMeter
sumOf(const Fleet& aFleet, Role aRole, bool aLeaderOnly)
{
  FleetMeter sum;
  for (const auto& [name, node] : aFleet.nodes) {
    if (node.role == aRole && (!aLeaderOnly || name == aFleet.leaderName())) {
      sum.busy += node.meter.busy;
      sum.frames += node.meter.frames;
      sum.bytes += node.meter.bytes;
    }
  }
  return sum;
}

void
print(const char* aRole, const FleetMeter& aMeter, std::size_t aProcesses)
{
  const auto seconds = static_cast<double>(kMeasured.count()) / 1000 * static_cast<double>(aProcesses);
  const std::chrono::duration<double, std::milli> busy = aMeter.busy;
  std::printf("   %-8s %8.2f ms/s %8.1f frames/s %9.2f KB/s each\n",
              aRole,
              busy.count() / seconds,
              static_cast<double>(aMeter.frames) / seconds,
              static_cast<double>(aMeter.bytes) / seconds / 1000);
}

void
measure(const Size& aSize)
{
  FleetOptions options;
  options.seed = FLAGS_seed;
  options.routers = aSize.routers;
  options.engines = aSize.engines;
  options.services = 0;
  Fleet fleet(options);
  if (!applyLists(fleet, plansOf(aSize.plans)) || !waitReady(fleet)) {
    std::printf("the fleet did not start\n");
    return;
  }
  for (auto& [name, node] : fleet.nodes) {
    node.meter = {};
  }
  if (aSize.requestsPerSecond > 0) {
    askEvenly(fleet, aSize);
  } else {
    fleet.advance(kMeasured);
  }
  std::printf("%zu routers, %zu agents, %zu plans, %d requests/s\n",
              aSize.routers,
              aSize.engines,
              aSize.plans,
              aSize.requestsPerSecond);
  print("leader", sumOf(fleet, Role::kController, true), 1);
  print("router", sumOf(fleet, Role::kRouter, false), aSize.routers);
  print("agent", sumOf(fleet, Role::kAgent, false), aSize.engines);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const std::vector<Size> sizes = { { 2, 4, 10, 0 },  { 4, 4, 10, 0 },  { 8, 4, 10, 0 },   { 2, 16, 10, 0 },
                                    { 2, 64, 10, 0 }, { 8, 64, 10, 0 }, { 2, 4, 100, 0 },  { 2, 4, 1000, 0 },
                                    { 2, 4, 10, 10 }, { 2, 4, 10, 50 }, { 4, 16, 10, 50 }, { 4, 16, 100, 50 } };
  for (const auto& size : sizes) {
    measure(size);
  }
  return 0;
}
