#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(GatewayRequests)
{
  Fixture fleet;

  void setup() override
  {
    fleet.start();
  }
};

// Guards against status 404 or 401 before the first routing table arrives: callers do not retry after these.
TEST(GatewayRequests, asksForARetryWithoutARoutingTable)
{
  Fixture fresh;
  fresh.tick(Duration{ 800 });
  CHECK_FALSE(fresh.role.ready());
  fresh.clearActions();
  fresh.call("/stock/1");
  const auto head = fresh.takeOne<ReplyHead>();
  CHECK_EQUAL(503, head.httpStatus);
  CHECK(head.retryAfter > Duration{ 0 });
}

// Guards against refusing requests in a new process that receives a routing table a moment later, as after a power loss
// of the whole fleet.
TEST(GatewayRequests, holdsRequestsUntilTheFirstRoutingTable)
{
  Fixture fresh;
  fresh.tick();
  fresh.call("/stock/1");
  CHECK(fresh.take<ReplyHead>().empty());
  fresh.answer();
  CHECK_EQUAL(1U, fresh.take<StartCall>().size());
  Fixture late;
  late.tick();
  late.call("/stock/1");
  late.tick(Duration{ 700 });
  CHECK_EQUAL(503, late.status());
}

// Guards against forwarding requests with unknown paths or keys.
TEST(GatewayRequests, refusesUnknownPathsAndKeys)
{
  fleet.call("/nowhere/");
  CHECK_EQUAL(404, fleet.status());
  CallerCall call;
  call.caller = CallerId{ 99 };
  call.host = "shop.example";
  call.target = "/stock/1";
  call.key = "stolen";
  call.body = std::make_shared<const std::string>();
  fleet.handle(call);
  CHECK_EQUAL(401, fleet.status());
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against forwarding a part of a plain answer.
TEST(GatewayRequests, forwardsAPlainAnswerOnceComplete)
{
  fleet.call("/order/1");
  const auto call = fleet.takeOne<StartCall>();
  STRCMP_EQUAL("gold", call.plan.c_str());
  CHECK_FALSE(call.repeatable);
  fleet.head(call.exchange, 201);
  fleet.handle(UpstreamData{ call.exchange, "first " });
  CHECK(fleet.take<ReplyBody>().empty());
  fleet.handle(UpstreamData{ call.exchange, "second" });
  fleet.handle(UpstreamEnd{ call.exchange });
  CHECK_EQUAL(201, fleet.status());
  STRCMP_EQUAL("first second", fleet.takeOne<ReplyBody>().data.c_str());
}

// Guards against sending a non-idempotent request again, or reporting it as not run, after the connection failed.
TEST(GatewayRequests, sendsAnOrderOnceWhenItsAnswerIsLost)
{
  fleet.call("/order/1");
  const auto call = fleet.takeOne<StartCall>();
  fleet.handle(UpstreamError{ call.exchange, true, false, "reset" });
  CHECK_EQUAL(502, fleet.status());
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against failing a non-idempotent request although its upstream confirmed that it did not run it.
TEST(GatewayRequests, sendsAnOrderElsewhereWhenItDidNotRun)
{
  fleet.call("/order/1");
  const auto first = fleet.takeOne<StartCall>();
  fleet.notRun(first.exchange);
  const auto second = fleet.takeOne<StartCall>();
  CHECK(first.upstreamId != second.upstreamId);
  fleet.notRun(second.exchange);
  const auto head = fleet.takeOne<ReplyHead>();
  CHECK_EQUAL(503, head.httpStatus);
  CHECK(head.retryAfter > Duration{ 0 });
}

// Guards against treating an attempt without a connection as one that may have run the request.
TEST(GatewayRequests, sendsAnOrderElsewhereWhenNothingWasSent)
{
  fleet.call("/order/1");
  const auto first = fleet.takeOne<StartCall>();
  fleet.handle(UpstreamError{ first.exchange, false, true, "connect" });
  CHECK(first.upstreamId != fleet.takeOne<StartCall>().upstreamId);
}

// Guards against forwarding an answer without the upstream's signature as a success.
TEST(GatewayRequests, rejectsAnAnswerWithoutSignature)
{
  fleet.call("/order/1");
  const auto call = fleet.takeOne<StartCall>();
  UpstreamHead head;
  head.exchange = call.exchange;
  head.status = 200;
  fleet.handle(head);
  CHECK_EQUAL(502, fleet.status());
  CHECK_EQUAL(1U, fleet.take<CancelCall>().size());
}

// Guards against further calls to an address that now belongs to another instance.
TEST(GatewayRequests, avoidsAnAddressThatAnotherInstanceHas)
{
  fleet.call("/order/1");
  const auto first = fleet.takeOne<StartCall>();
  UpstreamHead head;
  head.exchange = first.exchange;
  head.status = 421;
  head.otherInstance = true;
  fleet.handle(head);
  const auto second = fleet.takeOne<StartCall>();
  CHECK(first.upstreamId != second.upstreamId);
  fleet.call("/order/2");
  STRCMP_EQUAL(second.upstreamId.c_str(), fleet.takeOne<StartCall>().upstreamId.c_str());
}

// Guards against forwarding a server error to the caller while another server could run the request.
TEST(GatewayRequests, repeatsAnIdempotentRequestThatFailed)
{
  fleet.call("/stock/1");
  const auto first = fleet.takeOne<StartCall>();
  fleet.head(first.exchange, 500);
  fleet.handle(UpstreamEnd{ first.exchange });
  const auto second = fleet.takeOne<StartCall>();
  fleet.head(second.exchange, 500);
  fleet.handle(UpstreamEnd{ second.exchange });
  CHECK(fleet.take<StartCall>().empty());
  CHECK_EQUAL(500, fleet.status());
}

// Guards against repeats beyond the fleet's retry limit, and against failing a call because an upstream closed an idle
// connection: the call is sent again to the same upstream, on a new connection, and counts as a retry.
TEST(GatewayRequests, countsCallsSentAgainAfterAKeptConnectionClosed)
{
  fleet.call("/stock/1");
  const auto first = fleet.takeOne<StartCall>();
  CHECK_FALSE(first.fresh);
  fleet.handle(UpstreamError{ first.exchange, true, false, "reset", true });
  const auto second = fleet.takeOne<StartCall>();
  STRCMP_EQUAL(first.upstreamId.c_str(), second.upstreamId.c_str());
  CHECK(second.fresh);
  CHECK(first.exchange != second.exchange);
  fleet.head(second.exchange, 200);
  fleet.handle(UpstreamEnd{ second.exchange });
  CHECK_EQUAL(200, fleet.status());
  // A fifth of the 201 requests and a slack of 100 are allowed; most of the slack is used.
  std::size_t resent = 1;
  for (int i = 0; i < 200; ++i) {
    fleet.call("/stock/1");
    const auto call = fleet.takeOne<StartCall>();
    fleet.handle(UpstreamError{ call.exchange, true, false, "reset", true });
    resent += fleet.take<StartCall>().size();
  }
  CHECK_COMPARE(resent, >, 50U);
  CHECK_COMPARE(resent, <=, 100U + 40U);
}

// Guards against an order being sent again after a kept connection closed: it may have run.
TEST(GatewayRequests, sendsAnOrderOnceWhenAKeptConnectionClosed)
{
  fleet.call("/order/1");
  const auto call = fleet.takeOne<StartCall>();
  fleet.handle(UpstreamError{ call.exchange, true, false, "reset", true });
  CHECK_EQUAL(502, fleet.status());
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against sending most requests to the server that refuses them: it has few in progress, so it looks idle, and
// each refusal needs a repeat elsewhere, of which the fleet allows few.
TEST(GatewayRequests, prefersServersThatDoNotRefuse)
{
  std::vector<std::string> chosen;
  for (int i = 0; i < 60; ++i) {
    fleet.call("/order/1");
    auto call = fleet.takeOne<StartCall>();
    chosen.push_back(call.upstreamId);
    if (call.upstreamId == "d1") {
      fleet.notRun(call.exchange);
      call = fleet.takeOne<StartCall>();
    }
    fleet.head(call.exchange, 200);
    fleet.handle(UpstreamEnd{ call.exchange });
    fleet.tick(Duration{ 20 });
  }
  CHECK_COMPARE(std::ranges::count(chosen, "d1"), <, 15);
  CHECK_EQUAL(200, fleet.status());
}

// Guards against waiting for an unresponsive server until the deadline of an idempotent request.
TEST(GatewayRequests, leavesAnUnresponsiveServer)
{
  fleet.call("/stock/1");
  const auto first = fleet.takeOne<StartCall>();
  fleet.tick(Duration{ 590 });
  CHECK(fleet.take<StartCall>().empty());
  fleet.tick(Duration{ 20 });
  CHECK(fleet.takeOne<CancelCall>().exchange == first.exchange);
  CHECK(first.upstreamId != fleet.takeOne<StartCall>().upstreamId);
}

// Guards against holding a request beyond its timeout, and against reporting a request that was sent as not run.
TEST(GatewayRequests, endsAtTheTimeout)
{
  fleet.call("/order/1", 0, 0, Duration{ 1000 });
  const auto call = fleet.takeOne<StartCall>();
  CHECK_EQUAL(1000, call.deadline.count());
  fleet.tick(Duration{ 1000 });
  CHECK_EQUAL(504, fleet.status());
  CHECK(fleet.takeOne<CancelCall>().exchange == call.exchange);
}

// Guards against an upstream still working on a request whose caller has disconnected.
TEST(GatewayRequests, cancelsWhenTheCallerDisconnects)
{
  const auto caller = fleet.call("/review/1", 100, 50);
  const auto call = fleet.takeOne<StartCall>();
  fleet.handle(CallerGone{ caller });
  CHECK(fleet.takeOne<CancelCall>().exchange == call.exchange);
}

// Guards against log lines without the tokens charged to disconnected callers: a plan's accounting cannot be checked
// without them.
TEST(GatewayRequests, logsTheCostForADisconnectedCaller)
{
  fleet.issued = 1000;
  fleet.answer();
  const auto caller = fleet.call("/review/1", 100, 50);
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 200, true);
  fleet.handle(UpstreamData{ call.exchange, Fixture::event(1) });
  fleet.clearActions();
  fleet.handle(CallerGone{ caller });
  const auto line = fleet.takeOne<Log>().line;
  CHECK_EQUAL(std::string("caller_gone"), line.event);
  CHECK_EQUAL(std::string("gold"), line.fields.at("plan").get<std::string>());
  CHECK_EQUAL(103, line.fields.at("cost").get<Tokens>());
}

// Guards against retries beyond the limit multiplying the load of a failing service.
TEST(GatewayRequests, staysWithinItsRetryLimit)
{
  auto options = Fixture::options();
  options.retrySlack = 0;
  options.retryRatio = 0.25;
  fleet.role = GatewayRole(options, Boot{ 7 }, std::mt19937_64(1));
  fleet.start();
  std::size_t retries = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.call("/stock/1");
    const auto first = fleet.takeOne<StartCall>();
    fleet.head(first.exchange, 500);
    fleet.handle(UpstreamEnd{ first.exchange });
    for (const auto& second : fleet.take<StartCall>()) {
      ++retries;
      fleet.head(second.exchange, 200);
      fleet.handle(UpstreamEnd{ second.exchange });
    }
  }
  CHECK(retries > 0);
  CHECK(retries <= 5);
}

// Guards against new calls to a leaving upstream, even if a delayed list shows it as not leaving again.
TEST(GatewayRequests, sendsNothingToALeavingUpstream)
{
  fleet.upstreams[2].leaving = true;
  fleet.answer();
  fleet.upstreams[2].leaving = false;
  fleet.answer();
  for (int i = 0; i < 8; ++i) {
    fleet.call("/order/1");
    STRCMP_EQUAL("d2", fleet.takeOne<StartCall>().upstreamId.c_str());
  }
}

// Guards against a faulty server filling the gateway's memory with an endless answer.
TEST(GatewayRequests, leavesAnAnswerWithoutEnd)
{
  fleet.call("/stock/1");
  const auto first = fleet.takeOne<StartCall>();
  fleet.head(first.exchange, 200);
  const std::string bytes(std::size_t{ 1 } << 20U, 'x');
  for (int i = 0; i < 4; ++i) {
    fleet.handle(UpstreamData{ first.exchange, bytes });
  }
  CHECK(fleet.take<CancelCall>().empty());
  fleet.handle(UpstreamData{ first.exchange, bytes });
  CHECK(fleet.takeOne<CancelCall>().exchange == first.exchange);
  CHECK(first.upstreamId != fleet.takeOne<StartCall>().upstreamId);
}

// Guards against a faulty upstream that sends bytes without end to many requests at once: each answer is within its own
// bound, and all together end the process at its memory limit.
TEST(GatewayRequests, boundsTheUnfinishedAnswersOfAllRequests)
{
  constexpr std::size_t kPart = std::size_t{ 1 } << 20U;
  const auto limit = Fixture::options().maxGatheredBytes;
  std::vector<StartCall> calls;
  for (std::size_t i = 0; i < 2 * limit / kPart; ++i) {
    fleet.call("/order/" + std::to_string(i));
    calls.push_back(fleet.takeOne<StartCall>());
    fleet.head(calls.back().exchange, 200);
  }
  const std::string bytes(kPart, 'x');
  for (const auto& call : calls) {
    fleet.handle(UpstreamData{ call.exchange, bytes });
  }
  const auto given = fleet.take<CancelCall>().size();
  CHECK_COMPARE((calls.size() - given) * kPart, <=, limit);
  CHECK_COMPARE(given, <, calls.size());
  // An ordinary request is served meanwhile: its answer is not the longest one.
  fleet.clearActions();
  const auto caller = fleet.call("/order/last");
  const auto last = fleet.takeOne<StartCall>();
  fleet.head(last.exchange, 200);
  fleet.handle(UpstreamData{ last.exchange, "done" });
  fleet.handle(UpstreamEnd{ last.exchange });
  CHECK(std::ranges::any_of(fleet.take<ReplyBody>(),
                            [&](const auto& aEach) { return aEach.caller == caller && aEach.data == "done"; }));
}

// Guards against an endless event in a stream, and against losing complete events that arrive together with its start.
TEST(GatewayRequests, leavesAnEventWithoutEnd)
{
  fleet.call("/summary/1");
  const auto first = fleet.takeOne<StartCall>();
  fleet.head(first.exchange, 200, true);
  fleet.handle(UpstreamData{ first.exchange, Fixture::event(1) + std::string((std::size_t{ 1 } << 20U) + 1, 'x') });
  STRCMP_EQUAL(Fixture::event(1).c_str(), fleet.takeOne<ReplyBody>().data.c_str());
  CHECK(fleet.takeOne<CancelCall>().exchange == first.exchange);
  const auto second = fleet.takeOne<StartCall>();
  STRCMP_EQUAL("1", second.lastEventId.c_str());
}

// Guards against a request that arrives on an open connection after the gateway has reported that it is done: the
// process ends while an upstream runs it, and the caller gets no answer.
TEST(GatewayRequests, refusesRequestsOnceStopped)
{
  fleet.handle(Shutdown{});
  while (fleet.take<Stopped>().empty()) {
    fleet.tick();
    auto state = fleet.state();
    state.number = fleet.lastPoll().number;
    fleet.handle(PeerMessage{ { kLeader, Role::kController }, state });
  }
  fleet.clearActions();
  fleet.call("/stock/1");
  CHECK(fleet.take<StartCall>().empty());
  const auto refusal = fleet.takeOne<ReplyHead>();
  CHECK_EQUAL(503, refusal.httpStatus);
  CHECK(refusal.retryAfter > Duration{ 0 });
}
