// Failures that involve several roles, on the real state machines in one thread.

#include "fleet_setup.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::testing;

namespace {

FleetOptions
seeded(std::uint64_t aSeed)
{
  FleetOptions options;
  options.seed = aSeed;
  return options;
}

void
setUp(Fleet& aFleet, const std::vector<TestPlan>& aPlans)
{
  CHECK_TEXT(applyLists(aFleet, aPlans), "the lists were not accepted");
  CHECK_TEXT(waitReady(aFleet), "the routers are not ready");
}

const state::Account&
account(const Fleet& aFleet, const PlanId& aPlan)
{
  const auto* found = state::findAccount(aFleet.leaderState().ledger, aPlan);
  CHECK_TEXT(found != nullptr, "no account");
  return *found;
}

Tokens
billed(const Fleet& aFleet, const PlanId& aPlan)
{
  const auto& found = account(aFleet, aPlan);
  return found.settled + found.chargedOpen;
}

bool
finished(const Fleet& aFleet, router::CallerId aCaller)
{
  return aFleet.callers.at(aCaller).finished();
}

} // namespace

TEST_GROUP(Fleet){};

// Guards against the whole path not working: an answer that is cut, or a bill that differs from the real spend.
TEST(Fleet, streamsAnAnswerAndBillsIt)
{
  Fleet fleet(seeded(1));
  setUp(fleet, { { "gold", 100'000 } });
  const auto caller = fleet.ask("r1", "gold-key", kChatPath, chatBody(100, 50));
  CHECK(fleet.advanceUntil([&] { return finished(fleet, caller); }, Duration{ 10'000 }));
  const auto& view = fleet.callers.at(caller);
  CHECK_EQUAL(200, view.status);
  CHECK(isWholeStream(view.body, 50));
  fleet.advance(Duration{ 2000 });
  CHECK_EQUAL(realSpend(fleet), billed(fleet, "gold"));
}

// Guards against a retry through another router running an order twice.
TEST(Fleet, orderRetriedAtAnotherRouterRunsOnce)
{
  Fleet fleet(seeded(2));
  setUp(fleet, { { "gold", 100'000 } });
  const auto first = fleet.ask("r1", "gold-key", "/orders/new", "order A", "key-1");
  CHECK(fleet.advanceUntil([&] { return finished(fleet, first); }, Duration{ 10'000 }));
  const auto second = fleet.ask("r2", "gold-key", "/orders/new", "order A", "key-1");
  CHECK(fleet.advanceUntil([&] { return finished(fleet, second); }, Duration{ 10'000 }));
  CHECK_EQUAL(200, fleet.callers.at(first).status);
  CHECK_EQUAL(200, fleet.callers.at(second).status);
  STRCMP_EQUAL(fleet.callers.at(first).body.c_str(), fleet.callers.at(second).body.c_str());
  CHECK_EQUAL(1, fleet.truth.serviceRunsByBody["order A"]);
  fleet.advance(Duration{ 2000 });
  CHECK_EQUAL(5, billed(fleet, "gold"));
}

// Guards against two requests with one key at two routers running twice, or against one of them ending without an
// answer. One receives the answer; the other is told at once to ask again, and then gets the same answer.
TEST(Fleet, orderSentTwiceAtOnceRunsOnceAndBothAreAnswered)
{
  Fleet fleet(seeded(2));
  setUp(fleet, { { "gold", 100'000 } });
  const std::array<InstanceId, 2> routers{ "r1", "r2" };
  std::array<router::CallerId, 2> asked{};
  for (std::size_t index = 0; index < 2; ++index) {
    asked[index] = fleet.ask(routers[index], "gold-key", "/orders/new", "order A", "key-1");
  }
  CHECK(fleet.advanceUntil([&] { return finished(fleet, asked[0]) && finished(fleet, asked[1]); }, Duration{ 10'000 }));
  const auto told = fleet.callers.at(asked[0]).status == 200 ? 1U : 0U;
  const auto& answered = fleet.callers.at(asked[1 - told]);
  const auto& dismissed = fleet.callers.at(asked[told]);
  CHECK_EQUAL(200, answered.status);
  CHECK_EQUAL(409, dismissed.status);
  CHECK(dismissed.ended);
  CHECK(dismissed.retryAfter > Duration{ 0 });
  fleet.advance(dismissed.retryAfter);
  const auto again = fleet.ask(routers[told], "gold-key", "/orders/new", "order A", "key-1");
  CHECK(fleet.advanceUntil([&] { return finished(fleet, again); }, Duration{ 10'000 }));
  CHECK_EQUAL(200, fleet.callers.at(again).status);
  STRCMP_EQUAL(answered.body.c_str(), fleet.callers.at(again).body.c_str());
  CHECK_EQUAL(1, fleet.truth.serviceRunsByBody["order A"]);
  fleet.advance(Duration{ 2000 });
  CHECK_EQUAL(5, billed(fleet, "gold"));
}

// Guards against spending past the budget when many callers ask at once at both routers.
TEST(Fleet, manyCallersNeverOverspend)
{
  Fleet fleet(seeded(3));
  constexpr Tokens kBudget = 3000;
  setUp(fleet, { { "gold", kBudget } });
  for (int round = 0; round < 20; ++round) {
    fleet.ask("r1", "gold-key", kChatPath, chatBody(60, 30));
    fleet.ask("r2", "gold-key", kChatPath, chatBody(60, 30));
    fleet.advance(Duration{ 300 });
  }
  fleet.advance(Duration{ 20'000 });
  CHECK(realSpend(fleet) <= kBudget);
  CHECK(billed(fleet, "gold") <= kBudget);
  CHECK(realSpend(fleet) <= billed(fleet, "gold"));
  const auto last = fleet.ask("r1", "gold-key", kChatPath, chatBody(2000, 30));
  CHECK(fleet.advanceUntil([&] { return finished(fleet, last); }, Duration{ 5000 }));
  CHECK_EQUAL(402, fleet.callers.at(last).status);
  STRCMP_EQUAL("no", ranField(fleet.callers.at(last)).c_str());
  CHECK(fleet.callers.at(last).retryAfter > Duration{ 0 });
}

// Guards against the death of a router cutting a keyed request for good, or running or billing it twice.
TEST(Fleet, callerOfADeadRouterGetsTheWholeAnswerElsewhere)
{
  Fleet fleet(seeded(4));
  setUp(fleet, { { "gold", 100'000 } });
  const auto body = chatBody(400, 300);
  const auto first = fleet.ask("r1", "gold-key", kChatPath, body, "key-1");
  CHECK(fleet.advanceUntil([&] { return fleet.callers.at(first).body.size() > 200; }, Duration{ 5000 }));
  fleet.kill("r1");
  const auto second = fleet.ask("r2", "gold-key", kChatPath, body, "key-1");
  CHECK(fleet.advanceUntil([&] { return finished(fleet, second); }, Duration{ 20'000 }));
  CHECK_EQUAL(200, fleet.callers.at(second).status);
  CHECK(isWholeStream(fleet.callers.at(second).body, 300));
  CHECK_EQUAL(1U, fleet.truth.starts.size());
  fleet.advance(Duration{ 20'000 });
  CHECK_EQUAL(realSpend(fleet), billed(fleet, "gold"));
  CHECK_EQUAL(0, account(fleet, "gold").inDoubt);
}

// Guards against the grants of a dead router staying lost, or returning while a dispatch is still under way.
TEST(Fleet, grantsOfADeadRouterReturnAfterFencing)
{
  Fleet fleet(seeded(5));
  setUp(fleet, { { "gold", 10'000 } });
  const auto first = fleet.ask("r1", "gold-key", kChatPath, chatBody(100, 20));
  CHECK(fleet.advanceUntil([&] { return finished(fleet, first); }, Duration{ 5000 }));
  fleet.kill("r1");
  fleet.advance(Duration{ 15'000 });
  const auto big = fleet.ask("r2", "gold-key", kChatPath, chatBody(9000, 20));
  CHECK(fleet.advanceUntil([&] { return finished(fleet, big); }, Duration{ 10'000 }));
  CHECK_EQUAL(200, fleet.callers.at(big).status);
  CHECK_EQUAL(0, account(fleet, "gold").inDoubt);
}

// Guards against a frozen router that wakes up spending a grant that was reclaimed in the meantime.
TEST(Fleet, frozenRouterCannotSpendReclaimedGrants)
{
  Fleet fleet(seeded(6));
  constexpr Tokens kBudget = 2000;
  setUp(fleet, { { "gold", kBudget } });
  fleet.ask("r1", "gold-key", kChatPath, chatBody(100, 20));
  fleet.advance(Duration{ 3000 });
  fleet.pause("r1");
  fleet.advance(Duration{ 20'000 });
  for (int round = 0; round < 30; ++round) {
    fleet.ask("r2", "gold-key", kChatPath, chatBody(100, 60));
    fleet.advance(Duration{ 500 });
  }
  fleet.resume("r1");
  for (int round = 0; round < 10; ++round) {
    fleet.ask("r1", "gold-key", kChatPath, chatBody(100, 60));
    fleet.advance(Duration{ 100 });
  }
  fleet.advance(Duration{ 10'000 });
  CHECK(realSpend(fleet) <= kBudget);
  CHECK(realSpend(fleet) <= billed(fleet, "gold") + account(fleet, "gold").inDoubt);
}

// Guards against fencing a router that is only cut off from the controllers: it would refuse callers although it holds
// tokens and reaches its upstreams.
TEST(Fleet, routerCutOffFromTheControllersServesFromItsGrants)
{
  Fleet fleet(seeded(13));
  setUp(fleet, { { "gold", 100'000 } });
  for (int round = 0; round < 20; ++round) {
    fleet.ask("r1", "gold-key", kChatPath, chatBody(100, 20));
    fleet.ask("r2", "gold-key", kChatPath, chatBody(100, 20));
    fleet.advance(Duration{ 200 });
  }
  fleet.cut("r1", [](const InstanceId& aOther) { return aOther.starts_with('c'); });
  fleet.advance(Duration{ 60'000 });
  for (int round = 0; round < 20; ++round) {
    const auto caller = fleet.ask("r1", "gold-key", kChatPath, chatBody(100, 20));
    CHECK(fleet.advanceUntil([&] { return finished(fleet, caller); }, Duration{ 10'000 }));
    CHECK_EQUAL(200, fleet.callers.at(caller).status);
  }
  fleet.heal();
  fleet.advance(Duration{ 10'000 });
  CHECK_EQUAL(realSpend(fleet), billed(fleet, "gold"));
  CHECK_EQUAL(0, account(fleet, "gold").inDoubt);
}

// Guards against an order being run again, or reported as not run, after the agent that ran it restarted.
TEST(Fleet, orderWhoseAgentRestartedIsUnknown)
{
  Fleet fleet(seeded(7));
  setUp(fleet, { { "gold", 10'000 } });
  fleet.node("s1").upstream->serviceTicks = 200;
  const auto first = fleet.ask("r1", "gold-key", "/orders/new", "order B", "key-2");
  fleet.advance(Duration{ 500 });
  fleet.kill("s1");
  fleet.advance(Duration{ 1000 });
  fleet.restart("s1");
  CHECK(fleet.advanceUntil([&] { return finished(fleet, first); }, Duration{ 60'000 }));
  STRCMP_EQUAL("unknown", ranField(fleet.callers.at(first)).c_str());
  const auto again = fleet.ask("r2", "gold-key", "/orders/new", "order B", "key-2");
  CHECK(fleet.advanceUntil([&] { return finished(fleet, again); }, Duration{ 60'000 }));
  STRCMP_EQUAL("unknown", ranField(fleet.callers.at(again)).c_str());
  fleet.advance(Duration{ 5000 });
  CHECK_EQUAL(1, fleet.truth.serviceRunsByBody["order B"]);
}

// Guards against an agent that restarts quickly staying without work because it is not told of its connections.
TEST(Fleet, quicklyRestartedAgentsServeAgain)
{
  Fleet fleet(seeded(13));
  setUp(fleet, { { "gold", 10'000 } });
  fleet.kill("e1");
  fleet.kill("e2");
  fleet.advance(Duration{ 10 });
  fleet.restart("e1");
  fleet.restart("e2");
  fleet.advance(Duration{ 10'000 });
  const auto caller = fleet.ask("r1", "gold-key", kChatPath, chatBody(20, 7));
  CHECK(fleet.advanceUntil([&] { return finished(fleet, caller); }, Duration{ 10'000 }));
  CHECK_EQUAL(200, fleet.callers.at(caller).status);
}

// Guards against new work reaching an upstream that is leaving.
TEST(Fleet, leavingAgentGetsNoNewWork)
{
  Fleet fleet(seeded(8));
  setUp(fleet, { { "gold", 1'000'000 } });
  const auto running = fleet.ask("r1", "gold-key", kChatPath, chatBody(2000, 1500));
  fleet.advance(Duration{ 500 });
  const auto leaving = std::string("e1");
  for (const auto& [name, node] : fleet.nodes) {
    if (node.controller) {
      fleet.reportPlatform(name, { "e2", "s1", "r1", "r2" }, { leaving });
    }
  }
  fleet.advance(Duration{ 3000 });
  const auto before = fleet.node(leaving).upstream->started;
  for (int round = 0; round < 20; ++round) {
    fleet.ask(round % 2 == 0 ? "r1" : "r2", "gold-key", kChatPath, chatBody(20, 5));
    fleet.advance(Duration{ 100 });
  }
  CHECK_EQUAL(before, fleet.node(leaving).upstream->started);
  CHECK(fleet.advanceUntil([&] { return finished(fleet, running); }, Duration{ 30'000 }));
  CHECK(isWholeStream(fleet.callers.at(running).body, 1500));
}

// Guards against an answer that is held in memory without bound, or cut, because its reader is slow.
TEST(Fleet, slowReaderGetsTheWholeAnswer)
{
  Fleet fleet(seeded(9));
  setUp(fleet, { { "gold", 1'000'000 } });
  fleet.node("e1").upstream->tokensPerTick = 500;
  fleet.node("e2").upstream->tokensPerTick = 500;
  const auto caller = fleet.ask("r1", "gold-key", kChatPath, chatBody(30'000, 20'000));
  fleet.slowCallers.insert(caller);
  std::uint64_t largest = 0;
  for (int round = 0; round < 3000 && !finished(fleet, caller); ++round) {
    fleet.advance(Duration{ 50 });
    largest = std::max(largest, fleet.callers.at(caller).undrained);
    fleet.drain(caller);
  }
  CHECK(isWholeStream(fleet.callers.at(caller).body, 20'000));
  CHECK(largest <= (64U << 10U));
}

// Guards against an accepted list reverting when everything restarts after hundreds of changes.
TEST(Fleet, listsSurviveHundredsOfChangesAndARestartOfEverything)
{
  auto options = seeded(10);
  options.tuneController = [](controller::ControllerOptions& aOptions) { aOptions.snapshotEntries = 64; };
  Fleet fleet(options);
  constexpr int kChanges = 300;
  for (int change = 1; change <= kChanges; ++change) {
    CHECK(applyLists(fleet, { { "gold", 1000 + change } }));
  }
  for (const auto* name : { "c1", "c2", "c3" }) {
    fleet.kill(name);
  }
  fleet.advance(Duration{ 1000 });
  for (const auto* name : { "c1", "c2", "c3" }) {
    fleet.restart(name);
  }
  const auto shown = fleet.operateAtLeader(controller::ShowLists{});
  CHECK(shown.has_value());
  CHECK_EQUAL(1000 + kChanges, shown.value_or(controller::OperatorReply{}).body["uses"][0]["budget_tokens"].get<int>());
}

// Guards against two operators who edit the same revision both being told that they succeeded.
TEST(Fleet, racingOperatorsGetOneAcceptance)
{
  Fleet fleet(seeded(11));
  setUp(fleet, { { "gold", 1000 } });
  const auto shown = fleet.operateAtLeader(controller::ShowLists{});
  const Revision expected{ shown.value_or(controller::OperatorReply{}).body["uses_revision"].get<std::uint64_t>() };
  const auto leader = fleet.leaderName();
  const controller::ApplyUses mine{ "mine", expected, useEntries({ { "gold", 2000 } }), testRoutes() };
  const controller::ApplyUses yours{ "yours", expected, useEntries({ { "gold", 3000 } }), testRoutes() };
  const auto first = fleet.operate(leader, mine);
  const auto second = fleet.operate(leader, yours);
  fleet.advance(Duration{ 1000 });
  CHECK_EQUAL(200, fleet.operatorReplies.at(first).httpStatus);
  CHECK_EQUAL(409, fleet.operatorReplies.at(second).httpStatus);
  const auto resent = fleet.operate(leader, mine);
  fleet.advance(Duration{ 1000 });
  CHECK_EQUAL(200, fleet.operatorReplies.at(resent).httpStatus);
  CHECK(fleet.operatorReplies.at(first).body == fleet.operatorReplies.at(resent).body);
}

// Guards against a lost accepted change when a second instance is lost right after a repair.
TEST(Fleet, secondLossAfterARepairKeepsTheLists)
{
  Fleet fleet(seeded(12));
  CHECK(applyLists(fleet, { { "gold", 1000 } }));
  fleet.loseDisk("c1");
  fleet.advance(Duration{ 2000 });
  CHECK(applyLists(fleet, { { "gold", 2000 } }));
  fleet.restart("c1");
  fleet.advance(Duration{ 10'000 });
  CHECK(applyLists(fleet, { { "gold", 3000 } }));
  fleet.loseDisk("c2");
  fleet.advance(Duration{ 5000 });
  const auto shown = fleet.operateAtLeader(controller::ShowLists{}, Duration{ 20'000 });
  CHECK(shown.has_value());
  CHECK_EQUAL(3000, shown.value_or(controller::OperatorReply{}).body["uses"][0]["budget_tokens"].get<int>());
}
