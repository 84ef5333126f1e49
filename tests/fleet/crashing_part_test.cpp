// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "gateway_fleet.h"
#include "seed.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::GatewayFleet;

namespace {

constexpr std::size_t kGateways = 7;
constexpr std::size_t kEngines = 9;
/// Gateways have this long after the fifth crash to learn of the part.
constexpr Duration kLearningTime{ 3000 };
constexpr std::size_t kCrashesBefore = 5;
/// Requests with the part that may reach engines after that.
constexpr std::size_t kAllowedLater = 3;

GatewayFleet
fleetWithCrashingPart()
{
  GatewayFleet fleet(kGateways, kEngines, testSeed());
  fleet.run(Duration{ 5000 });
  fleet.crashing.part = "crashing";
  fleet.crashing.share = 0.03;
  return fleet;
}

/// @return the requests with the part that reached engines too late
std::size_t
lateArrivals(const GatewayFleet& aFleet)
{
  return aFleet.crashes.size() < kCrashesBefore
           ? 0
           : aFleet.crashingArrivals(aFleet.crashes[kCrashesBefore - 1] + kLearningTime);
}

} // namespace

TEST_GROUP(CrashingPart){};

// Guards against a part of a prompt that crashes each engine that begins to answer it being sent to one engine after
// the other.
TEST(CrashingPart, reachesFewEnginesOnceItIsKnown)
{
  auto fleet = fleetWithCrashingPart();
  fleet.run(Duration{ 20'000 });
  CHECK_COMPARE(fleet.crashes.size(), >=, 1U);
  CHECK_COMPARE(lateArrivals(fleet), <=, kAllowedLater);
}
