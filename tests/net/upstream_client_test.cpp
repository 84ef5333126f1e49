#include "net_support.h"
#include "rhubarbarch/net/upstream_client.h"

#include <memory>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;
using agent::ExchangeFailure;
using agent::ExchangeId;

namespace {

struct Seen
{
  std::int32_t status = 0;
  std::string data;
  bool ended = false;
  std::optional<ExchangeFailure> failure;
  std::optional<agent::LoadReport> load;
  std::vector<agent::CacheEvent> cache;
};

void
note(Seen& aSeen, agent::Event&& aEvent)
{
  if (const auto* head = std::get_if<agent::UpstreamHead>(&aEvent)) {
    aSeen.status = head->httpStatus;
  } else if (const auto* data = std::get_if<agent::UpstreamData>(&aEvent)) {
    aSeen.data += data->data;
  } else if (std::holds_alternative<agent::UpstreamEnd>(aEvent)) {
    aSeen.ended = true;
  } else if (const auto* error = std::get_if<agent::UpstreamError>(&aEvent)) {
    aSeen.failure = error->failure;
  } else if (auto* load = std::get_if<agent::LoadReport>(&aEvent)) {
    aSeen.load = std::move(*load);
  } else if (const auto* cache = std::get_if<agent::CacheEvent>(&aEvent)) {
    aSeen.cache.push_back(*cache);
  }
}

} // namespace

TEST_GROUP(UpstreamClient)
{
  LoopThread loop;
  Watched<Seen> seen;
  RawListener listener;
  std::unique_ptr<UpstreamClient> client;
  UpstreamOptions options;

  void start(std::uint16_t aPort)
  {
    options.endpoint = { "127.0.0.1", aPort };
    UpstreamEvents events;
    events.event = [this](agent::Event&& aEvent) { seen.change([&](Seen& aSeen) { note(aSeen, std::move(aEvent)); }); };
    events.log = [](LogLine&&) {};
    events.congested = [] { return false; };
    loop.run([&] { client = std::make_unique<UpstreamClient>(loop.context, options, events); });
  }

  void teardown() override
  {
    loop.run([&] { client.reset(); });
    loop.stop();
  }

  void send(agent::UpstreamStart aStart)
  {
    aStart.exchange = ExchangeId{ 1 };
    loop.run([&] { client->handle(aStart); });
  }

  static agent::UpstreamStart run(std::string aBody)
  {
    agent::UpstreamStart start;
    start.method = "POST";
    start.path = "/v1/completions";
    start.body = std::move(aBody);
    return start;
  }

  ExchangeFailure awaitFailure()
  {
    CHECK(seen.wait([](const Seen& aSeen) { return aSeen.failure.has_value(); }));
    return seen.copy().failure.value_or(ExchangeFailure{});
  }
};

// Guards against a request that surely did not reach the upstream being reported as one that may have run.
TEST(UpstreamClient, refusedConnectionIsNotSent)
{
  const auto port = listener.port();
  listener.acceptor.close();
  start(port);
  send(run("{}"));
  CHECK(awaitFailure() == ExchangeFailure::kNotSent);
}

// Guards against a request that may have run being reported as not sent, and so run again.
TEST(UpstreamClient, closeAfterRequestIsBroken)
{
  start(listener.port());
  send(run("{}"));
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  upstream.close();
  CHECK(awaitFailure() == ExchangeFailure::kBroken);
}

// Guards against the same when the time limit strikes while the request is only partly written.
TEST(UpstreamClient, timeoutWhileSendingIsBroken)
{
  start(listener.port());
  auto request = run(std::string(std::size_t{ 64 } * 1024 * 1024, 'x'));
  request.timeout = Duration{ 100 };
  send(std::move(request));
  RawSocket upstream(listener.acceptor);
  CHECK(awaitFailure() == ExchangeFailure::kBroken);
}

// Guards against an answer that breaks off being taken for a whole one.
TEST(UpstreamClient, shortAnswerIsBroken)
{
  start(listener.port());
  send(run("{}"));
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  upstream.close();
  CHECK(awaitFailure() == ExchangeFailure::kBroken);
  CHECK_FALSE(seen.copy().ended);
  STRCMP_EQUAL("abc", seen.copy().data.c_str());
}

// Guards against an answer whose head breaks off being passed on as a whole one, at whichever byte its upstream stops:
// a 200 with an empty or short body.
TEST(UpstreamClient, believesNoHeadThatBreaksOff)
{
  start(listener.port());
  for (const std::string fields : { "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "X-Field: y\r\n" }) {
    const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + fields + "\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
      seen.change([](Seen& aSeen) { aSeen = {}; });
      send(run("{}"));
      RawSocket upstream(listener.acceptor);
      upstream.readUntil("{}");
      upstream.send(head.substr(0, size));
      upstream.close();
      CHECK(awaitFailure() == ExchangeFailure::kBroken);
      CHECK_EQUAL(0, seen.copy().status);
      CHECK_FALSE(seen.copy().ended);
    }
  }
}

// Guards against an answer without length or chunks being taken for broken when it ends with its connection, and for a
// whole one when the connection is reset.
TEST(UpstreamClient, answerWithoutLengthEndsWithItsConnection)
{
  start(listener.port());
  for (const bool reset : { false, true }) {
    seen.change([](Seen& aSeen) { aSeen = {}; });
    send(run("{}"));
    RawSocket upstream(listener.acceptor);
    upstream.readUntil("{}");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n");
    CHECK(seen.wait([](const Seen& aSeen) { return !aSeen.data.empty(); }));
    if (reset) {
      upstream.reset();
      CHECK(awaitFailure() == ExchangeFailure::kBroken);
    } else {
      upstream.close();
      CHECK(seen.wait([](const Seen& aSeen) { return aSeen.ended || aSeen.failure.has_value(); }));
    }
    CHECK_EQUAL(!reset, seen.copy().ended);
    STRCMP_EQUAL("id: 1\ndata: x\n\n", seen.copy().data.c_str());
  }
}

// Guards against an upstream that goes silent in the middle of an answer being waited for without limit.
TEST(UpstreamClient, silentAnswerIsBroken)
{
  start(listener.port());
  auto request = run("{}");
  request.timeout = Duration{ 100 };
  send(std::move(request));
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(awaitFailure() == ExchangeFailure::kBroken);
}

// Guards against bytes that are no answer filling the memory of the process or holding a call while they last: a head,
// a chunk's header or a trailer without end, and interim answers one after the other.
TEST(UpstreamClient, leavesAnswersWithoutEnd)
{
  constexpr std::size_t kMost = std::size_t{ 64 } * 1024 * 1024;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(std::size_t{ 64 } * 1024, 'x');
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string interims;
  while (interims.size() < filler.size()) {
    interims += interim;
  }
  const std::vector<std::pair<std::string, std::string>> answers = { { "HTTP/1.1 200 OK\r\nX-Field: ", filler },
                                                                     { chunked + "5;", filler },
                                                                     { chunked + "0\r\nX-Field: ", filler },
                                                                     { chunked + "0\r\n", "X: y\r\n" + filler },
                                                                     { interim, interims } };
  start(listener.port());
  for (const auto& [begin, more] : answers) {
    seen.change([](Seen& aSeen) { aSeen = {}; });
    send(run("{}"));
    RawSocket upstream(listener.acceptor);
    upstream.readUntil("{}");
    upstream.send(begin);
    CHECK(upstream.sendWithoutEnd(more, kMost));
    CHECK(awaitFailure() == ExchangeFailure::kBroken);
    CHECK_FALSE(seen.copy().ended);
  }
}

// Guards against an answer being buffered in the agent while its reader is slow.
TEST(UpstreamClient, pauseStopsReading)
{
  constexpr std::size_t kBytes = std::size_t{ 32 } * 1024 * 1024;
  start(listener.port());
  send(run("{}"));
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  upstream.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n");
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.status == 200; }));
  loop.run([&] { client->handle(agent::UpstreamPause{ ExchangeId{ 1 } }); });
  const auto atPause = seen.copy().data.size();
  std::thread writer([&] { upstream.send(std::string(kBytes, 'x')); });
  // Each turn of the loop would read once if reading went on.
  for (int turn = 0; turn < 100; ++turn) {
    loop.run([] {});
  }
  CHECK_EQUAL(atPause, seen.copy().data.size());
  loop.run([&] { client->handle(agent::UpstreamContinue{ ExchangeId{ 1 } }); });
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.ended; }));
  writer.join();
  CHECK_EQUAL(kBytes, seen.copy().data.size());
}

// Guards against a pause that strikes with an answer already whole losing its end.
TEST(UpstreamClient, pauseHoldsEndBack)
{
  start(listener.port());
  send(run("{}"));
  loop.run([&] { client->handle(agent::UpstreamPause{ ExchangeId{ 1 } }); });
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.status == 200; }));
  CHECK_FALSE(seen.copy().ended);
  loop.run([&] { client->handle(agent::UpstreamContinue{ ExchangeId{ 1 } }); });
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.ended; }));
  STRCMP_EQUAL("abc", seen.copy().data.c_str());
}

// Guards against an upstream working on for a run that was cancelled.
TEST(UpstreamClient, cancelTellsUpstream)
{
  start(listener.port());
  send(run("{}"));
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  loop.run([&] { client->handle(agent::UpstreamCancel{ ExchangeId{ 1 }, "r1-1-1", true }); });
  RawSocket control(listener.acceptor);
  CHECK(control.readUntil("r1-1-1\"}").starts_with("POST /engine/cancel HTTP/1.1\r\n"));
  STRCMP_EQUAL("", upstream.readAll().c_str());
  CHECK_FALSE(seen.copy().failure.has_value());
}

// Guards against orders failing because a kept connection was closed by the upstream in the meantime.
TEST(UpstreamClient, orderIsRepeatedOnNewConnection)
{
  start(listener.port());
  auto order = run("{}");
  order.path = "/engine/load_version";
  order.fence = FenceNumber{ 7 };
  send(order);
  {
    RawSocket upstream(listener.acceptor);
    CHECK(upstream.readUntil("{}").find("\r\nX-Fence: 7\r\n") != std::string::npos);
    upstream.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    CHECK(seen.wait([](const Seen& aSeen) { return aSeen.ended; }));
  }
  seen.change([](Seen& aSeen) { aSeen = {}; });
  send(order);
  RawSocket upstream(listener.acceptor);
  upstream.readUntil("{}");
  upstream.send("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.ended; }));
  CHECK_EQUAL(409, seen.copy().status);
}

// Guards against reports of the engine being lost or asked for from the wrong place.
TEST(UpstreamClient, pollsEngine)
{
  start(listener.port());
  loop.run([&] { client->startPolls(); });
  RawSocket upstream(listener.acceptor);
  const auto answer = [&](const std::string& aBody) {
    const auto request = upstream.readUntil("\r\n\r\n");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    return request;
  };
  answer(R"({"kv_used_bytes":5,"kv_capacity_bytes":9,"running":2,"loaded":[{"model":"m","version":"v"}]})");
  CHECK(answer(R"({"events":[{"sequence":41,"stored":true,"prefix_hash":3}]})")
          .starts_with("GET /engine/cache_events?after=0 "));
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.load.has_value() && aSeen.cache.size() == 1; }));
  CHECK_EQUAL(2, seen.copy().load.value_or(agent::LoadReport{}).running);
  answer("not json");
  CHECK(answer(R"({"events":[]})").starts_with("GET /engine/cache_events?after=41 "));
}
