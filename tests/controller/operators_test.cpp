#include "controller_harness.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

TEST_GROUP(Operators){};

// Guards against a change being acknowledged before a quorum stores it.
TEST(Operators, changeIsAcceptedOnlyByAQuorum)
{
  ControllerHarness fleet(3);
  const auto old = fleet.leader();
  fleet.cut.insert(old);
  const auto id = fleet.start(old, controller::ApplyPlans{ "a", Revision{}, {} });
  CHECK_FALSE(fleet.hasAnswer(id));
  fleet.run(Duration{ 6000 });
  CHECK_EQUAL(503, fleet.answerTo(id).httpStatus);
  CHECK(fleet.answerTo(id).body["error"] == "not_leader");
  CHECK(fleet.state().lists.lists.plansRevision == Revision{});
}

// Guards against a follower refusing an operator or peer without naming the leader.
TEST(Operators, followersNameTheLeader)
{
  ControllerHarness fleet(3);
  const auto leader = fleet.leader();
  const InstanceId follower = leader == "c1" ? "c2" : "c1";
  const auto id = fleet.start(follower, controller::ShowLists{});
  CHECK_EQUAL(503, fleet.answerTo(id).httpStatus);
  CHECK(fleet.answerTo(id).body["leader"] == leader);
  fleet.sendTo(follower, { "r1", Role::kRouter }, GrantRequest{});
  CHECK(fleet.last<NotLeader>({ "r1", Role::kRouter }).leader == leader);
}

// Guards against a list being reported as in force everywhere while an instance holds an older one.
TEST(Operators, showsWhetherAListIsInForceEverywhere)
{
  ControllerHarness fleet;
  fleet.join("r1", Role::kRouter);
  auto& agent = fleet.join("a1", Role::kAgent);
  agent.silent = true;
  fleet.setBudget("gold", 10);
  auto view = fleet.answered(controller::ShowInstances{}).body;
  CHECK_FALSE(view["in_force_everywhere"].get<bool>());
  CHECK_EQUAL(2U, view["instances"].size());
  agent.silent = false;
  // Two polls: the first brings the list, the second reports it.
  fleet.run(Duration{ 1100 });
  view = fleet.answered(controller::ShowInstances{}).body;
  CHECK(view["in_force_everywhere"].get<bool>());
}

// Guards against inconsistent amounts in the view of a plan.
TEST(Operators, showsAPlansBalance)
{
  ControllerHarness fleet;
  fleet.setBudget("gold", 1000);
  const auto router = fleet.join("r1", Role::kRouter).session;
  const Address address{ "r1", Role::kRouter };
  fleet.send(address, GrantRequest{ router, 1, "gold", 600 });
  fleet.run(Duration{ 20 });
  const auto grant = fleet.last<GrantReply>(address).grant.grant;
  fleet.send(address, ChargeBatch{ 1, grant, { { "q1", 40 } } });
  const auto view = fleet.answered(controller::ShowPlan{ "gold" }).body;
  CHECK_EQUAL(600, view["granted"].get<Tokens>());
  CHECK_EQUAL(40, view["charged_open"].get<Tokens>());
  CHECK_EQUAL(400, view["available"].get<Tokens>());
  CHECK(view["grants"][0]["instance"] == "r1");
  CHECK_EQUAL(404, fleet.answered(controller::ShowPlan{ "none" }).httpStatus);
}

// Guards against an explanation that omits the router or the agent of a request.
TEST(Operators, explainGathersAnswersOfRouterAndAgent)
{
  ControllerHarness fleet;
  const auto router = fleet.join("r-1", Role::kRouter).session;
  const Address address{ "r-1", Role::kRouter };
  const Claim claim{ "gold", "k", "h", "r-1-7f-3", 1, "a1", Boot{ 1 }, {}, {} };
  fleet.send(address, ClaimRequest{ 1, router, claim });
  fleet.run(Duration{ 20 });
  CHECK(fleet.last<ClaimReply>(address).status == ClaimStatus::kWon);
  const auto id = fleet.start("c1", controller::ExplainRequest{ "r-1-7f-3" });
  fleet.run(Duration{ 20 });
  const auto query = fleet.last<ExplainQuery>({ "a1", Role::kAgent });
  fleet.send(address, ExplainReply{ query.number, { R"({"step":"placed"})" } });
  CHECK_FALSE(fleet.hasAnswer(id));
  fleet.run(Duration{ 1100 });
  const auto body = fleet.answerTo(id).body;
  CHECK(body["decisions"][0]["decision"]["step"] == "placed");
  CHECK(body["unanswered"][0] == "a1");
  CHECK(body["recorded"]["claim"]["agent"] == "a1");
}

// Guards against a restart losing the state, and against a snapshot that cannot be read back.
TEST(Operators, stateSurvivesARestart)
{
  controller::ControllerOptions options;
  options.snapshotEntries = 5;
  ControllerHarness fleet(1, options);
  for (Tokens budget = 1; budget <= 12; ++budget) {
    fleet.setBudget("gold", budget);
  }
  CHECK(fleet.disks.at("c1").synced().snapshot.has_value());
  options.replica.instance = "c1";
  options.replica.controllers = { "c1" };
  fleet.roles["c1"] =
    std::make_unique<controller::ControllerRole>(options, fleet.disks.at("c1").synced(), std::mt19937_64(1));
  fleet.roles["c1"]->start(fleet.now);
  fleet.run(Duration{ 3000 });
  CHECK_EQUAL(12, fleet.account("gold").budget);
}

// Guards against answers being sent before the entry that they depend on is on disk.
TEST(Operators, persistsBeforeItAnswers)
{
  ControllerHarness fleet;
  const auto actions = fleet.roles.at("c1")->handle(
    controller::OperatorRequest{ controller::OperatorId{ 99 }, controller::ApplyPlans{ "a", Revision{}, {} } },
    fleet.now);
  const auto isPersist = [](const auto& aAction) { return std::holds_alternative<controller::Persist>(aAction); };
  const auto isReply = [](const auto& aAction) { return std::holds_alternative<controller::OperatorReply>(aAction); };
  const auto persist = std::ranges::find_if(actions, isPersist);
  const auto reply = std::ranges::find_if(actions, isReply);
  CHECK(persist != actions.end());
  CHECK(persist < reply);
}
