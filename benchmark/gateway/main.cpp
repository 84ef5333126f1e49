// Processor time of a gateway for each request, with its callers, upstreams and log on loopback.
//
// Usage: benchmark_gateway [--requests=4000] [--events=14]

#include "../../src/daemon/parts.h"

#include "rhubarbarch/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <gflags/gflags.h>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <future>
#include <map>
#include <numeric>
#include <thread>

DEFINE_int32(requests, 4000, "requests of all callers");
DEFINE_int32(events, 14, "events of each stream");
DEFINE_int32(callers, 32, "callers at a time");
DEFINE_int32(upstreams, 48, "engines in the list");

using namespace rhubarbarch;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t kGatewayPort = 18640;
constexpr std::uint16_t kReadyPort = 18641;
constexpr std::uint16_t kUpstreamPort = 18642;
constexpr Duration kEventGap{ 5 };
constexpr int kNewConnectionEvery = 3;

using Seconds = std::chrono::duration<double>;

Seconds
processorTime(int aWho)
{
  rusage usage{};
  getrusage(aWho, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return Seconds(seconds(usage.ru_utime) + seconds(usage.ru_stime));
}

std::string
requestIdOf(const router::CallerRequest& aRequest)
{
  const auto found = std::ranges::find(aRequest.fields, "X-Request-Id", &HttpField::name);
  return found == aRequest.fields.end() ? "" : found->value;
}

/// Answers each request with a stream of events that come one by one.
class Upstream
{
public:
  Upstream()
    : mServer(mThread.context, options(), events())
  {
    if (!mServer.listen()) {
      std::abort();
    }
    mThread.start();
  }

  Seconds time()
  {
    std::promise<Seconds> time;
    boost::asio::post(mThread.context, [&] { time.set_value(processorTime(RUSAGE_THREAD)); });
    return time.get_future().get();
  }

private:
  static net::HttpServerOptions options()
  {
    net::HttpServerOptions options;
    options.name = "upstream";
    options.listen = { "127.0.0.1", kUpstreamPort };
    options.passFields = true;
    return options;
  }

  net::HttpServerEvents events()
  {
    net::HttpServerEvents events;
    events.request = [this](router::CallerRequest&& aRequest) {
      router::ReplyHead head;
      head.caller = aRequest.caller;
      head.contentType = "text/event-stream";
      head.fields = { { "X-Request-Id", requestIdOf(aRequest) }, { "X-Response-Signature", "s" } };
      head.chunked = true;
      mServer.reply(head);
      pass(aRequest.caller, 1);
    };
    events.drained = [](const router::CallerDrained&) {};
    events.gone = [](const router::CallerGone&) {};
    events.log = [](LogLine&&) {};
    events.congested = [] { return false; };
    return events;
  }

  void pass(router::CallerId aCaller, int aEvent)
  {
    if (aEvent > FLAGS_events) {
      mServer.reply(router::ReplyEnd{ aCaller });
      return;
    }
    mServer.reply(router::ReplyBody{ aCaller, "id: " + std::to_string(aEvent) + "\ndata: some tokens of text\n\n" });
    const auto timer = std::make_shared<boost::asio::steady_timer>(mThread.context, kEventGap);
    timer->async_wait([this, timer, aCaller, aEvent](const auto&) { pass(aCaller, aEvent + 1); });
  }

  daemon::IoThread mThread;
  net::HttpServer mServer;
};

/// One caller after another request; every third one on a new connection.
class Caller
{
public:
  explicit Caller(std::atomic<int>& aLeft)
    : mLeft(aLeft)
    , mSocket(mContext)
  {
  }

  Seconds run()
  {
    while (mLeft.fetch_sub(1) > 0) {
      call(mCalls++);
    }
    return processorTime(RUSAGE_THREAD);
  }

private:
  void call(int aNumber)
  {
    if (aNumber % kNewConnectionEvery == 0) {
      mSocket = tcp::socket(mContext);
      mSocket.connect({ boost::asio::ip::make_address("127.0.0.1"), kGatewayPort });
    }
    const auto id = std::to_string(reinterpret_cast<std::uintptr_t>(this)) + "-" + std::to_string(aNumber);
    const std::string body(3000, 'p');
    boost::asio::write(mSocket,
                       boost::asio::buffer("POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                                           "\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,"
                                           "91bd3f06:410," +
                                           id + ":250\r\nX-Deadline-Ms: 20000\r\nX-Key: gold-key\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body));
    std::string text;
    boost::asio::read_until(mSocket, boost::asio::dynamic_buffer(text), "\r\n0\r\n\r\n");
  }

  std::atomic<int>& mLeft;
  boost::asio::io_context mContext;
  tcp::socket mSocket;
  int mCalls = 0;
};

GatewayState
document(Boot aBoot)
{
  GatewayState state;
  state.instance = "gateway";
  state.boot = aBoot;
  state.number = 1;
  state.session = SessionId{ 1 };
  state.hasRouting = true;
  state.routingVersion = 1;
  auto& table = state.routing;
  table.version = 1;
  Route route;
  route.name = "draft";
  route.host = "shop.example";
  route.pathPrefix = "/draft/";
  route.kind = CallKind::kStream;
  route.services = { { "engine", 1 } };
  route.timeoutMs = 20'000;
  route.targetLatencyMs = 600;
  table.routes = { route };
  table.services = { { "engine", "/healthz", 500, true, { 64, 245'000, 5 } } };
  table.plans = { { "gold", { "gold-key" }, 1, 1'000'000'000 } };
  table.limits = { 16'384, 4'194'304, 3000, 15'000 };
  state.hasUpstreams = true;
  state.upstreamsRevision = 1;
  state.upstreamsAgeMs = 0;
  for (int number = 0; number < FLAGS_upstreams; ++number) {
    state.upstreams.push_back({ "i-" + std::to_string(number),
                                "engine",
                                "127.0.0.1:" + std::to_string(kUpstreamPort),
                                "a",
                                "v1",
                                64,
                                0,
                                false });
  }
  state.plans = { { "gold", 1'000'000'000, 0, false } };
  state.gateways = 28;
  return state;
}

settings::Settings
gatewaySettings()
{
  settings::Settings settings;
  settings.instance = "gateway";
  settings.dataCentre = "a";
  settings.gateway = true;
  settings.caller.listen = { "127.0.0.1", kGatewayPort };
  settings.gatewaySettings.ready = { "127.0.0.1", kReadyPort };
  return settings;
}

} // namespace

int
main(int aArguments, char** aValues)
{
  gflags::ParseCommandLineFlags(&aArguments, &aValues, true);
  constexpr Boot kBoot{ 1 };
  const auto settings = gatewaySettings();
  std::atomic<std::uint64_t> logged{ 0 };
  net::LogWriter log("gateway", [&](const std::string& aLines) { logged += 1 + std::ranges::count(aLines, '\n'); });
  daemon::RoleDispatcher dispatcher("gateway");
  net::Inbox<daemon::PeerCommand> peers(
    daemon::kLaneCount, daemon::kRingEvents, daemon::kOverflowMessages, [&peers] { peers.drain([](auto&&) {}); });
  dispatcher.peers = &peers;
  daemon::Process process{ settings, log, dispatcher, kBoot, "127.0.0.1:18643", [](Role) {}, [] {} };
  auto gateway = daemon::makeGatewayPart(process);
  if (!gateway) {
    std::fprintf(stderr, "%s\n", gateway.error().detail.c_str());
    return 1;
  }
  Upstream upstream;
  gateway.value()->start();
  dispatcher.gateway->push(daemon::kFromPeers,
                           gateway::PeerMessage{ { "controller", Role::kController }, document(kBoot) });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));

  std::atomic<int> left{ FLAGS_requests };
  const auto before = processorTime(RUSAGE_SELF) - upstream.time();
  const auto started = std::chrono::steady_clock::now();
  std::vector<std::future<Seconds>> callers;
  callers.reserve(static_cast<std::size_t>(FLAGS_callers));
  for (int number = 0; number < FLAGS_callers; ++number) {
    callers.push_back(std::async(std::launch::async, [&left] { return Caller(left).run(); }));
  }
  const auto callerTime = std::accumulate(
    callers.begin(), callers.end(), Seconds{}, [](Seconds aSum, auto& aEach) { return aSum + aEach.get(); });
  const Seconds taken = std::chrono::steady_clock::now() - started;
  const auto time = processorTime(RUSAGE_SELF) - upstream.time() - before - callerTime;
  std::printf("%d requests of %d events in %.2f s: %.0f us of processor time a request, %.2f log lines a request\n",
              FLAGS_requests,
              FLAGS_events,
              taken.count(),
              time.count() * 1e6 / FLAGS_requests,
              static_cast<double>(logged.load()) / FLAGS_requests);
  gateway.value()->stop();
  return 0;
}
