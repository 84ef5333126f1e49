#include "execute.h"
#include "loop_figures.h"
#include "parts.h"
#include "role_options.h"

#include "../../platform/instance_list.h"
#include "../../platform/request_headers.h"

#include "rhubarbarch/gateway/gateway_role.h"
#include "rhubarbarch/net/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <unordered_map>
#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

namespace {

/// Connections kept to one upstream.
constexpr std::size_t kMaxIdleConnections = 16;
/// How often connections that upstreams are about to close are closed.
constexpr Duration kPrunePeriod{ 1000 };
/// How often figures for the metrics page are taken.
constexpr Duration kPublishPeriod{ 500 };

TimePoint
now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// An open request besides its head and body: its state, the call to its upstream with a read buffer of 16 KB, parser
/// and fields.
constexpr std::size_t kOpenRequestBytes = std::size_t{ 24 } * 1024;

net::HttpServerOptions
readyServerOptions(const Process& aProcess)
{
  net::HttpServerOptions options;
  options.name = "ready";
  options.listen = aProcess.settings.gatewaySettings.ready;
  options.account = aProcess.memory;
  return options;
}

net::HttpServerOptions
gatewayServerOptions(const Process& aProcess)
{
  auto options = callerServerOptions(aProcess.settings.caller);
  options.passFields = true;
  options.openRequestBytes = kOpenRequestBytes;
  options.account = aProcess.memory;
  return options;
}

/// The gateway role with its callers and upstreams on one thread: handing each event of a stream from thread to thread
/// would cost a wake-up a hop.
class GatewayPart : public RolePart
{
public:
  explicit GatewayPart(Process& aProcess)
    : mProcess(aProcess)
    , mServer(mThread.context, gatewayServerOptions(aProcess), callerEvents())
    , mReadyServer(mThread.context, readyServerOptions(aProcess), readyEvents())
    , mInbox(
        kLaneCount,
        kRingEvents,
        kOverflowMessages,
        [this] {
          boost::asio::post(mThread.context,
                            [this] { mInbox.drain([this](gateway::Event&& aEvent) { handle(aEvent); }); });
        },
        kInboxBytes)
    , mTimer(mThread.context)
    , mRole(gatewayOptions(aProcess.settings, aProcess.endpoint),
            aProcess.boot,
            std::mt19937_64(std::random_device{}()))
  {
    mProcess.dispatcher.gateway = &mInbox;
    if (const auto& list = mProcess.settings.upstreamList) {
      mReader = std::make_unique<platform::InstanceListReader>(
        mThread.context,
        *list,
        [this](std::vector<UpstreamEntry>&& aList) { handle(gateway::UpstreamsRead{ std::move(aList) }); },
        [this](const LogLine& aLine) { mProcess.log.write(aLine); });
    }
  }

  ~GatewayPart() override { mThread.stop(); }
  GatewayPart(const GatewayPart&) = delete;
  GatewayPart& operator=(const GatewayPart&) = delete;

  Result<void> listen()
  {
    BOOST_OUTCOME_TRY(mServer.listen());
    return mReadyServer.listen();
  }

  Role role() const noexcept override { return Role::kRouter; }

  void start() override
  {
    awaitTick();
    mThread.start();
  }

  void contacts(const std::vector<std::string>& aControllers) override
  {
    boost::asio::post(mThread.context, [this, aControllers] { handle(gateway::Contacts{ aControllers }); });
  }

  void shutdown() override
  {
    boost::asio::post(mThread.context, [this] {
      mServer.drain();
      handle(gateway::Shutdown{});
    });
  }

  bool flushed() const override { return mServer.answersInProgress() == 0; }
  void stop() override { mThread.stop(); }
  bool ready() const override { return mReady.load(); }

  Metrics metrics() const override
  {
    Metrics metrics;
    {
      const std::scoped_lock lock(mMutex);
      metrics = mPublished;
    }
    std::ranges::move(mServer.metrics(), std::back_inserter(metrics));
    return metrics;
  }

private:
  struct Call
  {
    std::string requestId;
    std::shared_ptr<net::HttpExchange> exchange;
  };

  net::HttpServerEvents callerEvents()
  {
    net::HttpServerEvents events;
    events.request = [this](router::CallerRequest&& aRequest) { handle(platform::decodeCall(std::move(aRequest))); };
    events.abandoned = [this](router::CallerRequest&& aRequest) {
      handle(gateway::CallerAbandoned{ platform::decodeCall(std::move(aRequest)).requestId });
    };
    events.drained = [this](const router::CallerDrained& aDrained) { handle(aDrained); };
    events.gone = [this](const router::CallerGone& aGone) { handle(aGone); };
    events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
    events.congested = [] { return false; };
    return events;
  }

  net::HttpServerEvents readyEvents()
  {
    net::HttpServerEvents events;
    events.request = [this](router::CallerRequest&& aRequest) {
      router::ReplyHead head;
      head.caller = aRequest.caller;
      head.httpStatus = mRole.ready() ? 200 : 503;
      mReadyServer.reply(head);
      mReadyServer.reply(router::ReplyEnd{ aRequest.caller });
    };
    events.drained = [](const router::CallerDrained&) {};
    events.gone = [](const router::CallerGone&) {};
    events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
    events.congested = [] { return false; };
    return events;
  }

  void awaitTick()
  {
    mTimer.expires_after(kTickPeriod);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        noteDelay();
        handle(gateway::Tick{});
        publish();
        awaitTick();
      }
    });
  }

  /// A timer that is handled late waited behind the same events as a request that is read now.
  void noteDelay()
  {
    const auto delay = std::chrono::steady_clock::now() - mTimer.expiry();
    mDelays.add(1, std::chrono::duration_cast<std::chrono::microseconds>(delay));
    handle(gateway::LoopDelay{ std::chrono::duration_cast<Duration>(delay) });
  }

  void publish()
  {
    mReady = mRole.ready();
    if (now() >= mNextPrune) {
      mNextPrune = now() + kPrunePeriod;
      prunePools();
    }
    if (now() < mNextPublish) {
      return;
    }
    mNextPublish = now() + kPublishPeriod;
    auto metrics = mRole.metrics();
    std::ranges::move(mDelays.take("gateway"), std::back_inserter(metrics));
    const std::scoped_lock lock(mMutex);
    mPublished = std::move(metrics);
  }

  void prunePools()
  {
    std::erase_if(mPools, [](const auto& aItem) {
      net::pruneIdle(*aItem.second);
      return aItem.second->idle.empty() && aItem.second.use_count() == 1;
    });
  }

  /// Events that arise while actions are executed wait their turn.
  void handle(const gateway::Event& aEvent)
  {
    mPending.push_back(aEvent);
    if (std::exchange(mHandling, true)) {
      return;
    }
    while (!mPending.empty()) {
      const auto event = std::move(mPending.front());
      mPending.pop_front();
      executeEach(mRole.handle(event, now()),
                  [this](auto&& aAction) { run(std::forward<decltype(aAction)>(aAction)); });
    }
    mHandling = false;
  }

  std::shared_ptr<net::HttpPool> poolOf(const gateway::StartCall& aCall)
  {
    // By instance, too: another instance may get the address, and its connections must not be mixed up.
    auto& pool = mPools[aCall.endpoint + "/" + aCall.upstreamId];
    if (!pool) {
      const auto endpoint = settings::parseEndpoint(aCall.endpoint);
      pool = std::make_shared<net::HttpPool>(
        net::HttpPool{ mThread.context, endpoint ? endpoint.value() : settings::Endpoint{}, {}, kMaxIdleConnections });
    }
    return pool;
  }

  void run(gateway::StartCall&& aCall)
  {
    const auto id = aCall.exchange;
    mCalls[id].requestId = aCall.requestId;
    net::HttpCallEvents events;
    events.head = [this, id](const net::HttpAnswerHead& aHead) {
      if (const auto call = mCalls.find(id); call != mCalls.end()) {
        handle(platform::decodeHead(id, call->second.requestId, aHead));
      }
    };
    events.data = [this, id](std::string&& aData) { handle(gateway::UpstreamData{ id, std::move(aData) }); };
    events.end = [this, id] {
      mCalls.erase(id);
      handle(gateway::UpstreamEnd{ id });
    };
    events.error = [this, id](const net::HttpFailure& aFailure) {
      mCalls.erase(id);
      const bool sent = aFailure.kind != agent::ExchangeFailure::kNotSent;
      handle(gateway::UpstreamError{ id, sent, aFailure.silent, aFailure.detail, aFailure.kept });
    };
    auto exchange = net::startHttpExchange(poolOf(aCall), platform::encodeCall(aCall), std::move(events));
    if (const auto call = mCalls.find(id); call != mCalls.end()) {
      call->second.exchange = std::move(exchange);
    }
  }

  void run(const gateway::CancelCall& aCancel)
  {
    const auto call = mCalls.extract(aCancel.exchange);
    if (!call.empty() && call.mapped().exchange) {
      call.mapped().exchange->cancel();
    }
  }

  void run(const gateway::PauseCall& aPause)
  {
    const auto call = mCalls.find(aPause.exchange);
    if (call == mCalls.end() || !call->second.exchange) {
      return;
    }
    // Held by a copy, because the end of the answer may erase the call.
    const auto exchange = call->second.exchange;
    if (aPause.paused) {
      exchange->pause();
    } else {
      exchange->resume();
    }
  }

  void run(const gateway::ReplyHead& aHead) { mServer.reply(platform::encodeReply(aHead)); }
  void run(gateway::ReplyBody&& aBody) { mServer.reply(std::move(aBody)); }
  void run(const gateway::ReplyEnd& aEnd) { mServer.reply(aEnd); }
  void run(const gateway::ReplyAbort& aAbort) { mServer.reply(aAbort); }

  void run(const gateway::LimitCallers& aLimit)
  {
    mServer.limit(static_cast<std::size_t>(aLimit.limits.maxHeaderBytes),
                  static_cast<std::size_t>(aLimit.limits.maxBodyBytes),
                  Duration(aLimit.limits.headerTimeoutMs),
                  Duration(aLimit.limits.idleTimeoutMs));
  }

  void run(const gateway::ReadUpstreams& /*unused*/)
  {
    if (mReader) {
      mReader->read();
    }
  }

  void run(gateway::Send&& aSend)
  {
    mProcess.dispatcher.send(Role::kRouter, std::move(aSend.to), std::move(aSend.message));
  }

  void run(gateway::Connect&& aConnect)
  {
    mProcess.dispatcher.peers->push(kFromRouter, ConnectPeer{ std::move(aConnect.peer), std::move(aConnect.endpoint) });
  }

  void run(const gateway::Log& aLog) { mProcess.log.write(aLog.line); }

  void run(const gateway::Stopped& /*unused*/)
  {
    boost::asio::post(mThread.context, [this] { mServer.stop(); });
    mProcess.stopped(Role::kRouter);
  }

  Process& mProcess;
  IoThread mThread;
  net::HttpServer mServer;
  net::HttpServer mReadyServer;
  net::Inbox<gateway::Event> mInbox;
  boost::asio::steady_timer mTimer;
  gateway::GatewayRole mRole;
  std::unique_ptr<platform::InstanceListReader> mReader;
  std::unordered_map<gateway::ExchangeId, Call> mCalls;
  std::map<std::string, std::shared_ptr<net::HttpPool>> mPools;
  std::deque<gateway::Event> mPending;
  LoopFigures mDelays{ "rhubarbarch_loop_delay" };
  bool mHandling = false;
  TimePoint mNextPublish;
  TimePoint mNextPrune;
  std::atomic<bool> mReady{ false };
  mutable std::mutex mMutex;
  Metrics mPublished;
};

} // namespace

Result<std::unique_ptr<RolePart>>
makeGatewayPart(Process& aProcess)
{
  auto part = std::make_unique<GatewayPart>(aProcess);
  const auto listening = part->listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<RolePart>(std::move(part));
}

} // namespace rhubarbarch::daemon
