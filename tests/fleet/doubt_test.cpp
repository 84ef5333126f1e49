#include "gateway_fleet.h"
#include "seed.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::GatewayFleet;

namespace {

constexpr std::size_t kGateways = 3;
constexpr Tokens kPrepaid = 1'200'000;
constexpr Tokens kLargestCost = 200 + 16000; ///< of a request
/// Prompt and output window: what an open request leaves in doubt at most.
constexpr Tokens kHeldByRequest = 200 + 1024;
/// Free tokens of a gateway, in requests: the demand of half a second at one request a second, rounded up for bursts.
constexpr Tokens kFreeRequests = 4;

} // namespace

TEST_GROUP(Doubt)
{
  GatewayFleet fleet{ kGateways, 3, testSeed() };

  void setup() override
  {
    fleet.callsPerSecond = 0;
    fleet.run(Duration{ 1000 });
  }

  void begin(Tokens aPrepaid, Tokens aOutput = 16000)
  {
    GatewayFleet::Streams streams;
    streams.prepaid = aPrepaid;
    streams.output = aOutput;
    fleet.startStreams(streams);
    fleet.callsPerSecond = 1;
  }

  /// @return open requests of all gateways
  Tokens open() const
  {
    Tokens calls = 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      calls += static_cast<Tokens>(fleet.openCalls(i));
    }
    return calls;
  }

  Tokens inDoubt()
  {
    const auto& closed = fleet.controllers.state().allowances.closed;
    const auto found = closed.find("gold");
    return found == closed.end() ? 0 : found->second.inDoubt;
  }
};

// Load pattern: 40 open streams that may cost 16,200 tokens and cost 500 each; all gateways are killed once. Guards
// against a plan that is refused (402) from then on although it has used 8 in 100 of its budget.
TEST(Doubt, servesAPlanAfterAllGatewaysWereKilled)
{
  begin(kPrepaid);
  fleet.run(Duration{ 30'000 });
  Tokens bound = 0;
  for (std::size_t i = 0; i < kGateways; ++i) {
    bound += (static_cast<Tokens>(fleet.openCalls(i)) + kFreeRequests) * kHeldByRequest;
    fleet.restartGateway(i);
  }
  fleet.run(Duration{ 5'000 });
  const auto back = fleet.now();
  CHECK(inDoubt() <= bound);
  while (fleet.now() < back + Duration{ 25'000 }) {
    const auto before = open();
    const auto refused = fleet.repliesWith(402, back);
    fleet.run(Duration{ 100 });
    // A burst of random arrivals may commit the whole balance; only then a request is refused.
    const auto most = (std::max(before, open()) + 1) * kLargestCost + fleet.delivered + inDoubt();
    CHECK(fleet.repliesWith(402, back) == refused || most > kPrepaid);
  }
  CHECK(fleet.delivered <= kPrepaid / 10);
  CHECK(fleet.repliesWith(200, back) >= 50);
}

// Guards against an amount in doubt that grows beyond one window for each request that a kill interrupts.
TEST(Doubt, staysBoundedOverTwentyKills)
{
  begin(kPrepaid);
  Tokens bound = 0;
  for (std::size_t kill = 0; kill < 20; ++kill) {
    fleet.run(Duration{ 2'000 });
    const auto gateway = kill % kGateways;
    bound += (static_cast<Tokens>(fleet.openCalls(gateway)) + kFreeRequests) * kHeldByRequest;
    fleet.restartGateway(gateway);
  }
  fleet.run(Duration{ 2'000 });
  CHECK(inDoubt() <= bound);
  CHECK_EQUAL(0U, fleet.repliesWith(402, TimePoint{}));
}

// Guards against spending more than the budget after kills, cuts and pauses in any order, also by a process that goes
// on after its successor has started. Requests cost up to several windows, so running streams compete for tokens.
TEST(Doubt, neverSpendsMoreThanTheBudget)
{
  std::mt19937_64 random(testSeed());
  const auto draw = [&](std::size_t aCount) {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random);
  };
  constexpr Tokens kSmall = 40'000;
  begin(kSmall, 3000);
  fleet.streams.events = 1000;
  fleet.streams.eventTime = Duration{ 10 };
  for (int step = 0; step < 40; ++step) {
    const auto gateway = draw(kGateways);
    switch (draw(6)) {
      case 0:
        fleet.restartGateway(gateway);
        break;
      case 1:
        fleet.supersede(gateway);
        break;
      case 2:
        fleet.cutOff(gateway, draw(2) == 0);
        break;
      case 3:
        fleet.freeze(gateway, draw(2) == 0);
        break;
      default:
        break;
    }
    fleet.run(Duration{ 1000 });
    CHECK(fleet.delivered <= kSmall);
  }
  CHECK(fleet.delivered > 0);
}
