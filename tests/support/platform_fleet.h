#pragma once

#include "http_caller.h"

#include "rhubarbarch/net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <sstream>
#include <thread>

namespace rhubarbarch::testing {

/// An HTTP server on loopback with a thread of its own.
class StandIn
{
public:
  /// @param aAnswer called on the server's thread for each request
  StandIn(std::uint16_t aPort, std::function<void(net::HttpServer&, const router::CallerRequest&)> aAnswer)
    : mServer(mContext, options(aPort), events(std::move(aAnswer)))
  {
    if (!mServer.listen()) {
      throw std::runtime_error("a stand-in cannot listen");
    }
    mThread = std::thread([this] { mContext.run(); });
  }

  ~StandIn()
  {
    mContext.stop();
    mThread.join();
  }
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;
  StandIn(StandIn&&) = delete;
  StandIn& operator=(StandIn&&) = delete;

private:
  static net::HttpServerOptions options(std::uint16_t aPort)
  {
    net::HttpServerOptions options;
    options.name = "stand-in";
    options.listen = { "127.0.0.1", aPort };
    options.passFields = true;
    options.maxHeaderBytes = 262'144;
    options.maxBodyBytes = std::size_t{ 8 } << 20U;
    return options;
  }

  net::HttpServerEvents events(std::function<void(net::HttpServer&, const router::CallerRequest&)> aAnswer)
  {
    net::HttpServerEvents events;
    events.request = [this, answer = std::move(aAnswer)](router::CallerRequest&& aRequest) {
      answer(mServer, aRequest);
    };
    events.drained = [](const router::CallerDrained&) {};
    events.gone = [](const router::CallerGone&) {};
    events.log = [](LogLine&&) {};
    events.congested = [] { return false; };
    return events;
  }

  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork{ mContext.get_executor() };
  net::HttpServer mServer;
  std::thread mThread;
};

inline void
sendAnswer(net::HttpServer& aServer, const router::CallerRequest& aRequest, const std::string& aBody)
{
  const auto id = std::ranges::find(aRequest.fields, "X-Request-Id", &HttpField::name);
  router::ReplyHead head;
  head.caller = aRequest.caller;
  head.contentType = "application/json";
  head.contentLength = aBody.size();
  head.fields = { { "X-Request-Id", id == aRequest.fields.end() ? "" : id->value },
                  { "X-Response-Signature", "signed" } };
  aServer.reply(head);
  aServer.reply(router::ReplyBody{ aRequest.caller, aBody });
  aServer.reply(router::ReplyEnd{ aRequest.caller });
}

/// Sends a part of an answer that has no stated length and never ends.
inline void
sendWithoutEnd(net::HttpServer& aServer, const router::CallerRequest& aRequest, std::size_t aBytes)
{
  const auto id = std::ranges::find(aRequest.fields, "X-Request-Id", &HttpField::name);
  router::ReplyHead head;
  head.caller = aRequest.caller;
  head.chunked = true;
  head.fields = { { "X-Request-Id", id == aRequest.fields.end() ? "" : id->value },
                  { "X-Response-Signature", "signed" } };
  aServer.reply(head);
  aServer.reply(router::ReplyBody{ aRequest.caller, std::string(aBytes, 'x') });
}

/// Limits of the processes and of their callers, lowered so that a small load exceeds them.
struct FleetLimits
{
  int gatewayMemoryMb = 64;
  int gatewayMaxFds = 1000;
  int controllerMemoryMb = 96;
  int controllerMaxFds = 400;
  int maxHeaderBytes = 16384;
  int maxBodyBytes = 1 << 20;
  int headerTimeoutMs = 10'000;
};

/// What a fleet routes to.
struct FleetUpstream
{
  std::uint16_t port = 0;                                           ///< of a server of the test; 0: one of the fleet
  std::map<std::string, std::string> kinds = { { "/a/", "safe" } }; ///< of routes, by the prefix of their paths
};

/// A controller and a gateway as real processes of the platform, an upstream and the platform's list as stand-ins.
///
/// Usage: `PlatformFleet fleet({}); if (!fleet.start()) { fail(fleet.logTails()); }`.
class PlatformFleet
{
public:
  explicit PlatformFleet(FleetLimits aLimits, FleetUpstream aUpstream = {})
    : mLimits(aLimits)
    , mKinds(std::move(aUpstream.kinds))
    , mFolder(programFolder() / "resource-tests" / std::to_string(::getpid()))
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
    const auto ports = freePorts(5);
    mFront = ports[0];
    mReady = ports[1];
    mControl = ports[2];
    mUpstreamPort = aUpstream.port == 0 ? ports[3] : aUpstream.port;
    mOwnsUpstream = aUpstream.port == 0;
    mListPort = ports[4];
    mFirstPort = freeRange();
  }

  ~PlatformFleet()
  {
    mProcesses.clear();
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;
  PlatformFleet(PlatformFleet&&) = delete;
  PlatformFleet& operator=(PlatformFleet&&) = delete;

  /// Starts everything and waits until the gateway has answered an ordinary request.
  bool start()
  {
    if (mOwnsUpstream) {
      startUpstream();
    }
    const auto list = nlohmann::json{
      { "Instances",
        { { { "Id", "i-1" },
            { "Service", "desk" },
            { "Address", "127.0.0.1:" + std::to_string(mUpstreamPort) },
            { "Zone", "a" },
            { "State", "ready" },
            { "Slots", 4000 } } } }
    }.dump();
    mList =
      std::make_unique<StandIn>(mListPort, [list](net::HttpServer& aServer, const router::CallerRequest& aRequest) {
        sendAnswer(aServer, aRequest, list);
      });
    startProcess("controller", "control", mLimits.controllerMemoryMb, mLimits.controllerMaxFds);
    startProcess("gateway", "front", mLimits.gatewayMemoryMb, mLimits.gatewayMaxFds);
    return configure(1, mLimits.maxHeaderBytes) && waitUntil([&] { return ordinary().status == 200; });
  }

  /// Puts a configuration in force at the controller.
  bool configure(int aVersion, int aMaxHeaderBytes) const
  {
    const HttpCall put{ "PUT", "/-/config", {}, {}, configuration(aVersion, aMaxHeaderBytes) };
    return waitUntil([&] { return callHttp(mControl, put).status == 200; });
  }

  HttpAnswer ordinary() const { return callHttp(mFront, { "POST", "/a/ordinary", {}, {}, "ordinary body" }); }
  HttpAnswer operate() const { return callHttp(mControl, { "GET", "/-/config", {}, {}, {} }); }

  std::uint16_t frontPort() const noexcept { return mFront; }
  std::uint16_t controlPort() const noexcept { return mControl; }
  const FleetLimits& limits() const noexcept { return mLimits; }
  /// Requests that the upstream got.
  int calls() const noexcept { return mCalls.load(); }

  /// Whether the process that was started still runs.
  bool alive(const std::string& aName) const
  {
    const auto pid = mProcesses.at(aName)->pid();
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    const auto state = text.rfind(") ");
    return state != std::string::npos && text[state + 2] != 'Z';
  }

  /// Most memory that the process had at any time; 0: it has ended.
  std::size_t peakBytes(const std::string& aName) const
  {
    std::ifstream file("/proc/" + std::to_string(mProcesses.at(aName)->pid()) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(6)) * 1024;
      }
    }
    return 0;
  }

  std::size_t descriptors(const std::string& aName) const
  {
    std::error_code ignored;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(mProcesses.at(aName)->pid()) + "/fd",
                                                    ignored);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }

  std::string logTails() const
  {
    std::string text;
    for (const auto& [name, process] : mProcesses) {
      text += process->logTail();
    }
    return text;
  }

private:
  /// Half of the largest answer that a gateway takes.
  static constexpr std::size_t kEndlessBytes = std::size_t{ 2 } << 20U;

  static bool isFree(std::uint16_t aPort)
  {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0) {
      return false;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = ::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(handle);
    return free;
  }

  /// First of three ports in a row that are free; the platform gives a process a range.
  static std::uint16_t freeRange()
  {
    constexpr std::size_t kCandidates = 60;
    const auto ports = freePorts(kCandidates);
    const auto found = std::ranges::find_if(ports, [](std::uint16_t aPort) {
      return aPort < 65'534 && isFree(aPort) && isFree(aPort + 1) && isFree(aPort + 2);
    });
    if (found == ports.end()) {
      throw std::runtime_error("no three free ports in a row");
    }
    return *found;
  }

  void startUpstream()
  {
    mUpstream =
      std::make_unique<StandIn>(mUpstreamPort, [this](net::HttpServer& aServer, const router::CallerRequest& aRequest) {
        ++mCalls;
        if (aRequest.target.starts_with("/a/endless")) {
          sendWithoutEnd(aServer, aRequest, kEndlessBytes);
        } else if (!aRequest.target.starts_with("/a/hold")) {
          sendAnswer(aServer, aRequest, "done");
        }
      });
  }

  std::string configuration(int aVersion, int aMaxHeaderBytes) const
  {
    auto routes = nlohmann::json::array();
    for (const auto& [prefix, kind] : mKinds) {
      routes.push_back({ { "Name", "r" + prefix },
                         { "Hostname", "127.0.0.1" },
                         { "PathPrefix", prefix },
                         { "Kind", kind },
                         { "TimeoutMs", 20'000 },
                         { "TargetLatencyMs", 10'000 },
                         { "Service", "desk" },
                         { "MaxAttempts", 1 },
                         { "Public", true } });
    }
    const nlohmann::json limits = { { "MaxHeaderBytes", aMaxHeaderBytes },
                                    { "MaxBodyBytes", mLimits.maxBodyBytes },
                                    { "HeaderTimeoutMs", mLimits.headerTimeoutMs },
                                    { "IdleTimeoutMs", 30'000 } };
    const nlohmann::json document = {
      { "Version", aVersion },
      { "Routes", routes },
      { "Services", { { { "Name", "desk" }, { "HealthPath", "/healthz" }, { "MaxConns", 4000 } } } },
      { "Limits", limits }
    };
    return document.dump();
  }

  void startProcess(const std::string& aName, const std::string& aServes, int aMemoryMb, int aMaxFds)
  {
    const auto at = [](std::uint16_t aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    const auto folder = mFolder / aName;
    std::filesystem::create_directories(folder);
    const nlohmann::json node = {
      { "Node", aName },
      { "Serves", { aServes } },
      { "Ip", "127.0.0.1" },
      { "Zone", "a" },
      { "Region", "test" },
      { "Listen", { { "Front", at(mFront) }, { "Ready", at(mReady) }, { "Control", at(mControl) } } },
      { "PortRange", { mFirstPort, mFirstPort + 2 } },
      { "Seeds", { at(mControl) } },
      { "Bootstrap", true },
      { "DataDir", folder.string() },
      { "Limits", { { "MemoryMb", aMemoryMb }, { "MaxFds", aMaxFds } } },
      { "Bounds", { { "GraceS", 8 }, { "RetryBudgetRatio", 0.2 }, { "RetryBudgetSlack", 60 } } },
      { "Cloud", { { "Address", at(mListPort) } } }
    };
    const auto file = mFolder / (aName + ".json");
    std::ofstream(file) << node.dump();
    ::setenv("RHUBARBARCH_NODE_FILE", file.c_str(), 1);
    mProcesses[aName] = std::make_unique<ChildProcess>(
      std::vector<std::string>{ programFolder() / "rhubarbarchd", "--platform" }, mFolder / (aName + ".log"));
  }

  FleetLimits mLimits;
  std::map<std::string, std::string> mKinds;
  std::filesystem::path mFolder;
  std::uint16_t mFront = 0;
  std::uint16_t mReady = 0;
  std::uint16_t mControl = 0;
  std::uint16_t mUpstreamPort = 0;
  bool mOwnsUpstream = true;
  std::uint16_t mListPort = 0;
  std::uint16_t mFirstPort = 0;
  std::atomic<int> mCalls{ 0 };
  std::unique_ptr<StandIn> mUpstream;
  std::unique_ptr<StandIn> mList;
  std::map<std::string, std::unique_ptr<ChildProcess>> mProcesses;
};

} // namespace rhubarbarch::testing
