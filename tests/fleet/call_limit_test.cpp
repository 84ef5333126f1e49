// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "gateway_fleet.h"
#include "seed.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::GatewayFleet;

namespace {

/// Until this long after an upstream first named a limit, gateways may exceed it.
constexpr Duration kGracePeriod{ 3000 };
constexpr Duration kWindow{ 4000 };
/// A gateway is bound from this long after its first answer with the limit.
constexpr Duration kToldFor{ 500 };

/// Calls that an upstream may get in a window: one and a half times its limit and five more.
std::size_t
allowedCalls(double aCallsPerSecond)
{
  return static_cast<std::size_t>(aCallsPerSecond * 1.5 * std::chrono::duration<double>(kWindow).count() + 5);
}

constexpr Duration kColdTime{ 3000 };
constexpr Duration kColdWindow{ 1000 };
/// Calls that a cold engine may get in a second: one and a half times its rate and five more.
constexpr auto kAllowedCold = static_cast<std::size_t>(GatewayFleet::kColdCallsPerSecond * 1.5 + 5);

} // namespace

TEST_GROUP(CallLimit){};

// Guards against an upstream that named a rate limit getting more calls than that from all gateways together.
TEST(CallLimit, holdsForTheSumOfAllGateways)
{
  GatewayFleet fleet(30, 6, testSeed());
  auto& engine = fleet.engines[0];
  engine.callsPerSecond = 2;
  const auto named = fleet.now();
  fleet.run(Duration{ 20'000 });
  CHECK_COMPARE(fleet.mostArrivals(engine, kWindow, named + kGracePeriod, kToldFor), <=, allowedCalls(2));
  // The other engines have room, so no caller is refused for it.
  CHECK_EQUAL(0U, fleet.repliesWith(503, named));
}

// Guards against two leaders, or a new one that does not know what the last one permitted, permitting more calls
// together than the limit.
TEST(CallLimit, holdsOverChangesOfLeader)
{
  GatewayFleet fleet(30, 6, testSeed());
  auto& engine = fleet.engines[0];
  engine.callsPerSecond = 2;
  const auto named = fleet.now();
  for (int i = 0; i < 4; ++i) {
    fleet.run(Duration{ 4000 });
    fleet.cutLeader();
    fleet.run(Duration{ 3000 });
    fleet.healControllers();
  }
  CHECK_COMPARE(fleet.mostArrivals(engine, kWindow, named + kGracePeriod, kToldFor), <=, allowedCalls(2));
  CHECK_EQUAL(0U, fleet.repliesWith(503, named));
}

// Guards against a former leader, cut off from the other controllers but not from the gateways, permitting calls beside
// the new one.
TEST(CallLimit, holdsBesideAFormerLeader)
{
  GatewayFleet fleet(30, 6, testSeed());
  auto& engine = fleet.engines[0];
  engine.callsPerSecond = 2;
  const auto named = fleet.now();
  for (int i = 0; i < 4; ++i) {
    fleet.run(Duration{ 4000 });
    fleet.controllers.isolated.insert(fleet.controllers.leader());
    fleet.run(Duration{ 3000 });
    fleet.controllers.isolated.clear();
  }
  CHECK_COMPARE(fleet.mostArrivals(engine, kWindow, named + kGracePeriod, kToldFor), <=, allowedCalls(2));
  CHECK_COMPARE(fleet.controllers.countLines("leadership_gained"), >=, 5U);
}

// Guards against gateways that are cut off, suspended or new exceeding the limit of an upstream that they can reach.
TEST(CallLimit, holdsForGatewaysOutOfTouch)
{
  GatewayFleet fleet(30, 6, testSeed());
  auto& engine = fleet.engines[0];
  engine.callsPerSecond = 2;
  const auto named = fleet.now();
  fleet.run(Duration{ 4000 });
  for (std::size_t i = 0; i < 10; ++i) {
    fleet.cutOff(i, true);
    fleet.freeze(10 + i, true);
    fleet.addGateway();
  }
  fleet.run(Duration{ 5000 });
  for (std::size_t i = 0; i < 10; ++i) {
    fleet.cutOff(i, false);
    fleet.freeze(10 + i, false);
  }
  fleet.run(Duration{ 8000 });
  CHECK_COMPARE(fleet.mostArrivals(engine, kWindow, named + kGracePeriod, kToldFor), <=, allowedCalls(2));
}

// Load pattern: every upstream of a service names a limit and demand is far above the sum. Guards against exceeding the
// limits, against using little of them, and against requests that are held although no upstream can take them.
TEST(CallLimit, refusesWhatTheLimitsDoNotPermit)
{
  GatewayFleet fleet(10, 4, testSeed());
  std::ranges::for_each(fleet.engines, [](auto& aEngine) { aEngine.callsPerSecond = 5; });
  const auto named = fleet.now();
  fleet.run(Duration{ 15'000 });
  const auto settled = named + kGracePeriod;
  for (const auto& engine : fleet.engines) {
    CHECK_COMPARE(fleet.mostArrivals(engine, kWindow, settled, kToldFor), <=, allowedCalls(5));
    // 12 s at 5 a second; at least two thirds of them are used.
    CHECK_COMPARE(fleet.arrivalsBetween(engine, settled, fleet.now()), >=, 40U);
  }
  std::size_t held = 0;
  for (const auto& reply : fleet.replies) {
    if (reply.at >= settled && reply.status == 503) {
      CHECK(reply.retryAfter > Duration{ 0 });
      held += reply.waited > Duration{ 0 } ? 1 : 0;
    }
  }
  CHECK_COMPARE(held * 10, <, fleet.repliesWith(503, settled));
}

// Load pattern: every upstream of a service names a limit, demand is half of their sum. Guards against refusing
// requests that the limits permit because the permits are at other gateways.
TEST(CallLimit, servesWhatTheLimitsPermit)
{
  GatewayFleet fleet(10, 4, testSeed());
  std::ranges::for_each(fleet.engines, [](auto& aEngine) { aEngine.callsPerSecond = 20; });
  fleet.callsPerSecond = 4;
  fleet.run(Duration{ 5000 });
  const auto settled = fleet.now();
  fleet.run(Duration{ 20'000 });
  CHECK_COMPARE(fleet.repliesWith(503, settled) * 100, <, fleet.repliesWith(200, settled));
}

// Guards against a limit that stays in force after the upstream has removed it.
TEST(CallLimit, endsWhenTheUpstreamNamesItNoLonger)
{
  GatewayFleet fleet(30, 6, testSeed());
  auto& engine = fleet.engines[0];
  engine.callsPerSecond = 2;
  fleet.run(Duration{ 8000 });
  engine.callsPerSecond.reset();
  fleet.run(Duration{ 5000 });
  const auto ended = fleet.now();
  fleet.run(Duration{ 4000 });
  // Without a limit the engine gets about a sixth of 300 calls a second.
  CHECK_COMPARE(fleet.arrivalsBetween(engine, ended, fleet.now()), >, 100U);
}

// Guards against the calls of all gateways together exceeding the rate that the only engine of a service bears while it
// is cold, and against leaving it idle until it is warm.
TEST(CallLimit, holdsForAColdEngine)
{
  GatewayFleet fleet(30, 1, testSeed());
  fleet.run(Duration{ 3000 });
  const auto restarted = fleet.now();
  fleet.restartCold(0, kColdTime);
  fleet.run(kColdTime);
  const auto& engine = fleet.engines[0];
  CHECK_COMPARE(fleet.mostArrivals(engine, kColdWindow, restarted, std::nullopt), <=, kAllowedCold);
  // 3 s at 12 a second; at least two thirds of them are used.
  CHECK_COMPARE(fleet.arrivalsBetween(engine, restarted, fleet.now()), >=, 24U);
  fleet.run(Duration{ 500 });
  const auto warm = fleet.now();
  fleet.run(Duration{ 2000 });
  CHECK_EQUAL(0U, fleet.repliesWith(503, warm));
}

// Guards against all engines being overrun when they come back cold at the same moment and the leader is lost.
TEST(CallLimit, holdsWhenAllEnginesAreColdAndTheLeaderChanges)
{
  GatewayFleet fleet(30, 6, testSeed());
  fleet.run(Duration{ 3000 });
  const auto restarted = fleet.now();
  for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
    fleet.restartCold(i, Duration{ 6000 });
  }
  fleet.run(Duration{ 1500 });
  fleet.cutLeader();
  fleet.run(Duration{ 4500 });
  for (const auto& engine : fleet.engines) {
    CHECK_COMPARE(fleet.mostArrivals(engine, kColdWindow, restarted, std::nullopt), <=, kAllowedCold);
  }
  CHECK_COMPARE(fleet.repliesWith(200, restarted), >, 0U);
}
