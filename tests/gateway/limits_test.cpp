#include "fixture.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(GatewayLimits)
{
  Fixture fleet;

  void setup() override
  {
    fleet.start();
  }

  void nameLimit(ExchangeId aExchange, std::optional<double> aCallsPerSecond)
  {
    UpstreamHead head;
    head.exchange = aExchange;
    head.status = 200;
    head.genuine = true;
    head.callsPerSecond = aCallsPerSecond;
    fleet.handle(head);
    fleet.handle(UpstreamEnd{ aExchange });
  }

  /// Makes both desks name a limit.
  void limitDesks()
  {
    fleet.call("/order/1");
    fleet.call("/order/2");
    for (const auto& call : fleet.take<StartCall>()) {
      nameLimit(call.exchange, 2.0);
    }
    fleet.clearActions();
  }

  /// Answers the last poll. @return the poll
  GatewayPoll permit(const std::vector<CallPermit>& aPermits)
  {
    fleet.clearActions();
    fleet.tick(Duration{ 200 });
    const auto poll = fleet.lastPoll();
    answerPoll(poll.number, aPermits);
    return poll;
  }

  void answerPoll(std::uint64_t aNumber, const std::vector<CallPermit>& aPermits)
  {
    auto state = fleet.state();
    state.number = aNumber;
    state.hasPermits = true;
    state.permits = aPermits;
    fleet.handle(PeerMessage{ { kLeader, Role::kController }, state });
  }
};

// Guards against calls to an upstream that has named a limit without a permit of the leader.
TEST(GatewayLimits, callsALimitedUpstreamOnlyWithAPermit)
{
  fleet.call("/order/1");
  const auto first = fleet.takeOne<StartCall>();
  nameLimit(first.exchange, 2.0);
  fleet.clearActions();
  fleet.call("/order/2");
  const auto second = fleet.takeOne<StartCall>();
  CHECK(second.upstreamId != first.upstreamId);
  const auto poll = permit({ { first.upstreamId, 2.0, 1 } });
  CHECK_EQUAL(1U, poll.limits.size());
  CHECK_EQUAL(first.upstreamId, poll.limits[0].upstream);
  CHECK_EQUAL(1, poll.limits[0].wanted);
  fleet.clearActions();
  fleet.call("/order/3");
  CHECK_EQUAL(first.upstreamId, fleet.takeOne<StartCall>().upstreamId);
  fleet.call("/order/4");
  CHECK(fleet.takeOne<StartCall>().upstreamId != first.upstreamId);
}

// Guards against a repeated answer, or an older one that comes late, permitting calls again.
TEST(GatewayLimits, takesPermitsOfAPollOnce)
{
  limitDesks();
  fleet.tick(Duration{ 200 });
  const auto older = fleet.lastPoll();
  fleet.clearActions();
  const auto poll = permit({ { "d1", 2.0, 1 }, { "d2", 2.0, 0 } });
  answerPoll(poll.number, { { "d1", 2.0, 1 }, { "d2", 2.0, 0 } });
  answerPoll(older.number, { { "d1", 2.0, 1 }, { "d2", 2.0, 0 } });
  fleet.clearActions();
  fleet.call("/order/3");
  fleet.call("/order/4");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against the use of permits that were issued long ago, for example before a network partition.
TEST(GatewayLimits, permitsExpire)
{
  limitDesks();
  permit({ { "d1", 2.0, 1 }, { "d2", 2.0, 1 } });
  fleet.tick(Duration{ 600 });
  fleet.clearActions();
  fleet.call("/order/3");
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against counting the time from the arrival of an answer that was delayed on its way.
TEST(GatewayLimits, permitsOfALateAnswerAreVoid)
{
  limitDesks();
  fleet.tick(Duration{ 200 });
  const auto poll = fleet.lastPoll();
  fleet.tick(Duration{ 600 });
  answerPoll(poll.number, { { "d1", 2.0, 1 }, { "d2", 2.0, 1 } });
  fleet.clearActions();
  fleet.call("/order/3");
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against one malformed answer filling the memory of a gateway.
TEST(GatewayLimits, boundsThePermitsOfAnAnswer)
{
  limitDesks();
  permit({ { "d1", 2.0, std::numeric_limits<std::int64_t>::max() }, { "d2", 2.0, -1 } });
  fleet.call("/order/3");
  STRCMP_EQUAL("d1", fleet.takeOne<StartCall>().upstreamId.c_str());
}

// Guards against refusing a request that the leader would permit, and against holding it once the leader permits none.
TEST(GatewayLimits, waitsForAPermitUnlessTheLeaderHasNone)
{
  limitDesks();
  fleet.call("/order/3");
  CHECK_EQUAL(0, fleet.status());
  permit({ { "d1", 2.0, 1 }, { "d2", 2.0, 0 } });
  CHECK_EQUAL("d1", fleet.takeOne<StartCall>().upstreamId);
  fleet.call("/order/4");
  permit({ { "d1", 2.0, 0 }, { "d2", 2.0, 0 } });
  fleet.call("/order/5");
  const auto refusal = fleet.takeOne<ReplyHead>();
  CHECK_EQUAL(503, refusal.httpStatus);
  CHECK(refusal.retryAfter > Duration{ 0 });
  fleet.tick(Duration{ 400 });
  CHECK_EQUAL(503, fleet.status());
}

// Guards against retries that exceed the limit, and against replacing an upstream's own answer by a refusal when no
// other upstream may be called.
TEST(GatewayLimits, retriesNeedAPermit)
{
  fleet.call("/order/1");
  nameLimit(fleet.takeOne<StartCall>().exchange, 2.0);
  fleet.clearActions();
  fleet.call("/stock/1");
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 500);
  fleet.handle(UpstreamEnd{ call.exchange });
  CHECK(fleet.take<StartCall>().empty());
  CHECK_EQUAL(500, fleet.status());
}

// Guards against giving up a running call for a retry that the limit of the other upstream does not permit.
TEST(GatewayLimits, keepsASlowCallWithoutAPermitForAnother)
{
  fleet.call("/order/1");
  nameLimit(fleet.takeOne<StartCall>().exchange, 2.0);
  fleet.clearActions();
  fleet.call("/stock/1");
  const auto call = fleet.takeOne<StartCall>();
  fleet.tick(Duration{ 1000 });
  CHECK(fleet.take<CancelCall>().empty());
  fleet.head(call.exchange, 200);
  fleet.handle(UpstreamEnd{ call.exchange });
  CHECK_EQUAL(200, fleet.status());
}

// Guards against a late copy of an earlier answer, or a refusal, ending a limit.
TEST(GatewayLimits, onlyAGenuineAnswerEndsALimit)
{
  fleet.call("/order/1");
  const auto call = fleet.takeOne<StartCall>();
  nameLimit(call.exchange, 2.0);
  permit({ { call.upstreamId, 2.0, 2 } });
  fleet.clearActions();
  fleet.call("/order/2");
  fleet.notRun(fleet.takeOne<StartCall>().exchange);
  CHECK_EQUAL(-1, permit({ { call.upstreamId, 2.0, 1 } }).limits.at(0).unnamedAgeMs);
  fleet.clearActions();
  fleet.call("/order/3");
  nameLimit(fleet.takeOne<StartCall>().exchange, std::nullopt);
  CHECK(permit({}).limits.at(0).unnamedAgeMs >= 0);
  fleet.clearActions();
  fleet.tick(Duration{ 200 });
  CHECK(fleet.lastPoll().limits.empty());
}

// Guards against a gateway without a limit of its own sending calls to an upstream that the leader knows to be limited.
TEST(GatewayLimits, obeysALimitThatOnlyOthersWereTold)
{
  permit({ { "d1", 2.0, 0 }, { "d2", 2.0, 0 } });
  fleet.clearActions();
  fleet.call("/order/1");
  CHECK(fleet.take<StartCall>().empty());
}
