#include "state_builder.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::StateBuilder;

TEST_GROUP(Ledger)
{
  StateBuilder log;
  SessionId router{};

  void setup() override
  {
    log.setBudget("gold", 100);
    router = log.router("r1");
  }
};

// Guards against more tokens being granted than were paid for.
TEST(Ledger, neverGrantsMoreThanTheBudget)
{
  CHECK(log.grant(router, "gold", 70) != GrantId{});
  CHECK(log.grant(router, "gold", 31) == GrantId{});
  const auto rest =
    log.apply<state::IssueOutcome>(state::IssueGrant{ router, 0, "gold", 1000, 10, Revision{} }).grant.issued;
  CHECK_EQUAL(30, rest);
  CHECK_EQUAL(0, state::available(log.account("gold")));
}

// Guards against a repeated request being granted tokens twice.
TEST(Ledger, issueIsIdempotentBySessionAndNumber)
{
  const auto first = log.grant(router, "gold", 20, 7);
  CHECK(log.grant(router, "gold", 20, 7) == first);
  CHECK_EQUAL(20, log.account("gold").granted);
  CHECK(log.grant(router, "gold", 20, 8) != first);
}

// Guards against a delayed or repeated return freeing tokens twice, and against a return of tokens already charged.
TEST(Ledger, returnsAreCumulative)
{
  const auto grant = log.grant(router, "gold", 60);
  log.charge(grant, "q", 30);
  log.run(state::ReturnGrant{ grant, 20 });
  log.run(state::ReturnGrant{ grant, 20 });
  log.run(state::ReturnGrant{ grant, 5 });
  CHECK_EQUAL(40, log.account("gold").granted);
  const auto outcome = log.apply<state::LedgerOutcome>(state::ReturnGrant{ grant, 60 });
  CHECK_EQUAL(30, outcome.returnedTotal);
  CHECK_EQUAL(30, log.account("gold").granted);
}

// Guards against a request being billed by its router and again by its agent.
TEST(Ledger, chargesOnceByRequest)
{
  const auto grant = log.grant(router, "gold", 60);
  log.charge(grant, "q", 30);
  log.charge(grant, "q", 30);
  CHECK_EQUAL(30, log.account("gold").chargedOpen);
}

// Guards against a charge spending tokens of other grants.
TEST(Ledger, chargeNeverExceedsItsGrant)
{
  const auto grant = log.grant(router, "gold", 20);
  const auto outcome = log.charge(grant, "q", 30);
  CHECK_EQUAL(10, outcome.cut);
  CHECK_EQUAL(20, log.account("gold").chargedOpen);
}

// Guards against a delayed charge of a closed grant being billed again or not being acknowledged.
TEST(Ledger, chargeOfClosedGrantChangesNothing)
{
  const auto grant = log.grant(router, "gold", 60);
  log.charge(grant, "q", 30);
  log.run(state::SettleGrant{ grant });
  const auto outcome = log.charge(grant, "q", 30);
  CHECK_FALSE(outcome.found);
  CHECK_EQUAL(30, log.account("gold").settled);
  CHECK_EQUAL(70, state::available(log.account("gold")));
}

// Guards against a snapshot losing the members that are derived from the grants.
TEST(Ledger, snapshotKeepsBalances)
{
  const auto grant = log.grant(router, "gold", 60, 3);
  log.charge(grant, "q", 30);
  const auto agent = log.agent("a1");
  log.run(state::TakeClaim{ { "gold", "k", "h", "q", 1, "a1", Boot{ 1 }, {}, {} } });
  const auto bytes = state::encode(log.state);
  const auto restored = state::decode(bytes);
  CHECK(restored.has_value());
  CHECK_EQUAL(60, state::findAccount(restored.value().ledger, "gold")->granted);
  CHECK_EQUAL(30, state::findAccount(restored.value().ledger, "gold")->chargedOpen);
  CHECK(state::isLiveAgent(restored.value().sessions, agent));
  CHECK(state::encode(restored.value()) == bytes);
  CHECK(state::decode("\x01").error().code == ErrorCode::kCorrupt);
}
