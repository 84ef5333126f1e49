// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(Quarantine)
{
  Fixture gateway;

  void setup() override
  {
    gateway.start();
  }

  /// Begins an answer to a request and breaks it off within the first event.
  void breakOff(ExchangeId aExchange)
  {
    gateway.head(aExchange, 200, true);
    gateway.handle(UpstreamData{ aExchange, "id: 1\nda" });
    gateway.handle(UpstreamError{ aExchange, true, false, "answer: partial message" });
  }

  void quarantine(std::uint64_t aRevision, std::vector<std::string> aSubjects)
  {
    auto state = gateway.state();
    state.hasQuarantine = true;
    state.quarantineRevision = aRevision;
    state.quarantined = std::move(aSubjects);
    gateway.handle(PeerMessage{ { kLeader, Role::kController }, state });
  }

  void suspect(std::vector<std::string> aSubjects)
  {
    auto state = gateway.state();
    state.suspects = std::move(aSubjects);
    gateway.handle(PeerMessage{ { kLeader, Role::kController }, state });
  }
};

// Guards against the leader not learning under which part of a prompt an upstream crashed.
TEST(Quarantine, reportsABrokenAnswerAtOnce)
{
  gateway.call("/review/", 100, 10);
  const auto call = gateway.takeOne<StartCall>();
  gateway.clearActions();
  breakOff(call.exchange);
  gateway.tick(Duration{ 40 });
  const auto poll = gateway.lastPoll();
  CHECK_EQUAL(1U, poll.broken.size());
  STRCMP_EQUAL(call.upstreamId.c_str(), poll.broken[0].upstream.c_str());
  CHECK_EQUAL(1U, poll.broken[0].subjects.size());
  STRCMP_EQUAL("part/shared", poll.broken[0].subjects[0].c_str());
}

// Guards against requests that were only waiting when their upstream crashed being suspected.
TEST(Quarantine, reportsNoRequestThatWasWaiting)
{
  gateway.call("/review/", 100, 10);
  gateway.handle(UpstreamError{ gateway.takeOne<StartCall>().exchange, true, false, "answer: end of stream" });
  gateway.call("/review/", 100, 10);
  const auto second = gateway.takeOne<StartCall>().exchange;
  gateway.head(second, 200, true);
  gateway.handle(UpstreamData{ second, Fixture::event(1) });
  gateway.handle(UpstreamError{ second, true, false, "answer: partial message" });
  gateway.tick(Duration{ 300 });
  CHECK(gateway.lastPoll().broken.empty());
}

// Guards against a crash going unnoticed when the answer has no length and ends with its connection.
TEST(Quarantine, reportsAnAnswerThatEndsWithinItsFirstEvent)
{
  gateway.call("/review/", 100, 10);
  const auto call = gateway.takeOne<StartCall>();
  gateway.head(call.exchange, 200, true);
  gateway.handle(UpstreamData{ call.exchange, "id: 1\nda" });
  gateway.handle(UpstreamEnd{ call.exchange });
  CHECK_EQUAL(502, gateway.status());
  gateway.tick(Duration{ 300 });
  CHECK_EQUAL(1U, gateway.lastPoll().broken.size());
}

// Guards against requests with a quarantined part reaching an upstream, and against others being refused with them.
TEST(Quarantine, refusesOnlyRequestsWithTheSubject)
{
  quarantine(5, { "part/shared" });
  gateway.clearActions();
  gateway.call("/review/", 100, 10);
  CHECK(gateway.take<StartCall>().empty());
  const auto refused = gateway.takeOne<ReplyHead>();
  CHECK_EQUAL(503, refused.httpStatus);
  CHECK(refused.retryAfter > Duration{ 0 });
  gateway.call("/stock/");
  CHECK_EQUAL(1U, gateway.take<StartCall>().size());
  gateway.tick(Duration{ 300 });
  const auto poll = gateway.lastPoll();
  CHECK_EQUAL(5U, poll.quarantineRevision);
  CHECK_EQUAL(1U, poll.subjects.size());
  CHECK_COMPARE(poll.subjects[0].refusedAgeMs, >=, 0);
}

// Guards against a call that waits at an upstream crashing it although its part is known by then.
TEST(Quarantine, endsCallsThatHaveNotBegun)
{
  gateway.call("/review/", 100, 10);
  const auto waiting = gateway.takeOne<StartCall>().exchange;
  gateway.call("/review/", 100, 10);
  const auto begun = gateway.takeOne<StartCall>().exchange;
  gateway.head(begun, 200, true);
  gateway.handle(UpstreamData{ begun, Fixture::event(1) });
  gateway.clearActions();
  quarantine(5, { "part/shared" });
  CHECK(gateway.takeOne<CancelCall>().exchange == waiting);
  CHECK_EQUAL(502, gateway.takeOne<ReplyHead>().httpStatus);
}

// Guards against a former leader that still answers lifting a quarantine.
TEST(Quarantine, ignoresAnOlderRevision)
{
  quarantine(5, { "part/shared" });
  quarantine(4, {});
  gateway.clearActions();
  gateway.call("/review/", 100, 10);
  CHECK_EQUAL(503, gateway.status());
  quarantine(6, {});
  gateway.clearActions();
  gateway.call("/review/", 100, 10);
  CHECK_EQUAL(1U, gateway.take<StartCall>().size());
}

// Guards against a request that crashed an upstream crashing a second one, when its part is suspected already.
TEST(Quarantine, doesNotRetryASuspectedRequest)
{
  suspect({ "part/shared" });
  gateway.call("/summary/", 100, 10);
  breakOff(gateway.takeOne<StartCall>().exchange);
  CHECK(gateway.take<StartCall>().empty());
  CHECK_EQUAL(502, gateway.status());
}

// Guards against sound requests losing their retry because a part that they share is suspected for a moment.
TEST(Quarantine, retriesARequestWhosePartIsSound)
{
  gateway.call("/summary/", 100, 10);
  const auto sound = gateway.takeOne<StartCall>().exchange;
  gateway.head(sound, 200, true);
  gateway.handle(UpstreamData{ sound, Fixture::event(1) + Fixture::event(2) });
  gateway.clearActions();
  gateway.call("/summary/", 100, 10);
  const auto second = gateway.takeOne<StartCall>().exchange;
  suspect({ "part/shared" });
  breakOff(second);
  CHECK_EQUAL(1U, gateway.take<StartCall>().size());
  gateway.tick(Duration{ 300 });
  const auto poll = gateway.lastPoll();
  CHECK_EQUAL(1U, poll.subjects.size());
  CHECK_COMPARE(poll.subjects[0].soundAgeMs, >=, 0);
}

// Guards against a request that crashes plain services, which send no head before they crash, going unnoticed.
TEST(Quarantine, reportsABrokenCallOfAPlainService)
{
  gateway.call("/order/");
  const auto call = gateway.takeOne<StartCall>();
  gateway.handle(UpstreamError{ call.exchange, true, false, "answer: end of stream" });
  gateway.tick(Duration{ 300 });
  const auto poll = gateway.lastPoll();
  CHECK_EQUAL(1U, poll.broken.size());
  STRCMP_EQUAL(call.upstreamId.c_str(), poll.broken[0].upstream.c_str());
  CHECK(poll.broken[0].subjects.empty());
}

// Guards against a quarantined request reaching an upstream under a new id, and against others being refused with it.
TEST(Quarantine, refusesRepeatsOfARequest)
{
  gateway.call("/order/");
  gateway.handle(UpstreamError{ gateway.takeOne<StartCall>().exchange, true, false, "answer: end of stream" });
  gateway.tick(Duration{ 300 });
  const auto digest = gateway.lastPoll().broken.at(0).request;
  quarantine(5, { "request/" + digest });
  gateway.clearActions();
  gateway.call("/order/");
  CHECK(gateway.take<StartCall>().empty());
  CHECK_EQUAL(503, gateway.status());
  gateway.call("/stock/");
  CHECK_EQUAL(1U, gateway.take<StartCall>().size());
}

// Guards against a sound request being quarantined although it was answered after upstreams had crashed under it.
TEST(Quarantine, reportsALaterAnswerToARequest)
{
  gateway.call("/stock/");
  gateway.handle(UpstreamError{ gateway.takeOne<StartCall>().exchange, true, false, "answer: end of stream" });
  const auto second = gateway.takeOne<StartCall>().exchange;
  gateway.head(second, 200);
  gateway.handle(UpstreamEnd{ second });
  gateway.tick(Duration{ 300 });
  const auto request = "request/" + gateway.lastPoll().broken.at(0).request;
  suspect({ request });
  gateway.clearActions();
  gateway.tick(Duration{ 300 });
  const auto poll = gateway.lastPoll();
  CHECK_EQUAL(1U, poll.subjects.size());
  STRCMP_EQUAL(request.c_str(), poll.subjects[0].subject.c_str());
  CHECK_COMPARE(poll.subjects[0].soundAgeMs, >=, 0);
}
