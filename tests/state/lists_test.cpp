#include "state_builder.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::StateBuilder;

TEST_GROUP(Lists){};

// Guards against two operators that start from the same revision overwriting each other.
TEST(Lists, acceptsOneOfTwoRacingOperators)
{
  StateBuilder log;
  const auto first = log.apply<state::ListOutcome>(state::SetPlans{ "a", Revision{}, { { "gold", "w", {}, {} } } });
  const auto second = log.apply<state::ListOutcome>(state::SetPlans{ "b", Revision{}, {} });
  CHECK(first.accepted);
  CHECK_FALSE(second.accepted);
  CHECK(second.code == ErrorCode::kConflict);
  CHECK(second.revision == first.revision);
  CHECK_EQUAL(1U, log.state.lists.lists.plans.size());
}

// Guards against a request that is repeated after its answer was lost being refused because the revision has changed.
TEST(Lists, repeatsGetTheFirstOutcome)
{
  StateBuilder log;
  const auto first = log.apply<state::ListOutcome>(state::SetPlans{ "a", Revision{}, {} });
  log.apply<state::ListOutcome>(state::SetPlans{ "b", first.revision, {} });
  const auto again = log.apply<state::ListOutcome>(state::SetPlans{ "a", Revision{}, {} });
  CHECK(again.accepted);
  CHECK(again.revision == first.revision);
}

// Guards against the stored outcomes growing without bound.
TEST(Lists, outcomesAreBounded)
{
  StateBuilder log;
  for (std::size_t i = 0; i < 2 * state::kMaxStoredOutcomes; ++i) {
    log.run(state::SetPlans{ std::to_string(i), log.state.lists.lists.plansRevision, {} });
  }
  CHECK_EQUAL(state::kMaxStoredOutcomes, log.state.lists.planOutcomes.size());
}

// Guards against a budget being lowered below the tokens already granted to routers, which may be spending them.
TEST(Lists, refusesBudgetBelowWhatIsGranted)
{
  StateBuilder log;
  log.setBudget("gold", 100);
  const auto router = log.router("r1");
  log.grant(router, "gold", 60);
  CHECK_FALSE(log.setBudget("gold", 59).accepted);
  CHECK_EQUAL(100, log.account("gold").budget);
  CHECK(log.setBudget("gold", 60).accepted);
}

// Guards against a plan that is removed from the list and added again starting with an unspent budget.
TEST(Lists, removedPlanKeepsItsAccount)
{
  StateBuilder log;
  log.setBudget("gold", 100);
  const auto router = log.router("r1");
  const auto grant = log.grant(router, "gold", 60);
  log.charge(grant, "q", 50);
  log.run(state::SettleGrant{ grant });
  log.setBudget("other", 10);
  CHECK_EQUAL(50, log.account("gold").settled);
  CHECK(log.grant(router, "gold", 10) == GrantId{});
  CHECK_FALSE(log.setBudget("gold", 40).accepted);
  CHECK(log.setBudget("gold", 100).accepted);
  CHECK_EQUAL(50, state::available(log.account("gold")));
}
