// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "gateway_fleet.h"
#include "seed.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::GatewayFleet;

namespace {

constexpr std::size_t kGateways = 7;
constexpr Duration kWindow{ 10'000 };
constexpr double kRatio = 0.2;
constexpr double kSlack = 60;

std::ptrdiff_t
countWithin(const std::vector<TimePoint>& aTimes, TimePoint aFrom)
{
  return std::ranges::count_if(aTimes, [&](TimePoint aEach) { return aEach >= aFrom && aEach < aFrom + kWindow; });
}

/// @return the most repeats beyond the limit in any window; not above zero when the limit holds
double
excess(const GatewayFleet& aFleet)
{
  double most = -kSlack;
  for (const auto from : aFleet.repeats) {
    const auto allowed = kRatio * static_cast<double>(countWithin(aFleet.requests, from)) + kSlack;
    most = std::max(most, static_cast<double>(countWithin(aFleet.repeats, from)) - allowed);
  }
  return most;
}

} // namespace

TEST_GROUP(RetryLimit)
{
  GatewayFleet fleet{ kGateways, 4, testSeed() };

  void setup() override
  {
    std::ranges::for_each(fleet.engines, [](auto& aEngine) { aEngine.refuses = true; });
    fleet.callsPerSecond = 4;
  }

  void restartGateways()
  {
    for (std::size_t i = 0; i < kGateways; ++i) {
      fleet.restartGateway(i);
    }
  }
};

// Guards against the portions of the gateways adding up to more than the retry limit of the fleet, and against using
// little of it while upstreams refuse everything.
TEST(RetryLimit, holdsForTheSumOfAllGateways)
{
  fleet.run(Duration{ 30'000 });
  CHECK_COMPARE(excess(fleet), <=, 0);
  CHECK_COMPARE(static_cast<double>(countWithin(fleet.repeats, fleet.now() - kWindow)), >, kSlack / 2);
}

// Guards against restarted gateways using the portion that their predecessors have used.
TEST(RetryLimit, holdsOverRestartsOfAllGateways)
{
  fleet.run(Duration{ 12'000 });
  for (int i = 0; i < 4; ++i) {
    restartGateways();
    fleet.run(Duration{ 2500 });
  }
  fleet.run(Duration{ 10'000 });
  CHECK_COMPARE(excess(fleet), <=, 0);
}

// Guards against a new leader, which knows few gateways at first, having each gateway take a large portion.
TEST(RetryLimit, holdsOverChangesOfLeader)
{
  fleet.run(Duration{ 12'000 });
  for (int i = 0; i < 4; ++i) {
    fleet.cutLeader();
    fleet.run(Duration{ 1500 });
    fleet.healControllers();
    fleet.run(Duration{ 1000 });
  }
  fleet.run(Duration{ 10'000 });
  CHECK_COMPARE(excess(fleet), <=, 0);
}

// Guards against both at once, and against gateways that are cut off keeping portions that others share as well.
TEST(RetryLimit, holdsOverRestartsBesideChangesOfLeader)
{
  fleet.run(Duration{ 12'000 });
  for (int i = 0; i < 4; ++i) {
    fleet.cutLeader();
    restartGateways();
    fleet.run(Duration{ 1500 });
    fleet.healControllers();
    fleet.cutOff(0, true);
    fleet.cutOff(1, true);
    fleet.run(Duration{ 4000 });
    fleet.cutOff(0, false);
    fleet.cutOff(1, false);
  }
  fleet.run(Duration{ 10'000 });
  CHECK_COMPARE(excess(fleet), <=, 0);
}
