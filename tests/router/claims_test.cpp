#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::router;

namespace {

ClaimReply
reply(std::uint64_t aNumber, ClaimStatus aStatus, Claim aClaim)
{
  return { aNumber, aStatus, std::move(aClaim) };
}

/// @return a claim of another router for the same order
Claim
otherClaim(const ClaimRequest& aRequest)
{
  Claim claim = aRequest.claim;
  claim.request = "r2-5-77";
  claim.agent = "o2";
  claim.agentBoot = Boot{ 34 };
  return claim;
}

RunStatus
status(const RunId& aRun, RunState aState)
{
  RunStatus answer;
  answer.run = aRun;
  answer.state = aState;
  return answer;
}

} // namespace

TEST_GROUP(Claims)
{
  Fixture fleet;
  const RunId otherRun{ "r2-5-77", 1 };

  /// Places an order and answers its claim request with kWon.
  Dispatch orderWithWonClaim(CallerId & aCaller)
  {
    fleet.start();
    aCaller = fleet.order("k1");
    const auto request = fleet.takeOne<ClaimRequest>();
    fleet.fromController(reply(request.number, ClaimStatus::kWon, request.claim));
    return fleet.takeOne<Dispatch>();
  }

  /// Places an order whose key another router's run has already claimed.
  ClaimRequest orderWithExistingClaim(CallerId & aCaller, ClaimState aState = ClaimState::kRunning)
  {
    fleet.start();
    aCaller = fleet.order("k1");
    auto request = fleet.takeOne<ClaimRequest>();
    Claim claim = otherClaim(request);
    claim.state = aState;
    claim.answer = { 201, "application/json", { "stored" }, false };
    fleet.fromController(reply(request.number, ClaimStatus::kExists, claim));
    return request;
  }
};

// Guards against a duplicate order: without a key the router cannot distinguish a retry from a second order.
TEST(Claims, requiresAKeyOnNonIdempotentRoutes)
{
  fleet.start();
  const CallerId caller = fleet.order("");
  CHECK_EQUAL(400, fleet.httpStatus(caller));
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against a duplicate order: the router dispatches only after the claim is committed, and the claim names the
// agent.
TEST(Claims, dispatchesOnlyAfterTheClaimIsWon)
{
  fleet.start();
  fleet.order("k1");
  fleet.wait(Duration{ 400 });
  CHECK(fleet.take<Dispatch>().empty());
  const auto requests = fleet.take<ClaimRequest>();
  CHECK(requests.size() >= 2);
  CHECK_EQUAL(requests[0].number, requests[1].number);
  fleet.fromController(reply(requests[0].number, ClaimStatus::kWon, requests[0].claim));
  const auto dispatch = fleet.takeOne<Dispatch>();
  CHECK(fleet.lastReceiver == requests[0].claim.agent);
  CHECK(dispatch.expectedBoot == requests[0].claim.agentBoot);
  CHECK(dispatch.run.request == requests[0].claim.request);
  CHECK(!dispatch.idempotent);
}

// Guards against a duplicate order: a retry gets the stored answer and starts no second run.
TEST(Claims, answersFromTheStoredOutcome)
{
  CallerId caller{};
  orderWithExistingClaim(caller, ClaimState::kDone);
  CHECK_EQUAL(201, fleet.httpStatus(caller));
  STRCMP_EQUAL("stored", fleet.body(caller).c_str());
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against the use of one key for two different orders.
TEST(Claims, refusesTheSameKeyWithAnotherBody)
{
  fleet.start();
  const CallerId caller = fleet.order("k1");
  const auto request = fleet.takeOne<ClaimRequest>();
  fleet.fromController(reply(request.number, ClaimStatus::kConflict, otherClaim(request)));
  CHECK_EQUAL(409, fleet.httpStatus(caller));
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against a duplicate order after a router failure: the retry reads the answer of the existing run.
TEST(Claims, attachesToARunOfAnotherRouter)
{
  CallerId caller{};
  orderWithExistingClaim(caller);
  const auto query = fleet.takeOne<RunQuery>();
  CHECK(query.run == otherRun);
  CHECK(query.expectedBoot == Boot{ 34 });
  fleet.fromAgent("o2", status(otherRun, RunState::kRunning));
  CHECK_EQUAL(0U, fleet.takeOne<Attach>().offset);
  CHECK(fleet.take<Dispatch>().empty());
  fleet.head("o2", otherRun, 201);
  fleet.chunk("o2", otherRun, 0, "order 5");
  fleet.fromAgent("o2", Fixture::done(otherRun, 7, 10));
  const auto update = fleet.takeOne<ClaimUpdate>();
  CHECK(update.claim.state == ClaimState::kDone);
  fleet.fromController(reply(update.number, ClaimStatus::kWon, update.claim));
  STRCMP_EQUAL("order 5", fleet.body(caller).c_str());
  CHECK(fleet.ended(caller));
  fleet.wait(Duration{ 100 });
  CHECK(fleet.take<ChargeBatch>().empty()); // charged by the router that dispatched it, or by the agent
}

// Guards against a duplicate order: only a confirmed "never ran" allows a dispatch, and only after the claim is
// rebound.
TEST(Claims, rebindsAfterConfirmedNeverRan)
{
  CallerId caller{};
  orderWithExistingClaim(caller);
  fleet.fromAgent("o2", status(otherRun, RunState::kNeverRan));
  CHECK(fleet.take<Dispatch>().empty());
  const auto update = fleet.takeOne<ClaimUpdate>();
  CHECK_EQUAL(1U, update.expectedAttempt);
  CHECK(update.claim.attempt > 1);
  fleet.fromController(reply(update.number, ClaimStatus::kWon, update.claim));
  const auto dispatch = fleet.takeOne<Dispatch>();
  CHECK(dispatch.run == RunId(update.claim.request, update.claim.attempt));
}

// Guards against a duplicate order: of two routers that rebind concurrently, the one whose update came second must not
// dispatch.
TEST(Claims, doesNotDispatchWhenAnotherRouterReboundFirst)
{
  CallerId caller{};
  orderWithExistingClaim(caller);
  fleet.fromAgent("o2", status(otherRun, RunState::kNeverRan));
  const auto update = fleet.takeOne<ClaimUpdate>();
  Claim winner = update.claim;
  winner.attempt = update.claim.attempt + 1;
  fleet.take<RunQuery>();
  fleet.fromController(reply(update.number, ClaimStatus::kWon, winner));
  CHECK(fleet.take<Dispatch>().empty());
  CHECK(fleet.takeOne<RunQuery>().run == RunId(winner.request, winner.attempt));
}

// Guards against a duplicate order after an agent restart: an unknown outcome is final and reported as unknown.
TEST(Claims, reportsUnknownWhenTheAgentHasNoRecord)
{
  CallerId caller{};
  orderWithExistingClaim(caller);
  fleet.fromAgent("o2", status(otherRun, RunState::kUnknown));
  CHECK_EQUAL(409, fleet.httpStatus(caller));
  CHECK(fleet.body(caller).find(R"("ran":"unknown")") != std::string::npos);
  CHECK(fleet.takeOne<ClaimUpdate>().claim.state == ClaimState::kUnknown);
  CHECK(fleet.take<Dispatch>().empty());
}

// Guards against a different answer to a retry: the end of the answer waits until the outcome is stored.
TEST(Claims, endsTheAnswerAfterTheOutcomeIsStored)
{
  CallerId caller{};
  const auto dispatch = orderWithWonClaim(caller);
  const InstanceId agent = fleet.lastReceiver;
  fleet.head(agent, dispatch.run, 201);
  fleet.chunk(agent, dispatch.run, 0, "order 6");
  fleet.fromAgent(agent, Fixture::done(dispatch.run, 7, 10));
  CHECK(!fleet.ended(caller));
  CHECK(fleet.take<RunDoneAck>().empty());
  const auto update = fleet.takeOne<ClaimUpdate>();
  STRCMP_EQUAL("order 6", update.claim.answer.body.data.c_str());
  CHECK_EQUAL(201, update.claim.answer.httpStatus);
  fleet.fromController(reply(update.number, ClaimStatus::kWon, update.claim));
  CHECK(fleet.ended(caller));
  CHECK(fleet.takeOne<RunDoneAck>().run == dispatch.run);
}

// Guards against a duplicate order: the order of a restarted agent is never sent to another agent, and the refusal does
// not report "ran: no".
TEST(Claims, neverRetriesAnOrderWithUnknownOutcome)
{
  CallerId caller{};
  const auto dispatch = orderWithWonClaim(caller);
  for (AgentEntry& entry : fleet.config.agents) {
    entry.session = SessionId{ toNumber(entry.session) + 100 };
    entry.boot = Boot{ toNumber(entry.boot) + 100 };
  }
  fleet.config.directoryRevision = Revision{ 400 };
  fleet.wait(Duration{ 700 });
  CHECK(fleet.take<Dispatch>().empty());
  CHECK_EQUAL(502, fleet.httpStatus(caller));
  CHECK(fleet.body(caller).find(R"("ran":"unknown")") != std::string::npos);
  CHECK(fleet.take<ClaimUpdate>().front().claim.state == ClaimState::kUnknown);
  CHECK_EQUAL(10, fleet.take<ChargeBatch>().front().charges.at(0).tokens);
}

// Guards against aborting a complete answer when its agent restarts while the outcome is being stored.
TEST(Claims, completesAFinishedAnswerWhenTheAgentRestarts)
{
  CallerId caller{};
  const auto dispatch = orderWithWonClaim(caller);
  const InstanceId agent = fleet.lastReceiver;
  fleet.head(agent, dispatch.run, 201);
  fleet.chunk(agent, dispatch.run, 0, "order 7");
  fleet.fromAgent(agent, Fixture::done(dispatch.run, 7, 10));
  for (AgentEntry& entry : fleet.config.agents) {
    entry.session = SessionId{ toNumber(entry.session) + 100 };
    entry.boot = Boot{ toNumber(entry.boot) + 100 };
  }
  fleet.reportAgents();
  CHECK(!fleet.aborted(caller));
  const auto update = fleet.takeOne<ClaimUpdate>();
  fleet.fromController(reply(update.number, ClaimStatus::kWon, update.claim));
  CHECK(fleet.ended(caller));
}

// Guards against a duplicate order: the router queries an unanswered dispatch and never sends it again.
TEST(Claims, queriesAnUnansweredDispatch)
{
  CallerId caller{};
  const auto dispatch = orderWithWonClaim(caller);
  const InstanceId agent = fleet.lastReceiver;
  fleet.wait(Duration{ 5000 });
  CHECK(fleet.take<Dispatch>().empty());
  CHECK(fleet.take<RunQuery>().front().run == dispatch.run);
  fleet.fromAgent(agent, status(dispatch.run, RunState::kNeverRan));
  const auto update = fleet.takeOne<ClaimUpdate>();
  CHECK(update.claim.state == ClaimState::kRunning);
  fleet.fromController(reply(update.number, ClaimStatus::kWon, update.claim));
  CHECK(fleet.takeOne<Dispatch>().run == RunId(update.claim.request, update.claim.attempt));
}

// Guards against losing the outcome of a run whose caller disconnected: the order continues and is stored and charged.
TEST(Claims, continuesAnOrderAfterItsCallerDisconnects)
{
  CallerId caller{};
  const auto dispatch = orderWithWonClaim(caller);
  const InstanceId agent = fleet.lastReceiver;
  fleet.inject(CallerGone{ caller });
  CHECK(fleet.take<CancelRun>().empty());
  fleet.head(agent, dispatch.run, 201);
  fleet.chunk(agent, dispatch.run, 0, "order 8");
  fleet.fromAgent(agent, Fixture::done(dispatch.run, 7, 10));
  STRCMP_EQUAL("order 8", fleet.takeOne<ClaimUpdate>().claim.answer.body.data.c_str());
  fleet.wait(Duration{ 60 });
  CHECK_EQUAL(10, fleet.takeOne<ChargeBatch>().charges.at(0).tokens);
}

// Guards against a duplicate order when the retry reaches the router that still handles the first request.
TEST(Claims, handsARunOverToTheNewerConnection)
{
  CallerId older{};
  const auto dispatch = orderWithWonClaim(older);
  const InstanceId agent = fleet.lastReceiver;
  fleet.head(agent, dispatch.run, 201);
  fleet.chunk(agent, dispatch.run, 0, "order");
  const CallerId newer = fleet.order("k1");
  const auto request = fleet.takeOne<ClaimRequest>();
  Claim claim = request.claim;
  claim.request = dispatch.run.request;
  claim.agent = agent;
  fleet.fromController(reply(request.number, ClaimStatus::kExists, claim));
  CHECK(fleet.aborted(older));
  CHECK_EQUAL(0U, fleet.takeOne<Attach>().offset);
  CHECK(fleet.take<Dispatch>().empty());
  fleet.head(agent, dispatch.run, 201);
  fleet.chunk(agent, dispatch.run, 0, "order 9");
  STRCMP_EQUAL("order 9", fleet.body(newer).c_str());
}

// Guards against a false "ran: no" while the claim is undecided: an earlier request with this key may have run.
TEST(Claims, doesNotReportNotRunWhileTheClaimIsUndecided)
{
  fleet.start();
  const CallerId caller = fleet.order("k1");
  fleet.wait(Duration{ 3100 });
  CHECK_EQUAL(503, fleet.httpStatus(caller));
  CHECK(fleet.body(caller).find(R"("ran":"unknown")") != std::string::npos);
}

// Guards against a second run of a retried chat: a request with a key attaches on idempotent routes, too.
TEST(Claims, attachesRetriedChatsByKey)
{
  fleet.start();
  const CallerId caller = fleet.chat("k2");
  const auto request = fleet.takeOne<ClaimRequest>();
  Claim claim = otherClaim(request);
  claim.agent = "a1";
  claim.agentBoot = Boot{ 31 };
  fleet.fromController(reply(request.number, ClaimStatus::kExists, claim));
  fleet.fromAgent("a1", status(otherRun, RunState::kDone));
  CHECK_EQUAL(0U, fleet.takeOne<Attach>().offset);
  CHECK(fleet.take<Dispatch>().empty());
  CHECK_EQUAL(0, fleet.httpStatus(caller));
}
