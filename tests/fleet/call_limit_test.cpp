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
