#include "controller_harness.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

namespace {

const Address kRouter{ "r1", Role::kRouter };
const Address kAgent{ "a1", Role::kAgent };

} // namespace

TEST_GROUP(Config)
{
  ControllerHarness fleet;
};

// Guards against answers to agents that grow with the fleet: every agent received the directory of all agents with each
// poll, so the leader sent 1.3 MB/s to 64 idle agents.
TEST(Config, agentsGetRevisionsAndRoutersGetTheParts)
{
  fleet.join(kRouter.instance, Role::kRouter);
  fleet.join(kAgent.instance, Role::kAgent);
  fleet.setBudget("gold", 1000);
  fleet.run(Duration{ 1000 });
  const auto toAgent = fleet.received<ConfigState>(kAgent);
  CHECK(std::ranges::any_of(toAgent, [](const auto& aState) { return aState.lists.usesRevision > Revision{}; }));
  CHECK(std::ranges::all_of(toAgent, [](const auto& aState) {
    return aState.lists.uses.empty() && aState.agents.empty() && !aState.hasDirectory && !aState.hasMoves;
  }));
  const auto toRouter = fleet.received<ConfigState>(kRouter);
  CHECK(std::ranges::any_of(toRouter, [](const auto& aState) { return aState.lists.uses.size() == 1; }));
  CHECK(std::ranges::any_of(toRouter, [](const auto& aState) { return aState.agents.size() == 1; }));
}
