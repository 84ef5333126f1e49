#include "net_support.h"
#include "rhubarbarch/net/http_server.h"

#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

namespace {

struct Seen
{
  std::vector<router::CallerRequest> requests;
  std::map<router::CallerId, std::uint64_t> drained;
  std::vector<router::CallerId> gone;
  std::vector<router::CallerRequest> abandoned;
  std::size_t turns = 0; ///< of the event loop when the last request was passed on
};

} // namespace

TEST_GROUP(HttpServer)
{
  LoopThread loop;
  Watched<Seen> seen;
  std::unique_ptr<HttpServer> server;
  HttpServerOptions options;
  std::size_t turns = 0; ///< used on the loop only

  void setup() override
  {
    options.name = "test";
    options.listen = { "127.0.0.1", 0 };
    options.maxHeaderBytes = 2048;
    options.maxBodyBytes = 1000;
  }

  void start()
  {
    HttpServerEvents events;
    events.request = [this](router::CallerRequest&& aRequest) {
      seen.change([&](Seen& aSeen) {
        aSeen.requests.push_back(std::move(aRequest));
        aSeen.turns = turns;
      });
    };
    events.drained = [this](const router::CallerDrained& aDrained) {
      seen.change([&](Seen& aSeen) { aSeen.drained[aDrained.caller] += aDrained.bytes; });
    };
    events.gone = [this](const router::CallerGone& aGone) {
      seen.change([&](Seen& aSeen) { aSeen.gone.push_back(aGone.caller); });
    };
    events.abandoned = [this](router::CallerRequest&& aRequest) {
      seen.change([&](Seen& aSeen) { aSeen.abandoned.push_back(std::move(aRequest)); });
    };
    events.log = [](LogLine&&) {};
    events.congested = [] { return false; };
    loop.run([&] {
      server = std::make_unique<HttpServer>(loop.context, options, events);
      CHECK(server->listen().has_value());
    });
  }

  void teardown() override
  {
    loop.run([&] { server.reset(); });
    loop.stop();
  }

  /// Keeps the loop busy until it stops and counts its turns.
  void countTurns()
  {
    ++turns;
    boost::asio::post(loop.context, [this] { countTurns(); });
  }

  /// Lets the loop run for some turns, in each of which a connection reads once if bytes have arrived.
  void takeTurns(int aTurns)
  {
    for (int turn = 0; turn < aTurns; ++turn) {
      loop.run([] {});
    }
  }

  router::CallerRequest awaitRequest(std::size_t aNumber)
  {
    CHECK(seen.wait([&](const Seen& aSeen) { return aSeen.requests.size() >= aNumber; }));
    return seen.copy().requests.at(aNumber - 1);
  }

  void answer(router::CallerId aCaller, const std::string& aBody)
  {
    loop.run([&] {
      router::ReplyHead head;
      head.caller = aCaller;
      head.contentType = "text/plain";
      head.contentLength = aBody.size();
      server->reply(head);
      server->reply(router::ReplyBody{ aCaller, aBody });
      server->reply(router::ReplyEnd{ aCaller });
    });
  }

  /// Lets the caller have a part of a chunked answer and aborts it.
  void abortAnswer(RawSocket & aCaller, const std::string& aRequest)
  {
    aCaller.send(aRequest);
    const auto id = awaitRequest(1).caller;
    loop.run([&] {
      router::ReplyHead head;
      head.caller = id;
      head.chunked = true;
      server->reply(head);
      server->reply(router::ReplyBody{ id, "part" });
    });
    CHECK(seen.wait([&](const Seen& aSeen) { return aSeen.drained.contains(id); }));
    loop.run([&] { server->reply(router::ReplyAbort{ id }); });
  }

  double metric(const char* aName) const
  {
    const auto metrics = server->metrics();
    const auto found = std::ranges::find(metrics, aName, &Metric::name);
    return found == metrics.end() ? -1 : found->value;
  }

  /// Writes of the server to its sockets so far.
  double writes() const
  {
    return metric("rhubarbarch_http_writes_total");
  }

  std::string statusOf(const std::string& aRequest)
  {
    RawSocket caller(server->port());
    caller.send(aRequest);
    return caller.readUntil("\r\n");
  }
};

// Guards against a request whose chunk header or trailer has no end: the read buffer's limit used to end the process.
TEST(HttpServer, refusesChunkFramingWithoutEnd)
{
  constexpr std::size_t kFillerBytes = std::size_t{ 1024 } * 1024;
  start();
  for (const auto* begin : { "5;", "0\r\nX-Field: ", "0\r\nX: y\r\nX-Field: " }) {
    RawSocket caller(server->port());
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.send(begin);
    caller.send(std::string(kFillerBytes, 'x'));
    CHECK(caller.readAll().starts_with("HTTP/1.1 400 "));
  }
  CHECK(seen.copy().requests.empty());
  RawSocket other(server->port());
  other.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  STRCMP_EQUAL("/b", awaitRequest(1).path.c_str());
}

// Guards against bytes behind a request that are no request exceeding the read buffer's limit.
TEST(HttpServer, refusesGarbageBehindARequest)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto request = awaitRequest(1);
  // One byte less than a read takes, so that reading goes on until the buffer is as full as it gets.
  caller.send(std::string(std::size_t{ 16 } * 1024 - 1, 'x'));
  takeTurns(100);
  std::thread sender([&] { caller.send(std::string(options.maxPipelinedBytes + std::size_t{ 1024 } * 1024, 'x')); });
  takeTurns(100);
  answer(request.caller, "first");
  const auto text = caller.readAll();
  sender.join();
  CHECK(text.starts_with("HTTP/1.1 200 "));
  CHECK(text.find("HTTP/1.1 4") != std::string::npos);
}

// Guards against a caller making the process hold an unbounded header or body.
TEST(HttpServer, refusesOversizedRequests)
{
  start();
  const std::string filler(4000, 'x');
  STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large\r\n",
               statusOf("GET / HTTP/1.1\r\nA: " + filler + "\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large\r\n",
               statusOf("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large\r\n",
               statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" + filler).c_str());
  CHECK(seen.copy().requests.empty());
}

// Guards against the end of the process by a head longer than the limit was when its connection was opened, and against
// the first request after a change that is held to the old limits.
TEST(HttpServer, limitsBelongToTheRequest)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  answer(awaitRequest(1).caller, "first");
  CHECK(caller.readUntil("first").starts_with("HTTP/1.1 200 "));
  loop.run([&] { server->limit(131'072, 100'000, options.receiveTimeout, options.idleTimeout); });
  const std::string field = ": " + std::string(50'000, 'x') + "\r\n";
  caller.send("POST /b HTTP/1.1\r\nHost: h\r\nA" + field + "B" + field + "Content-Length: 90000\r\n\r\n" +
              std::string(90'000, 'y'));
  const auto request = awaitRequest(2);
  CHECK_EQUAL(90'000U, request.body.size());
  answer(request.caller, "second");
  CHECK(caller.readUntil("second").starts_with("HTTP/1.1 200 "));
  loop.run([&] { server->limit(2048, 1000, options.receiveTimeout, options.idleTimeout); });
  caller.send("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large\r\n", caller.readUntil("\r\n").c_str());
}

// Guards against the end of the process by a field longer than the HTTP library can hold.
TEST(HttpServer, refusesAFieldLongerThanTheLibraryHolds)
{
  options.maxHeaderBytes = 131'072;
  start();
  const std::string filler(70'000, 'x');
  STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large\r\n",
               statusOf("GET / HTTP/1.1\r\nA: " + filler + "\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large\r\n",
               statusOf("GET / HTTP/1.1\r\n" + filler + ": a\r\n\r\n").c_str());
}

// Guards against a body that is read although the memory for it is lacking, and against a refusal without the time
// after which to call again.
TEST(HttpServer, refusesBodiesThatMemoryLacksBeforeTheyAreRead)
{
  options.account = std::make_shared<MemoryAccount>(1'000'000);
  options.maxBodyBytes = 2'000'000;
  start();
  RawSocket caller(server->port());
  caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 900000\r\n\r\n");
  const auto refusal = caller.readAll();
  CHECK(refusal.starts_with("HTTP/1.1 503 "));
  CHECK(refusal.find("\r\nRetry-After: 1\r\n") != std::string::npos);
  CHECK(refusal.find("\r\nConnection: close\r\n") != std::string::npos);
  RawSocket other(server->port());
  other.send("POST /b HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" + std::string(500'000, 'x'));
  answer(awaitRequest(1).caller, "fine");
  CHECK(other.readUntil("fine").starts_with("HTTP/1.1 200 "));
}

// Guards against stalled bodies that keep others from being served.
TEST(HttpServer, givesUpStalledBodiesWhenMemoryIsShort)
{
  options.account = std::make_shared<MemoryAccount>(1'000'000);
  options.maxBodyBytes = 2'000'000;
  options.receiveTimeout = Duration{ 60'000 };
  start();
  RawSocket stalled(server->port());
  stalled.send("POST /a HTTP/1.1\r\nContent-Length: 600000\r\n\r\n" + std::string(500'000, 'x'));
  bool served = false;
  const auto limit = std::chrono::steady_clock::now() + kTestLimit;
  while (!served && std::chrono::steady_clock::now() < limit) {
    RawSocket caller(server->port());
    caller.send("POST /b HTTP/1.1\r\nContent-Length: 500000\r\n\r\n");
    takeTurns(10);
    served = metric("rhubarbarch_http_evicted_total") > 0;
  }
  CHECK(served);
  CHECK(stalled.readUntil("\r\n").starts_with("HTTP/1.1 408 "));
}

// Guards against a slow but steady body being refused although it makes progress.
TEST(HttpServer, servesBodiesThatTakeLongerThanTheTimeOut)
{
  options.receiveTimeout = Duration{ 1000 };
  options.maxBodyBytes = 2'000'000;
  start();
  RawSocket caller(server->port());
  caller.send("POST /a HTTP/1.1\r\nContent-Length: 400000\r\n\r\n");
  for (int part = 0; part < 10; ++part) {
    caller.send(std::string(40'000, 'x'));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
  }
  CHECK_EQUAL(400'000U, awaitRequest(1).body.size());
}

// Guards against an account that keeps the bytes of connections that have ended.
TEST(HttpServer, returnsAllMemoryWhenConnectionsEnd)
{
  options.account = std::make_shared<MemoryAccount>(1'000'000);
  start();
  {
    RawSocket caller(server->port());
    caller.send("POST /a HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    answer(awaitRequest(1).caller, std::string(5000, 'y'));
    CHECK(caller.readUntil("yyy").starts_with("HTTP/1.1 200 "));
    CHECK(options.account->used() > 0);
  }
  const auto limit = std::chrono::steady_clock::now() + kTestLimit;
  while (options.account->used() > 0 && std::chrono::steady_clock::now() < limit) {
    takeTurns(1);
  }
  CHECK_EQUAL(0U, options.account->used());
}

// Guards against malformed requests and methods without meaning here reaching the router.
TEST(HttpServer, refusesMalformedRequests)
{
  start();
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request\r\n", statusOf("nonsense\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request\r\n", statusOf("GET noslash HTTP/1.1\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request\r\n",
               statusOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n").c_str());
  STRCMP_EQUAL("HTTP/1.1 405 Method Not Allowed\r\n", statusOf("TRACE / HTTP/1.1\r\n\r\n").c_str());
  CHECK(seen.copy().requests.empty());
}

// Guards against a caller that sends a request byte by byte holding a connection forever.
TEST(HttpServer, refusesRequestsThatTakeTooLong)
{
  options.receiveTimeout = Duration{ 50 };
  start();
  STRCMP_EQUAL("HTTP/1.1 408 Request Timeout\r\n", statusOf("GET / HTTP/1.1\r\nHost:").c_str());
  STRCMP_EQUAL("HTTP/1.1 408 Request Timeout\r\n", statusOf("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc").c_str());
}

// Guards against an unbounded number of connections.
TEST(HttpServer, answersTooManyConnectionsWith503)
{
  options.maxConnections = 1;
  start();
  RawSocket first(server->port());
  first.send("GET /a HTTP/1.1\r\n\r\n");
  const auto request = awaitRequest(1);
  RawSocket second(server->port());
  const auto refusal = second.readAll();
  CHECK(refusal.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
  CHECK(refusal.find("\r\nRetry-After: 1\r\n") != std::string::npos);
  CHECK(refusal.find("\"ran\":\"no\"") != std::string::npos);
  answer(request.caller, "fine");
  CHECK(first.readUntil("fine").ends_with("\r\n\r\nfine"));
}

// Guards against fields of a request being lost on the way to the router.
TEST(HttpServer, passesRequestOn)
{
  start();
  RawSocket caller(server->port());
  caller.send("POST /v1/completions?x=1 HTTP/1.1\r\nAuthorization: bearer key-1\r\nIdempotency-Key: k\r\n"
              "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
  const auto request = awaitRequest(1);
  STRCMP_EQUAL("POST", request.method.c_str());
  STRCMP_EQUAL("/v1/completions", request.path.c_str());
  STRCMP_EQUAL("key-1", request.apiKey.c_str());
  STRCMP_EQUAL("k", request.idempotencyKey.c_str());
  STRCMP_EQUAL("application/json", request.contentType.c_str());
  STRCMP_EQUAL("{}", request.body.c_str());
}

// Guards against answers to pipelined requests being mixed or reordered.
TEST(HttpServer, answersPipelinedRequestsInOrder)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
  for (std::size_t number = 1; number <= 3; ++number) {
    const auto request = awaitRequest(number);
    CHECK_EQUAL(number, seen.copy().requests.size());
    answer(request.caller, "<" + request.path + ">");
  }
  const auto answers = caller.readAll();
  const auto first = answers.find("</a>");
  const auto second = answers.find("</b>");
  CHECK(first < second && second < answers.find("</c>"));
  CHECK(answers.ends_with("</c>"));
}

// Guards against a retry hint that is rounded down, and against a stream whose end the caller cannot tell from a cut.
TEST(HttpServer, framesChunkedAnswers)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto id = awaitRequest(1).caller;
  loop.run([&] {
    router::ReplyHead head;
    head.caller = id;
    head.contentType = "text/event-stream\r\nInjected: x";
    head.retryAfter = Duration{ 1001 };
    head.requestId = "r1-1-1";
    head.chunked = true;
    server->reply(head);
    server->reply(router::ReplyBody{ id, "hello world, hello" });
    server->reply(router::ReplyEnd{ id });
  });
  const auto text = caller.readAll();
  CHECK(text.find("\r\nRetry-After: 2\r\n") != std::string::npos);
  CHECK(text.find("\r\nX-Request-Id: r1-1-1\r\n") != std::string::npos);
  CHECK(text.find("\r\nInjected") == std::string::npos);
  CHECK(text.ends_with("\r\n\r\n12\r\nhello world, hello\r\n0\r\n\r\n"));
}

// Guards against processor time and packets spent on the framing of answers: each event of a stream in three writes.
TEST(HttpServer, writesFramingTogetherWithTheBody)
{
  constexpr double kEvents = 5;
  start();
  RawSocket caller(server->port());
  caller.send("GET /plain HTTP/1.1\r\n\r\n");
  answer(awaitRequest(1).caller, "whole");
  CHECK(caller.readUntil("whole").ends_with("whole"));
  CHECK_EQUAL(1, writes());

  caller.send("GET /events HTTP/1.1\r\n\r\n");
  const auto id = awaitRequest(2).caller;
  loop.run([&] {
    router::ReplyHead head;
    head.caller = id;
    head.chunked = true;
    server->reply(head);
    server->reply(router::ReplyBody{ id, "event" });
  });
  for (int event = 1; event < kEvents; ++event) {
    CHECK(caller.readUntil("event\r\n").ends_with("event\r\n"));
    loop.run([&] { server->reply(router::ReplyBody{ id, "event" }); });
  }
  CHECK(caller.readUntil("event\r\n").ends_with("event\r\n"));
  CHECK_EQUAL(1 + kEvents, writes());
}

// Guards against a head waiting for a body that comes much later.
TEST(HttpServer, writesAHeadWithoutItsBody)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET /slow HTTP/1.1\r\n\r\n");
  const auto id = awaitRequest(1).caller;
  loop.run([&] {
    router::ReplyHead head;
    head.caller = id;
    head.chunked = true;
    server->reply(head);
  });
  CHECK(caller.readUntil("\r\n\r\n").ends_with("\r\n\r\n"));
}

// Guards against an answer that the upstream cut being taken for a whole one.
TEST(HttpServer, abortedAnswerHasNoEnd)
{
  start();
  RawSocket caller(server->port());
  abortAnswer(caller, "GET / HTTP/1.1\r\n\r\n");
  const auto text = caller.readAll();
  CHECK(text.ends_with("4\r\npart\r\n"));
  CHECK(seen.copy().gone.empty());
  CHECK_EQUAL(0U, server->answersInProgress());
}

// Guards against the same for a caller of HTTP/1.0, to whom the close of the connection is the end of a chunked answer.
TEST(HttpServer, abortedAnswerToHttp10IsReset)
{
  start();
  RawSocket caller(server->port());
  abortAnswer(caller, "GET / HTTP/1.0\r\n\r\n");
  CHECK(caller.readAll().ends_with("\r\n\r\npart"));
  CHECK(caller.wasReset());
}

// Guards against a caller that does not read being counted as having read, or delaying another caller.
TEST(HttpServer, slowReaderIsNotDrained)
{
  constexpr std::size_t kBytes = std::size_t{ 32 } * 1024 * 1024;
  start();
  RawSocket slow(server->port());
  slow.send("GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto slowId = awaitRequest(1).caller;
  answer(slowId, std::string(kBytes, 'x'));

  RawSocket other(server->port());
  other.send("GET /other HTTP/1.1\r\n\r\n");
  answer(awaitRequest(2).caller, "quick");
  CHECK(other.readUntil("quick").ends_with("quick"));
  CHECK(seen.copy().drained[slowId] < kBytes);

  CHECK(slow.readAll().size() > kBytes);
  CHECK(seen.wait([&](const Seen& aSeen) { return aSeen.drained.at(slowId) == kBytes; }));
}

// Guards against work going on for a caller that has left, also when it left later requests behind.
TEST(HttpServer, tellsWhenCallerIsGone)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET / HTTP/1.1\r\n\r\n");
  const auto id = awaitRequest(1).caller;
  caller.close();
  CHECK(seen.wait([&](const Seen& aSeen) { return aSeen.gone == std::vector{ id }; }));
  answer(id, "late");
  CHECK_EQUAL(0U, server->answersInProgress());
}

// Guards against GONE: connections waiting unaccepted behind a busy event loop until their callers have given up, while
// the loop itself is never late.
TEST(HttpServer, acceptsAllWaitingConnectionsInOneTurnOfTheLoop)
{
  constexpr std::size_t kCallers = 60;
  constexpr std::size_t kMostTurns = 10;
  start();
  std::vector<std::unique_ptr<RawSocket>> callers;
  loop.run([&] {
    while (callers.size() < kCallers) {
      callers.push_back(std::make_unique<RawSocket>(server->port()));
      callers.back()->send("GET / HTTP/1.1\r\n\r\n");
    }
    countTurns();
  });
  CHECK(seen.wait([&](const Seen& aSeen) { return aSeen.requests.size() == kCallers; }));
  CHECK(seen.copy().turns <= kMostTurns);
}

// Guards against GONE: a busy event loop passing on requests whose callers gave up while these lay unread.
TEST(HttpServer, requestsOfCallersThatLeftBeforeTheReadAreNotPassedOn)
{
  start();
  RawSocket patient(server->port());
  loop.run([&] {
    // The loop is busy here, so that the request and the close behind it are there when it reads.
    RawSocket hasty(server->port());
    hasty.send("POST /hasty HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
    hasty.close();
    patient.send("GET /patient HTTP/1.1\r\n\r\n");
  });
  STRCMP_EQUAL("/patient", awaitRequest(1).path.c_str());
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.abandoned.size() == 1; }));
  STRCMP_EQUAL("/hasty", seen.copy().abandoned.front().path.c_str());
  CHECK_EQUAL(1U, seen.copy().requests.size());
  CHECK_EQUAL(1U, server->answersInProgress());
}

// Guards against a graceful shutdown cutting an answer in progress.
TEST(HttpServer, stopLetsAnswersFinish)
{
  start();
  RawSocket caller(server->port());
  caller.send("GET / HTTP/1.1\r\n\r\n");
  const auto id = awaitRequest(1).caller;
  loop.run([&] { server->stop(); });
  answer(id, "whole");
  CHECK(caller.readAll().ends_with("whole"));
}
