// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "gateway_fleet.h"
#include "seed.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::GatewayFleet;

namespace {

/// Gateways have this long after the third crash to learn of the request.
constexpr Duration kLearningTime{ 3000 };
constexpr std::size_t kCrashesBefore = 3;
/// Repeats that may reach engines after that.
constexpr std::size_t kAllowedLater = 3;

GatewayFleet
fleetWithCrashingRequest()
{
  GatewayFleet fleet(7, 9, testSeed());
  fleet.run(Duration{ 5000 });
  fleet.crashing.repeats = true;
  fleet.crashing.part = "crashing";
  fleet.crashing.share = 0.03;
  return fleet;
}

std::size_t
lateArrivals(const GatewayFleet& aFleet)
{
  return aFleet.crashes.size() < kCrashesBefore
           ? 0
           : aFleet.crashingArrivals(aFleet.crashes[kCrashesBefore - 1] + kLearningTime);
}

} // namespace

TEST_GROUP(CrashingRequest){};

// Guards against a request that crashes each upstream that runs it, and that its caller repeats at any gateway, being
// sent to one upstream after the other.
TEST(CrashingRequest, reachesFewEnginesOnceItIsKnown)
{
  auto fleet = fleetWithCrashingRequest();
  fleet.run(Duration{ 20'000 });
  CHECK_COMPARE(fleet.crashes.size(), >=, 1U);
  CHECK_COMPARE(lateArrivals(fleet), <=, kAllowedLater);
}

// Guards against sound requests being refused for the parts that they share with the crashing one.
TEST(CrashingRequest, leavesRequestsWithTheSamePartsAlone)
{
  auto fleet = fleetWithCrashingRequest();
  fleet.run(Duration{ 20'000 });
  const auto recovered = fleet.crashes.back() + 2 * kLearningTime;
  CHECK(recovered < fleet.now() - Duration{ 4000 });
  DOUBLES_EQUAL(1, fleet.soundServed(recovered), 0);
}

// Guards against a new leader or a restarted gateway forgetting the request.
TEST(CrashingRequest, isRememberedOverRestarts)
{
  auto fleet = fleetWithCrashingRequest();
  fleet.run(Duration{ 8000 });
  const auto crashes = fleet.crashes.size();
  fleet.cutLeader();
  fleet.run(Duration{ 3000 });
  fleet.healControllers();
  fleet.restartGateway(2);
  fleet.run(Duration{ 8000 });
  CHECK_EQUAL(crashes, fleet.crashes.size());
}
