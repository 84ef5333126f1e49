#include "fixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::router;

TEST_GROUP(Recovery)
{
  Fixture fleet;

  /// Restarts all agents, or only `aOnly`: each gets another boot and session.
  void restartAgents(const InstanceId& aOnly = "")
  {
    for (AgentEntry& entry : fleet.config.agents) {
      if (!aOnly.empty() && entry.instance != aOnly) {
        continue;
      }
      entry.session = SessionId{ toNumber(entry.session) + 100 };
      entry.boot = Boot{ toNumber(entry.boot) + 100 };
    }
    fleet.reportAgents();
  }
};

// Guards against uncharged work: the attempt with unknown outcome is charged in full, its retry under a separate
// request id.
TEST(Recovery, chargesAnAttemptWithUnknownOutcomeAndItsRetry)
{
  fleet.start();
  const CallerId caller = fleet.chat();
  const auto first = fleet.takeOne<Dispatch>();
  // Restarts only the agent of the run: a restart of the other agent would also fail the retry if placed there.
  restartAgents(fleet.lastReceiver);
  const auto second = fleet.takeOne<Dispatch>();
  const InstanceId agent = fleet.lastReceiver;
  CHECK(second.run.request != first.run.request);
  fleet.head(agent, second.run);
  fleet.fromAgent(agent, Fixture::done(second.run, 0, 20));
  CHECK(fleet.ended(caller));
  fleet.wait(Duration{ 60 });
  const auto charges = fleet.takeOne<ChargeBatch>().charges;
  CHECK_EQUAL(2U, charges.size());
  CHECK(charges.at(0) == Charge(first.run.request, kChatWorstCase));
  CHECK(charges.at(1) == Charge(second.run.request, 20));
}

// Guards against a mixed answer: the request is not run again after the caller has received a part of the answer.
TEST(Recovery, abortsAnInterruptedRunWhoseAnswerHasBegun)
{
  fleet.start();
  const CallerId caller = fleet.chat();
  const auto first = fleet.takeOne<Dispatch>();
  fleet.head(fleet.lastReceiver, first.run);
  restartAgents();
  CHECK(fleet.aborted(caller));
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against a retry storm: a route may retry a tenth of its requests, plus its accumulated unused retries.
TEST(Recovery, limitsRetries)
{
  RouterOptions options = Fixture::options();
  options.retryBurst = 1;
  Fixture one(options);
  one.start();
  const CallerId caller = one.chat();
  for (int refusals = 0; refusals < 2; ++refusals) {
    const auto dispatch = one.takeOne<Dispatch>();
    one.fromAgent(one.lastReceiver, DispatchRefused{ dispatch.run, RefusalReason::kQueueFull, 400 });
  }
  CHECK_EQUAL(503, one.httpStatus(caller));
  CHECK(one.body(caller).find(R"("ran":"no")") != std::string::npos);
  CHECK(one.take<Dispatch>().empty());
}

// Guards against a false "ran: no" after a retry: the first attempt may have run.
TEST(Recovery, doesNotReportNotRunAfterAnUnknownOutcome)
{
  fleet.start();
  const CallerId caller = fleet.chat();
  fleet.takeOne<Dispatch>();
  restartAgents();
  const auto second = fleet.takeOne<Dispatch>();
  fleet.agentsReport = false;
  fleet.fromAgent(fleet.lastReceiver, DispatchRefused{ second.run, RefusalReason::kLeaving, 0 });
  fleet.wait(Duration{ 4500 });
  CHECK_EQUAL(503, fleet.httpStatus(caller));
  CHECK(fleet.body(caller).find(R"("ran":"unknown")") != std::string::npos);
}

// Guards against charging a refused dispatch: the refusal confirms that it did not run.
TEST(Recovery, doesNotChargeRefusedDispatches)
{
  fleet.start();
  fleet.chat();
  const auto first = fleet.takeOne<Dispatch>();
  const InstanceId refusing = fleet.lastReceiver;
  fleet.fromAgent(refusing, DispatchRefused{ first.run, RefusalReason::kMemory, 0 });
  const auto second = fleet.takeOne<Dispatch>();
  CHECK(fleet.lastReceiver != refusing);
  CHECK(second.run != first.run);
  fleet.wait(Duration{ 100 });
  CHECK(fleet.take<ChargeBatch>().empty());
}

// Guards against reverting the configuration: neither an older read index nor an older revision is applied.
TEST(Recovery, neverAppliesOlderConfiguration)
{
  fleet.start();
  ConfigState older = fleet.config;
  older.number = fleet.lastPoll.number;
  older.readIndex = LogIndex{ 150 };
  older.lists.usesRevision = Revision{ 99 };
  older.lists.routes.clear();
  fleet.fromController(older);
  CHECK_EQUAL(0, fleet.httpStatus(fleet.chat()));
  older.readIndex = LogIndex{ 300 };
  older.lists.usesRevision = Revision{ 9 };
  fleet.fromController(older);
  CHECK_EQUAL(0, fleet.httpStatus(fleet.chat()));
}

// Guards against waiting for an unreachable controller, and against ignoring the leader hint.
TEST(Recovery, findsTheLeader)
{
  fleet.answerPolls = false;
  fleet.tick();
  fleet.takeOne<RegisterSession>();
  STRCMP_EQUAL("c1", fleet.lastReceiver.c_str());
  fleet.fromController(NotLeader{ "c2" });
  fleet.tick();
  fleet.takeOne<RegisterSession>();
  STRCMP_EQUAL("c2", fleet.lastReceiver.c_str());
  fleet.wait(Duration{ 1600 });
  fleet.take<RegisterSession>();
  STRCMP_EQUAL("c1", fleet.lastReceiver.c_str());
}

// Guards against new work for an upstream that is leaving or whose agent is unresponsive.
TEST(Recovery, avoidsLeavingAndUnresponsiveAgents)
{
  fleet.start();
  auto leaving = Fixture::status(fleet.config.agents.at(0));
  leaving.leaving = true;
  for (int i = 0; i < 20; ++i) {
    fleet.fromAgent("a1", leaving);
    fleet.chat();
    fleet.takeOne<Dispatch>();
    STRCMP_EQUAL("a2", fleet.lastReceiver.c_str());
  }
  fleet.agentsReport = false;
  fleet.wait(Duration{ 3100 });
  fleet.take<Dispatch>();
  fleet.chat();
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against exceeding an engine's KV memory: dispatches count immediately, before the agent's next status includes
// them.
TEST(Recovery, countsOwnDispatchesAgainstTheKvLimit)
{
  RouterOptions options = Fixture::options();
  options.kvBytesPerToken = 1000;
  Fixture small(options);
  small.start();
  for (const char* agent : { "a1", "a2" }) {
    auto status = Fixture::status(Fixture::agent(agent, agent[1] == '1' ? 31 : 32));
    status.kvCapacityBytes = kChatWorstCase * 1000 + 1;
    small.fromAgent(agent, status);
  }
  small.chat();
  small.chat();
  small.chat();
  CHECK_EQUAL(2U, small.take<Dispatch>().size());
}

// Guards against a bad version that keeps its traffic share at this router until the leader reacts.
TEST(Recovery, tripsTheCircuitBreakerOfAFailingVersionAndReportsIt)
{
  fleet.start();
  Move move;
  move.id = "move-1";
  move.model = "m";
  move.fromVersion = "v1";
  move.toVersion = "v2";
  move.state = MoveState::kStepping;
  fleet.config.moves = { move };
  fleet.config.shares = { { "m", "v1", 500 }, { "m", "v2", 500 } };
  fleet.config.movesRevision = Revision{ 500 };
  fleet.wait(Duration{ 600 });
  fleet.agentsReport = false;
  const auto serve = [&](bool aFailing) {
    for (const auto& dispatch : fleet.take<Dispatch>()) {
      RunDone done = Fixture::done(dispatch.run, 0, 1);
      done.outcome = aFailing && dispatch.version == "v2" ? RunOutcome::kFailed : RunOutcome::kCompleted;
      fleet.fromAgent("a1", done);
    }
  };
  auto status = Fixture::status(fleet.config.agents.at(0));
  status.loaded.push_back({ "m", "v2" });
  auto away = Fixture::status(fleet.config.agents.at(1));
  away.leaving = true;
  fleet.fromAgent("a1", status);
  fleet.fromAgent("a2", away);
  for (int i = 0; i < 60; ++i) {
    fleet.chat();
    serve(true);
    serve(true);
  }
  fleet.tick();
  const auto report = fleet.takeOne<BrakeReport>();
  STRCMP_EQUAL("v2", report.version.c_str());
  for (int i = 0; i < 20; ++i) {
    fleet.chat();
  }
  const auto later = fleet.take<Dispatch>();
  CHECK_EQUAL(20U, later.size());
  CHECK(std::ranges::all_of(later, [](const Dispatch& aDispatch) { return aDispatch.version == "v1"; }));
  fleet.wait(Duration{ 310 });
  CHECK(!fleet.take<BrakeReport>().empty());
}

// Guards against a bad version that keeps all traffic late in a move, when the old version has no traffic share left.
TEST(Recovery, tripsTheCircuitBreakerOfAVersionWithAllTraffic)
{
  fleet.start();
  Move move;
  move.id = "move-1";
  move.model = "m";
  move.fromVersion = "v1";
  move.toVersion = "v2";
  move.state = MoveState::kWatching;
  fleet.config.moves = { move };
  fleet.config.shares = { { "m", "v2", 1000 } };
  fleet.config.movesRevision = Revision{ 500 };
  fleet.wait(Duration{ 600 });
  auto status = Fixture::status(fleet.config.agents.at(0));
  status.loaded.push_back({ "m", "v2" });
  fleet.fromAgent("a1", status);
  fleet.agentsReport = false;
  for (int i = 0; i < 5; ++i) {
    fleet.chat();
    for (const auto& dispatch : fleet.take<Dispatch>()) {
      STRCMP_EQUAL("v2", dispatch.version.c_str());
      RunDone done = Fixture::done(dispatch.run, 0, 1);
      done.outcome = RunOutcome::kTimedOut;
      fleet.fromAgent("a1", done);
    }
  }
  fleet.tick();
  fleet.chat();
  STRCMP_EQUAL("v1", fleet.takeOne<Dispatch>().version.c_str());
}

// Guards against interrupted requests, undelivered charges and unclosed grants at a shutdown.
TEST(Recovery, shutsDownAfterEverythingIsSettled)
{
  fleet.start();
  const CallerId open = fleet.chat();
  const auto dispatch = fleet.takeOne<Dispatch>();
  const InstanceId agent = fleet.lastReceiver;
  fleet.inject(Shutdown{});
  CHECK(!fleet.role.ready());
  const CallerId late = fleet.chat();
  CHECK_EQUAL(503, fleet.httpStatus(late));
  CHECK(fleet.replies<ReplyHead>(late).front().retryAfter <= Duration{ 1000 });
  fleet.wait(Duration{ 1000 });
  CHECK(fleet.take<CloseGrant>().empty());
  fleet.head(agent, dispatch.run);
  fleet.fromAgent(agent, Fixture::done(dispatch.run, 0, 5));
  CHECK(fleet.ended(open));
  fleet.wait(Duration{ 60 });
  fleet.fromController(ChargeAck{ fleet.takeOne<ChargeBatch>().number, kGrant });
  const auto stopped = [&] {
    return std::ranges::any_of(fleet.out,
                               [](const Action& aAction) { return std::holds_alternative<Stopped>(aAction); });
  };
  fleet.tick();
  CHECK(!stopped());
  CHECK(fleet.takeOne<CloseGrant>().grant == kGrant);
  fleet.fromController(GrantClosed{ kGrant });
  fleet.tick();
  CHECK(stopped());
}
