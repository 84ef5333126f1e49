#include "net_support.h"
#include "rhubarbarch/net/http_exchange.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

namespace {

struct Seen
{
  int calls = 0;
  std::int32_t status = -1;
};

} // namespace

TEST_GROUP(HttpFetch)
{
  LoopThread loop;
  RawListener listener;
  Watched<Seen> seen;
  std::shared_ptr<HttpPool> pool;

  void teardown() override
  {
    loop.stop();
  }

  void start(Duration aTimeout)
  {
    pool = std::make_shared<HttpPool>(HttpPool{ loop.context, { "127.0.0.1", listener.port() }, {}, 1 });
    HttpCall call;
    call.timeout = aTimeout;
    call.connectTimeout = aTimeout;
    loop.run([&] {
      fetch(pool, std::move(call), [this](std::int32_t aStatus, const std::string&) {
        seen.change([&](Seen& aSeen) { aSeen = { aSeen.calls + 1, aStatus }; });
      });
    });
  }

  bool failed()
  {
    return seen.wait([](const Seen& aSeen) { return aSeen.calls == 1 && aSeen.status == 0; });
  }
};

// Guards against an answer without end keeping its reader, such as that of the platform's list, from ever reading
// again.
TEST(HttpFetch, leavesABodyWithoutEnd)
{
  constexpr std::size_t kMost = std::size_t{ 64 } * 1024 * 1024;
  start(Duration{ 10'000 });
  RawSocket server(listener.acceptor);
  server.readUntil("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\n\r\n");
  CHECK(server.sendWithoutEnd(std::string(std::size_t{ 64 } * 1024, 'x'), kMost));
  CHECK(failed());
}

// Guards against the same with an answer that brings a byte now and then.
TEST(HttpFetch, leavesATricklingBody)
{
  start(Duration{ 200 });
  RawSocket server(listener.acceptor);
  server.readUntil("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\n\r\n");
  bool closed = false;
  for (int i = 0; i < 100 && !closed; ++i) {
    closed = !server.send("x");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(closed);
  CHECK(failed());
}

// Guards against the limits striking at an answer that comes in time.
TEST(HttpFetch, gathersAWholeAnswer)
{
  start(Duration{ 10'000 });
  RawSocket server(listener.acceptor);
  server.readUntil("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.calls == 1 && aSeen.status == 200; }));
}
