#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::router;

namespace {

GrantReply
reply(const GrantRequest& aRequest, GrantStatus aStatus, std::int64_t aRetryAfterMs = 700)
{
  GrantReply answer;
  answer.number = aRequest.number;
  answer.plan = aRequest.plan;
  answer.status = aStatus;
  answer.retryAfterMs = aRetryAfterMs;
  return answer;
}

} // namespace

TEST_GROUP(Grants)
{
  Fixture fleet;

  /// Serves one chat whose run costs `aCharge`.
  Dispatch serve(Tokens aCharge)
  {
    fleet.chat();
    auto dispatch = fleet.takeOne<Dispatch>();
    const InstanceId agent = fleet.lastReceiver;
    fleet.head(agent, dispatch.run);
    fleet.chunk(agent, dispatch.run, 0, "x");
    fleet.fromAgent(agent, Fixture::done(dispatch.run, 1, aCharge));
    return dispatch;
  }
};

// Guards against spending one grant twice: tokens reserved by runs are not available to the next request.
TEST(Grants, neverReservesMoreThanIsGranted)
{
  fleet.start(2 * kChatWorstCase + 1);
  fleet.chat();
  fleet.chat();
  const CallerId third = fleet.chat();
  CHECK_EQUAL(2U, fleet.take<Dispatch>().size());
  fleet.tick();
  const auto request = fleet.takeOne<GrantRequest>();
  CHECK_EQUAL(kChatWorstCase, request.wanted);
  fleet.fromController(reply(request, GrantStatus::kReservedByRuns));
  CHECK_EQUAL(429, fleet.httpStatus(third));
  CHECK_EQUAL(700, fleet.replies<ReplyHead>(third).front().retryAfter.count());
}

// Guards against a charge above the reservation, which would spend tokens that the grant may not hold.
TEST(Grants, chargesAtMostTheReservation)
{
  fleet.start(kChatWorstCase);
  serve(kChatWorstCase + 50);
  fleet.wait(Duration{ 60 });
  CHECK_EQUAL(kChatWorstCase, fleet.takeOne<ChargeBatch>().charges.at(0).tokens);
}

// Guards against lost charges: the router resends a batch unchanged until the ledger acknowledges it.
TEST(Grants, repeatsChargesUntilAcknowledged)
{
  fleet.start();
  serve(30);
  fleet.wait(Duration{ 60 });
  const auto first = fleet.takeOne<ChargeBatch>();
  fleet.wait(Duration{ 310 });
  const auto second = fleet.takeOne<ChargeBatch>();
  CHECK_EQUAL(first.number, second.number);
  CHECK(first.charges == second.charges);
  fleet.fromController(ChargeAck{ first.number, kGrant });
  fleet.wait(Duration{ 1000 });
  CHECK(fleet.take<ChargeBatch>().empty());
}

// Guards against a wrong 402: only the leader can determine that the budget is exhausted.
TEST(Grants, refusesWith402OnlyOnTheLeadersRefusal)
{
  fleet.start(0);
  const CallerId caller = fleet.chat();
  fleet.tick();
  const auto request = fleet.takeOne<GrantRequest>();
  CHECK_EQUAL(0, fleet.httpStatus(caller));
  fleet.fromController(reply(request, GrantStatus::kExhausted));
  CHECK_EQUAL(402, fleet.httpStatus(caller));
  CHECK(fleet.body(caller).find(R"("ran":"no")") != std::string::npos);
  CHECK(fleet.body(caller).find(R"("retry_after_ms":0)") == std::string::npos);
}

// Guards against refusing a small request because a larger one exceeds the budget.
TEST(Grants, exhaustionForALargeRequestDoesNotRefuseASmallOne)
{
  fleet.start(0);
  const CallerId large = fleet.call(kChatPath, R"({"model":"m","max_tokens":30000,"prompt":"hi"})");
  const CallerId small = fleet.chat();
  fleet.tick();
  fleet.fromController(reply(fleet.takeOne<GrantRequest>(), GrantStatus::kExhausted));
  CHECK_EQUAL(402, fleet.httpStatus(large));
  CHECK_EQUAL(0, fleet.httpStatus(small));
  fleet.tick();
  CHECK_EQUAL(kChatWorstCase, fleet.takeOne<GrantRequest>().wanted);
}

// Guards against refusals delayed until the deadline: a request waits only briefly for tokens held by other routers.
TEST(Grants, waitsBrieflyForTokensHeldElsewhere)
{
  fleet.start(0);
  const CallerId caller = fleet.chat();
  fleet.tick();
  fleet.fromController(reply(fleet.takeOne<GrantRequest>(), GrantStatus::kHeldElsewhere, 50));
  fleet.wait(Duration{ 500 });
  CHECK_EQUAL(0, fleet.httpStatus(caller));
  CHECK(!fleet.take<GrantRequest>().empty());
  fleet.wait(Duration{ 510 });
  CHECK_EQUAL(429, fleet.httpStatus(caller));
  CHECK(fleet.replies<ReplyHead>(caller).front().retryAfter.count() > 0);
}

// Guards against spending without a ledger: a request gets 503 immediately when there is no control connection and no
// token.
TEST(Grants, refusesWithoutTokensAndControllers)
{
  fleet.start(0);
  fleet.answerPolls = false;
  fleet.wait(Duration{ 3100 });
  const CallerId caller = fleet.chat();
  CHECK_EQUAL(503, fleet.httpStatus(caller));
  CHECK(fleet.body(caller).find(R"("ran":"no")") != std::string::npos);
}

// Guards against unnecessary refusals: a router without a control connection still spends its grants.
TEST(Grants, spendsGrantsWithoutControlConnection)
{
  fleet.start();
  fleet.answerPolls = false;
  fleet.wait(Duration{ 5000 });
  fleet.chat();
  CHECK_EQUAL(1U, fleet.take<Dispatch>().size());
}

// Guards against idle grants that other routers cannot use, and against returning them while no replacement is
// available.
TEST(Grants, returnsIdleGrantsOnlyWhileConnected)
{
  fleet.start();
  fleet.answerPolls = false;
  fleet.wait(Duration{ 125'000 });
  CHECK(fleet.take<CloseGrant>().empty());
  fleet.chat();
  CHECK_EQUAL(1U, fleet.take<Dispatch>().size());

  Fixture connected;
  connected.start();
  connected.wait(Duration{ 121'000 });
  CHECK(!connected.take<CloseGrant>().empty());
}

// Guards against returning reserved tokens, and against applying a repeated callback twice.
TEST(Grants, returnsOnlyFreeTokensOnce)
{
  fleet.start(1000);
  fleet.chat();
  const Tokens free = 1000 - kChatWorstCase;
  fleet.fromController(GrantCallback{ kGrant, "gold", 100 });
  CHECK_EQUAL(free - 100, fleet.takeOne<GrantReturn>().returnedTotal);
  fleet.fromController(GrantCallback{ kGrant, "gold", 100 });
  CHECK_EQUAL(free - 100, fleet.takeOne<GrantReturn>().returnedTotal);
  fleet.chat();
  CHECK_EQUAL(1U, fleet.take<Dispatch>().size()); // the second needs more than the remaining 100
}

// Guards against double spending: a closed grant in an older ConfigState is not used again.
TEST(Grants, doesNotAcceptAClosedGrantAgain)
{
  fleet.start(kChatWorstCase);
  fleet.answerPolls = false;
  serve(kChatWorstCase);
  fleet.wait(Duration{ 60 });
  fleet.fromController(ChargeAck{ fleet.takeOne<ChargeBatch>().number, kGrant });
  fleet.tick();
  CHECK(fleet.takeOne<CloseGrant>().grant == kGrant);
  fleet.fromController(GrantClosed{ kGrant });
  ConfigState late = fleet.config;
  late.number = fleet.lastPoll.number;
  fleet.fromController(late);
  fleet.chat();
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against a restarted router that applies an answer meant for its previous boot: it then treated its own session
// as fenced and never served again.
TEST(Grants, ignoresTheConfigurationOfAnotherSession)
{
  fleet.start();
  fleet.take<RegisterSession>();
  ConfigState earlier = fleet.config;
  earlier.session = SessionId{ 49 };
  earlier.sessionLive = false;
  earlier.number = 1000;
  fleet.fromController(earlier);
  fleet.wait(Duration{ 600 });
  CHECK(fleet.take<RegisterSession>().empty());
  fleet.chat();
  CHECK_FALSE(fleet.take<Dispatch>().empty());
}

// Guards against spending under a fenced session, whose grants the ledger reclaims.
TEST(Grants, stopsUsingGrantsOfAFencedSessionButDeliversCharges)
{
  fleet.start();
  fleet.chat();
  const auto open = fleet.takeOne<Dispatch>();
  const InstanceId agent = fleet.lastReceiver;
  fleet.config.sessionLive = false;
  fleet.wait(Duration{ 600 });
  CHECK(!fleet.take<RegisterSession>().empty());
  fleet.chat();
  CHECK(fleet.take<Dispatch>().empty());
  fleet.head(agent, open.run);
  fleet.fromAgent(agent, Fixture::done(open.run, 0, 25));
  SessionRegistered registered;
  registered.boot = Boot{ 9 };
  registered.session = SessionId{ 300 };
  fleet.config.sessionLive = true;
  fleet.config.grants = { { GrantId{ 301 }, "gold", 1000, 0 } };
  fleet.fromController(registered);
  fleet.wait(Duration{ 100 });
  const auto batch = fleet.takeOne<ChargeBatch>();
  CHECK(batch.grant == kGrant);
  CHECK_EQUAL(25, batch.charges.at(0).tokens);
  const auto dispatch = fleet.takeOne<Dispatch>();
  CHECK(dispatch.grant == GrantId{ 301 });
  CHECK(dispatch.routerSession == SessionId{ 300 });
}
