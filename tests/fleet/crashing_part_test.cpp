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

// Guards against sound requests being refused for what they share with those that crash engines.
TEST(CrashingPart, leavesSoundRequestsAlone)
{
  auto fleet = fleetWithCrashingPart();
  fleet.run(Duration{ 20'000 });
  const auto recovered = fleet.crashes.back() + 2 * kLearningTime;
  CHECK(recovered < fleet.now() - Duration{ 4000 });
  DOUBLES_EQUAL(1, fleet.soundServed(recovered), 0);
}

// Guards against a new leader, or the return of a former one, forgetting the part.
TEST(CrashingPart, isRememberedOverChangesOfLeader)
{
  auto fleet = fleetWithCrashingPart();
  for (int i = 0; i < 3; ++i) {
    fleet.run(Duration{ 6000 });
    fleet.cutLeader();
    fleet.run(Duration{ 3000 });
    fleet.healControllers();
  }
  CHECK_COMPARE(lateArrivals(fleet), <=, kAllowedLater);
}

// Guards against gateways that restart or join sending on requests that the others refuse.
TEST(CrashingPart, isKnownToRestartedAndNewGateways)
{
  auto fleet = fleetWithCrashingPart();
  fleet.run(Duration{ 8000 });
  const auto crashes = fleet.crashes.size();
  for (std::size_t i = 0; i < kGateways; ++i) {
    fleet.restartGateway(i);
  }
  fleet.addGateway();
  fleet.run(Duration{ 8000 });
  CHECK_EQUAL(crashes, fleet.crashes.size());
  CHECK_COMPARE(lateArrivals(fleet), <=, kAllowedLater);
}

// Guards against parts being quarantined because all engines crash at once, again and again, for another reason.
TEST(CrashingPart, isNotSuspectedWhenEnginesCrashByThemselves)
{
  GatewayFleet fleet(kGateways, kEngines, testSeed());
  for (int i = 0; i < 4; ++i) {
    fleet.run(Duration{ 5000 });
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      fleet.crash(engine);
    }
  }
  fleet.run(Duration{ 6000 });
  DOUBLES_EQUAL(1, fleet.soundServed(fleet.now() - Duration{ 2000 }), 0);
  CHECK_EQUAL(0U, fleet.controllers.countLines("subject_quarantined"));
}
