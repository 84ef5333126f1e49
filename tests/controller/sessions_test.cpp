#include "controller_harness.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

namespace {

const Address kRouter{ "r1", Role::kRouter };
const Address kAgent{ "a1", Role::kAgent };

} // namespace

TEST_GROUP(SessionsController){};

// Guards against the grants of a lost router never being settled, and against releasing them before its agents have
// reported.
TEST(SessionsController, lostRouterIsFencedAndSettled)
{
  ControllerHarness fleet;
  fleet.setBudget("gold", 1000);
  const auto agent = fleet.join("a1", Role::kAgent).session;
  const auto router = fleet.join("r1", Role::kRouter).session;
  fleet.send(kRouter, GrantRequest{ router, 1, "gold", 800 });
  fleet.run(Duration{ 20 });
  const auto grant = fleet.last<GrantReply>(kRouter).grant.grant;
  fleet.peers.at(kRouter).silent = true;
  fleet.run(Duration{ 4000 });
  CHECK_EQUAL(0U, fleet.received<FenceSession>(kAgent).size());
  fleet.run(Duration{ 2000 });
  CHECK(fleet.received<FenceSession>(kAgent).size() > 1);
  CHECK_EQUAL(800, fleet.account("gold").granted);
  fleet.send(kAgent, SessionFenced{ router, agent, { { grant, { { "q1", 30 } }, 100 } } });
  fleet.run(Duration{ 20 });
  CHECK_EQUAL(130, fleet.account("gold").granted);
  fleet.send(kAgent, SessionFenced{ router, agent, { { grant, { { "q1", 30 }, { "q2", 60 } }, 0 } } });
  fleet.run(Duration{ 20 });
  CHECK_EQUAL(90, fleet.account("gold").settled);
  CHECK_EQUAL(910, state::available(fleet.account("gold")));
  CHECK_EQUAL(1U, fleet.countLines("fence_begun"));
  CHECK_EQUAL(1U, fleet.countLines("fence_settled"));
}

// Guards against a router continuing to use a fenced session after a pause.
TEST(SessionsController, fencedRouterMustRegisterAgain)
{
  ControllerHarness fleet;
  fleet.setBudget("gold", 1000);
  fleet.join("a1", Role::kAgent);
  const auto router = fleet.join("r1", Role::kRouter).session;
  fleet.send(kRouter, GrantRequest{ router, 1, "gold", 800 });
  fleet.peers.at(kRouter).silent = true;
  fleet.run(Duration{ 6000 });
  fleet.peers.at(kRouter).silent = false;
  fleet.run(Duration{ 600 });
  CHECK_FALSE(fleet.peers.at(kRouter).config.sessionLive);
  const auto again = fleet.join("r1", Role::kRouter).session;
  CHECK(again != router);
  fleet.run(Duration{ 600 });
  CHECK(fleet.peers.at(kRouter).config.sessionLive);
}

// Guards against a new leader fencing routers before it could receive their polls.
TEST(SessionsController, newLeaderWaitsBeforeItFences)
{
  ControllerHarness fleet(3);
  fleet.setBudget("gold", 1000);
  fleet.join("a1", Role::kAgent);
  const auto router = fleet.join("r1", Role::kRouter).session;
  const auto old = fleet.leader();
  fleet.peers.at(kRouter).silent = true;
  fleet.run(Duration{ 3000 });
  fleet.cut.insert(old);
  fleet.run(Duration{ 4000 });
  CHECK(fleet.leader() != old);
  CHECK(state::isLiveRouter(fleet.state().sessions, router));
  fleet.run(Duration{ 6000 });
  CHECK_FALSE(state::isLiveRouter(fleet.state().sessions, router));
}

// Guards against routers sending work to an agent that is unresponsive or leaving.
TEST(SessionsController, unresponsiveAndLeavingAgentsAreFlagged)
{
  ControllerHarness fleet;
  fleet.join("a1", Role::kAgent);
  fleet.join("a2", Role::kAgent);
  fleet.join("r1", Role::kRouter);
  auto leaving = [&](const InstanceId& aAgent) {
    return state::findAgent(fleet.state().sessions, aAgent)->entry.leaving;
  };
  fleet.run(Duration{ 1000 });
  CHECK_FALSE(leaving("a1"));
  fleet.peers.at(kAgent).silent = true;
  fleet.run(Duration{ 4000 });
  CHECK(leaving("a1"));
  CHECK_FALSE(leaving("a2"));
  CHECK_EQUAL(2U, fleet.peers.at(kRouter).config.directoryRevision == Revision{} ? 0U : 2U);
  fleet.peers.at(kAgent).silent = false;
  fleet.run(Duration{ 1000 });
  CHECK_FALSE(leaving("a1"));
  fleet.roles.at("c1")->handle(controller::PlatformList{ { "a1" }, { "a2" } }, fleet.now);
  fleet.run(Duration{ 300 });
  CHECK(leaving("a2"));
}

// Guards against sending configuration that has not changed, and against a change not reaching a router.
TEST(SessionsController, pollsGetOnlyNewerParts)
{
  ControllerHarness fleet;
  fleet.join("r1", Role::kRouter);
  fleet.setBudget("gold", 10);
  fleet.run(Duration{ 600 });
  CHECK(fleet.peers.at(kRouter).poll.usesRevision == fleet.state().lists.lists.usesRevision);
  fleet.run(Duration{ 600 });
  CHECK_FALSE(fleet.peers.at(kRouter).config.hasLists);
  CHECK_FALSE(fleet.peers.at(kRouter).config.hasDirectory);
  fleet.join("a1", Role::kAgent);
  fleet.run(Duration{ 500 });
  const auto states = fleet.received<ConfigState>(kRouter);
  CHECK(std::ranges::any_of(states, [](const auto& aState) { return aState.agents.size() == 1; }));
}

// Guards against a partitioned leader answering polls with outdated configuration.
TEST(SessionsController, leaderWithoutQuorumAnswersNoPoll)
{
  ControllerHarness fleet(3);
  const auto router = fleet.join("r1", Role::kRouter).session;
  const auto old = fleet.leader();
  fleet.peers.at(kRouter).silent = true;
  fleet.cut.insert(old);
  const auto before = fleet.received<ConfigState>(kRouter).size();
  ConfigPoll poll;
  poll.session = router;
  fleet.sendTo(old, kRouter, poll);
  fleet.run(Duration{ 100 });
  fleet.cut.clear();
  const auto after = fleet.received<ConfigState>(kRouter);
  CHECK_EQUAL(before, after.size());
}
