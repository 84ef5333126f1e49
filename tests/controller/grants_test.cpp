#include "controller_harness.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

namespace {

const Address kRouter1{ "r1", Role::kRouter };
const Address kRouter2{ "r2", Role::kRouter };

} // namespace

TEST_GROUP(Grants)
{
  ControllerHarness fleet;

  GrantReply ask(const Address& aRouter, std::uint64_t aNumber, Tokens aWanted)
  {
    fleet.send(aRouter, GrantRequest{ fleet.peers.at(aRouter).session, aNumber, "gold", aWanted });
    fleet.run(Duration{ 20 });
    const auto replies = fleet.received<GrantReply>(aRouter);
    return replies.empty() ? GrantReply{} : replies.back();
  }

  void demand(const Address& aRouter, Tokens aRate, Tokens aReserved)
  {
    fleet.peers.at(aRouter).poll.demand = { { "gold", aRate, 0, aReserved } };
  }

  void answerRecall(const Address& aRouter, Tokens aReturned)
  {
    const auto callback = fleet.last<GrantCallback>(aRouter);
    fleet.send(aRouter, GrantReturn{ callback.grant, aReturned });
    fleet.run(Duration{ 20 });
  }
};

// Guards against small grants that leave a router without tokens in a partition.
TEST(Grants, largePartOfTheBudgetIsPlacedOnTheFirstRequest)
{
  fleet.setBudget("gold", 1'000'000);
  fleet.join("r1", Role::kRouter);
  const auto reply = ask(kRouter1, 1, 100);
  CHECK(reply.status == GrantStatus::kGranted);
  CHECK_EQUAL(900'000, reply.grant.issued);
}

// Guards against a repeated request receiving tokens twice.
TEST(Grants, repeatGetsTheSameGrant)
{
  fleet.setBudget("gold", 1000);
  fleet.join("r1", Role::kRouter);
  const auto first = ask(kRouter1, 1, 600);
  const auto second = ask(kRouter1, 1, 600);
  CHECK(first.grant == second.grant);
}

// Guards against a request being refused while another router holds idle tokens.
TEST(Grants, idleTokensAreRecalledForAnotherRouter)
{
  fleet.setBudget("gold", 1000);
  fleet.join("r1", Role::kRouter);
  fleet.join("r2", Role::kRouter);
  const auto first = ask(kRouter1, 1, 900);
  const auto before = fleet.received<GrantReply>(kRouter2).size();
  ask(kRouter2, 1, 500);
  CHECK_EQUAL(before, fleet.received<GrantReply>(kRouter2).size());
  CHECK(fleet.last<GrantCallback>(kRouter1).grant == first.grant.grant);
  answerRecall(kRouter1, 900);
  const auto reply = fleet.last<GrantReply>(kRouter2);
  CHECK(reply.status == GrantStatus::kGranted);
  CHECK(reply.grant.issued >= 500);
}

// Guards against a request near the end of a budget being refused because the remaining tokens are split over holders.
TEST(Grants, restSplitOverHoldersServesOneRequest)
{
  fleet.setBudget("gold", 300);
  fleet.join("r1", Role::kRouter);
  fleet.join("r2", Role::kRouter);
  ask(kRouter1, 1, 100);
  ask(kRouter1, 2, 100);
  ask(kRouter2, 1, 100);
  fleet.send(kRouter2, GrantRequest{ fleet.peers.at(kRouter2).session, 2, "gold", 300 });
  for (const auto& router : { kRouter1, kRouter2 }) {
    for (const auto& callback : fleet.received<GrantCallback>(router)) {
      fleet.send(router, GrantReturn{ callback.grant, 100 });
    }
  }
  fleet.run(Duration{ 20 });
  const auto reply = fleet.last<GrantReply>(kRouter2);
  CHECK(reply.status == GrantStatus::kGranted);
  CHECK_EQUAL(300, reply.grant.issued);
}

// Guards against tokens reserved by runs being reported as spent, which would stop callers permanently.
TEST(Grants, reservedTokensAreNotExhaustion)
{
  fleet.setBudget("gold", 1000);
  fleet.join("r1", Role::kRouter);
  fleet.join("r2", Role::kRouter);
  ask(kRouter1, 1, 1000);
  demand(kRouter1, 100, 1000);
  fleet.run(Duration{ 600 });
  ask(kRouter2, 1, 500);
  answerRecall(kRouter1, 0);
  const auto reply = fleet.last<GrantReply>(kRouter2);
  CHECK(reply.status == GrantStatus::kReservedByRuns);
  CHECK(reply.retryAfterMs > 0);
}

// Guards against a request being refused with a final status while a holder of tokens does not answer.
TEST(Grants, tokensOfAnUnresponsiveHolderAreHeldElsewhere)
{
  fleet.setBudget("gold", 1000);
  fleet.join("r1", Role::kRouter);
  fleet.join("r2", Role::kRouter);
  ask(kRouter1, 1, 1000);
  ask(kRouter2, 1, 500);
  fleet.run(Duration{ 1000 });
  CHECK(fleet.last<GrantReply>(kRouter2).status == GrantStatus::kHeldElsewhere);
}

// Guards against reporting "exhausted" while tokens may still be returned: charged tokens cannot become available
// again, reserved ones can.
TEST(Grants, exhaustedOnlyWhenChargesLeaveTooLittle)
{
  fleet.setBudget("gold", 1000);
  fleet.join("r1", Role::kRouter);
  fleet.join("r2", Role::kRouter);
  const auto grant = ask(kRouter1, 1, 1000).grant.grant;
  fleet.send(kRouter1, ChargeBatch{ 1, grant, { { "q1", 500 } } });
  fleet.run(Duration{ 20 });
  const auto before = fleet.received<GrantReply>(kRouter2).size();
  ask(kRouter2, 1, 500);
  CHECK_EQUAL(before, fleet.received<GrantReply>(kRouter2).size());
  CHECK(ask(kRouter2, 2, 501).status == GrantStatus::kExhausted);
}

// Guards against a top-up taking effect only after a delay.
TEST(Grants, topUpServesTheNextRequest)
{
  fleet.setBudget("gold", 100);
  fleet.join("r1", Role::kRouter);
  CHECK(ask(kRouter1, 1, 200).status == GrantStatus::kExhausted);
  fleet.setBudget("gold", 300);
  CHECK(ask(kRouter1, 2, 200).status == GrantStatus::kGranted);
}

// Guards against tokens staying at routers that no longer have the demand.
TEST(Grants, placementFollowsDemand)
{
  fleet.setBudget("gold", 1'000'000);
  fleet.join("r1", Role::kRouter);
  fleet.join("r2", Role::kRouter);
  demand(kRouter1, 1000, 0);
  demand(kRouter2, 3000, 0);
  fleet.run(Duration{ 3000 });
  const auto& held = fleet.peers;
  CHECK_EQUAL(1U, held.at(kRouter1).config.grants.size());
  CHECK_EQUAL(225'000, held.at(kRouter1).config.grants.front().issued);
  CHECK_EQUAL(675'000, held.at(kRouter2).config.grants.front().issued);
  demand(kRouter1, 3000, 0);
  demand(kRouter2, 1000, 0);
  fleet.run(Duration{ 2000 });
  const auto callback = fleet.last<GrantCallback>(kRouter2);
  CHECK_EQUAL(225'000, callback.keep);
}

// Guards against a plan that is not listed being reported as an exhausted budget.
TEST(Grants, unknownPlanHasItsOwnStatus)
{
  fleet.join("r1", Role::kRouter);
  CHECK(ask(kRouter1, 1, 10).status == GrantStatus::kNoSuchPlan);
}

// Guards against charges, returns and closing being acknowledged before they are committed, or not at all.
TEST(Grants, settledGrantIsAcknowledged)
{
  fleet.setBudget("gold", 1000);
  fleet.join("r1", Role::kRouter);
  const auto grant = ask(kRouter1, 1, 600).grant;
  fleet.send(kRouter1, ChargeBatch{ 7, grant.grant, { { "q1", 50 } } });
  fleet.send(kRouter1, GrantReturn{ grant.grant, 100 });
  fleet.send(kRouter1, CloseGrant{ grant.grant });
  fleet.run(Duration{ 20 });
  CHECK_EQUAL(7U, fleet.last<ChargeAck>(kRouter1).number);
  CHECK_EQUAL(100, fleet.last<GrantReturned>(kRouter1).returnedTotal);
  CHECK(fleet.last<GrantClosed>(kRouter1).grant == grant.grant);
  CHECK_EQUAL(50, fleet.account("gold").settled);
  CHECK_EQUAL(950, state::available(fleet.account("gold")));
}
