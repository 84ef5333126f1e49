// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "../net/net_support.h"
#include "request_headers.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::platform;

namespace {

struct Seen
{
  int answers = 0;
  int failures = 0;
};

} // namespace

TEST_GROUP(UpstreamCall)
{
  net::LoopThread loop;
  net::RawListener listener;
  net::Watched<Seen> seen;
  std::shared_ptr<net::HttpPool> pool;

  void setup() override
  {
    const settings::Endpoint endpoint{ "127.0.0.1", listener.port() };
    pool = std::make_shared<net::HttpPool>(net::HttpPool{ loop.context, endpoint, {}, 4 });
  }

  void teardown() override
  {
    loop.run([&] { pool->idle.clear(); });
    loop.stop();
  }

  void call(const char* aId)
  {
    gateway::StartCall start;
    start.method = "GET";
    start.target = "/stock/1";
    start.upstreamId = "i-7f";
    start.fields = { { "X-Request-Id", aId } };
    start.deadline = Duration{ 3000 };
    start.repeatable = true;
    net::HttpCallEvents events;
    events.head = [](const net::HttpAnswerHead&) {};
    events.data = [](std::string&&) {};
    events.end = [this] { seen.change([](Seen& aSeen) { ++aSeen.answers; }); };
    events.error = [this](const net::HttpFailure&) { seen.change([](Seen& aSeen) { ++aSeen.failures; }); };
    loop.run([&] { net::startHttpExchange(pool, encodeCall(start), std::move(events)); });
  }
};

// Guards against repeats of calls that the retry limit of the fleet does not count: an upstream that reads a call on a
// kept connection and closes it must not get the call again without a decision of the gateway.
TEST(UpstreamCall, isNotSentAgainWhenAKeptConnectionCloses)
{
  call("q1");
  net::RawSocket upstream(listener.acceptor);
  upstream.readUntil("\r\n\r\n");
  upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.answers == 1; }));
  call("q2");
  CHECK(upstream.readUntil("\r\n\r\n").find("q2") != std::string::npos);
  upstream.reset();
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.failures == 1; }));
}
