#include "state_builder.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::StateBuilder;

TEST_GROUP(Fences)
{
  StateBuilder log;
  SessionId agent1{};
  SessionId agent2{};
  SessionId router{};
  GrantId grant{};

  void setup() override
  {
    log.setBudget("gold", 1000);
    agent1 = log.agent("a1");
    agent2 = log.agent("a2");
    router = log.router("r1");
    grant = log.grant(router, "gold", 500);
  }

  void report(SessionId aAgent, std::vector<Charge> aCharges, Tokens aOpen)
  {
    log.run(state::ReportFence{ { router, aAgent, { { grant, std::move(aCharges), aOpen } } } });
  }
};

// Guards against tokens of a failed router being reclaimed while an agent may still run its work.
TEST(Fences, returnsTheRestOnlyWhenAllAgentsHaveReported)
{
  log.run(state::FenceRouter{ router });
  report(agent1, { { "q1", 40 } }, 0);
  CHECK_EQUAL(500, log.account("gold").granted);
  report(agent2, {}, 100);
  CHECK_EQUAL(140, log.account("gold").granted);
  report(agent2, { { "q2", 70 } }, 0);
  CHECK_EQUAL(0, log.account("gold").granted);
  CHECK_EQUAL(110, log.account("gold").settled);
  CHECK_EQUAL(0, log.account("gold").inDoubt);
  CHECK_FALSE(log.state.sessions.routers.contains(router));
}

// Guards against a delayed report raising a reservation that has ended.
TEST(Fences, openReservationsOnlyShrink)
{
  log.run(state::FenceRouter{ router });
  report(agent1, {}, 0);
  report(agent1, {}, 100);
  report(agent2, {}, 0);
  CHECK_EQUAL(0, log.account("gold").granted);
}

// Guards against tokens becoming spendable that may have been spent by an agent that can no longer report.
TEST(Fences, lossBeforeTheReportLeavesTheRestInDoubt)
{
  log.run(state::FenceRouter{ router });
  report(agent1, { { "q1", 40 } }, 0);
  log.agent("a2", 2);
  CHECK_EQUAL(40, log.account("gold").settled);
  CHECK_EQUAL(460, log.account("gold").inDoubt);
  CHECK_EQUAL(500, state::available(log.account("gold")));
}

// Guards against more tokens staying in doubt than the lost agent had reported as reserved by open runs.
TEST(Fences, lossAfterTheReportLeavesOnlyItsOpenRunsInDoubt)
{
  log.run(state::FenceRouter{ router });
  report(agent2, {}, 100);
  log.agent("a2", 2);
  report(agent1, {}, 0);
  CHECK_EQUAL(100, log.account("gold").inDoubt);
  CHECK_EQUAL(900, state::available(log.account("gold")));
}

// Guards against a run being treated as not executed if its agent restarted shortly before its router failed.
TEST(Fences, lossBeforeTheFenceLeavesTheRestInDoubt)
{
  agent2 = log.agent("a2", 2);
  log.run(state::FenceRouter{ router });
  report(agent1, {}, 0);
  report(agent2, {}, 0);
  CHECK_EQUAL(500, log.account("gold").inDoubt);
}

// Guards against in-doubt tokens if the router confirmed that its runs at the lost agent are settled, or if the grant
// was issued after the agent's session ended.
TEST(Fences, confirmedOrYoungerGrantsLeaveNothingInDoubt)
{
  agent2 = log.agent("a2", 2);
  const auto younger = log.grant(router, "gold", 100);
  log.run(state::MarkSettled{ router, log.state.sessions.directoryRevision });
  log.run(state::FenceRouter{ router });
  report(agent1, {}, 0);
  report(agent2, {}, 0);
  CHECK(state::findGrant(std::as_const(log.state.ledger), younger) == nullptr);
  CHECK_EQUAL(0, log.account("gold").inDoubt);
  CHECK_EQUAL(1000, state::available(log.account("gold")));
}

// Guards against a plan losing tokens when an agent drains before its restart.
TEST(Fences, drainedAgentNeedNotReport)
{
  log.run(state::MarkDrained{ agent2 });
  log.agent("a2", 2);
  log.run(state::FenceRouter{ router });
  report(agent1, {}, 0);
  const auto second = state::findAgent(log.state.sessions, "a2")->entry.session;
  report(second, {}, 0);
  CHECK_EQUAL(0, log.account("gold").inDoubt);
  CHECK_EQUAL(1000, state::available(log.account("gold")));
}

// Guards against treating the runs of a removed agent as ended: its process may still run, and a router whose directory
// contains the agent may send it work under a grant issued after the removal.
TEST(Fences, grantOfDirectoryWithRemovedAgentIsInDoubt)
{
  const auto oldDirectory = log.state.sessions.directoryRevision;
  log.run(state::RemoveAgent{ agent2 });
  const auto later =
    log.apply<state::IssueOutcome>(state::IssueGrant{ router, 0, "gold", 100, 100, oldDirectory }).grant.grant;
  log.run(state::FenceRouter{ router });
  log.run(state::ReportFence{ { router, agent1, {} } });
  CHECK(state::findGrant(std::as_const(log.state.ledger), later) == nullptr);
  CHECK_EQUAL(600, log.account("gold").inDoubt);
}

// Guards against a delayed registration of an earlier boot fencing the running process.
TEST(Fences, delayedRegistrationOfAnEarlierBootIsRefused)
{
  const auto second = log.router("r1", 2);
  CHECK(log.state.sessions.routers.at(router).fenced);
  CHECK_FALSE(log.open("r1", 1, Role::kRouter).accepted);
  CHECK(state::isLiveRouter(log.state.sessions, second));
}

// Guards against an agent that registers after a fence accepting the fenced session's work.
TEST(Fences, registrationReturnsOnlyLiveRouters)
{
  log.run(state::FenceRouter{ router });
  const auto live = log.router("r2");
  const auto outcome = log.open("a3", 1, Role::kAgent);
  CHECK_EQUAL(1U, outcome.liveRouters.size());
  CHECK(outcome.liveRouters.front() == live);
  CHECK(toNumber(outcome.readIndex) == toNumber(outcome.session));
}

// Guards against a fenced router being granted more tokens.
TEST(Fences, fencedRouterGetsNoGrant)
{
  log.run(state::FenceRouter{ router });
  CHECK(log.grant(router, "gold", 10) == GrantId{});
}
