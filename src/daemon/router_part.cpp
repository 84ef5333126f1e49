#include "parts.h"
#include "role_loop.h"
#include "role_options.h"

#include "rhubarbarch/net/http_server.h"
#include "rhubarbarch/router/router_role.h"

#include <random>
#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

namespace {

using Loop = RoleLoop<router::RouterRole, router::Event, router::Actions>;

net::HttpServerOptions
serverOptions(const Process& aProcess)
{
  auto options = callerServerOptions(aProcess.settings.caller);
  options.account = aProcess.memory;
  return options;
}

class RouterPart : public RolePart
{
public:
  explicit RouterPart(Process& aProcess)
    : mProcess(aProcess)
    , mServer(mThread.context, serverOptions(aProcess), serverEvents())
    , mCommands(kLaneCount,
                kRingEvents,
                kOverflowMessages,
                [this] { boost::asio::post(mThread.context, [this] { answer(); }); })
    , mLoop(
        "router",
        makeRole(),
        [] { return router::Event(router::Tick{}); },
        [this](router::Actions&& aActions) {
          executeEach(std::move(aActions), [this](auto&& aAction) { run(std::forward<decltype(aAction)>(aAction)); });
        })
  {
    mProcess.dispatcher.router = &mLoop.inbox();
  }

  Result<void> listen() { return mServer.listen(); }

  Role role() const noexcept override { return Role::kRouter; }

  void start() override
  {
    const settings::Endpoint callers{ mProcess.settings.caller.listen.address, mServer.port() };
    mProcess.log.write({ Severity::kInfo, "callers_listening", { { "endpoint", settings::toString(callers) } } });
    mThread.start();
    mLoop.start({});
  }

  void shutdown() override { mLoop.inbox().push(kFromMain, router::Shutdown{}); }

  bool flushed() const override { return mCommands.depth() == 0 && mServer.answersInProgress() == 0; }

  void stop() override
  {
    mLoop.stop();
    mThread.stop();
  }

  bool ready() const override { return mLoop.ready(); }

  Metrics metrics() const override
  {
    auto metrics = mLoop.metrics();
    std::ranges::move(mServer.metrics(), std::back_inserter(metrics));
    return metrics;
  }

private:
  std::unique_ptr<router::RouterRole> makeRole() const
  {
    return std::make_unique<router::RouterRole>(
      routerOptions(mProcess.settings, mProcess.endpoint), mProcess.boot, std::mt19937_64(std::random_device{}()));
  }

  net::HttpServerEvents serverEvents()
  {
    net::HttpServerEvents events;
    events.request = [this](router::CallerRequest&& aRequest) { push(std::move(aRequest)); };
    events.drained = [this](const router::CallerDrained& aDrained) { push(aDrained); };
    events.gone = [this](const router::CallerGone& aGone) { push(aGone); };
    events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
    events.congested = [this] { return mLoop.inbox().congested(kFromCallers); };
    return events;
  }

  void push(router::Event aEvent) { mLoop.inbox().push(kFromCallers, std::move(aEvent)); }

  // On the thread of the HTTP server.
  void answer()
  {
    mCommands.drain([this](CallerCommand&& aCommand) {
      std::visit([this](auto&& aReply) { mServer.reply(std::forward<decltype(aReply)>(aReply)); }, std::move(aCommand));
    });
  }

  void run(router::Send&& aSend)
  {
    mProcess.dispatcher.send(Role::kRouter, std::move(aSend.to), std::move(aSend.message));
  }

  void run(router::Connect&& aConnect)
  {
    mProcess.dispatcher.peers->push(kFromRouter, ConnectPeer{ std::move(aConnect.peer), std::move(aConnect.endpoint) });
  }

  void run(const router::Log& aLog) { mProcess.log.write(aLog.line); }

  void run(const router::Stopped& /*unused*/)
  {
    // No later request may find a role that has stopped; answers in progress are still written.
    boost::asio::post(mThread.context, [this] { mServer.stop(); });
    mProcess.stopped(Role::kRouter);
  }

  void run(router::ReplyHead&& aReply) { mCommands.push(kFromRouter, std::move(aReply)); }
  void run(router::ReplyBody&& aReply) { mCommands.push(kFromRouter, std::move(aReply)); }
  void run(const router::ReplyEnd& aReply) { mCommands.push(kFromRouter, aReply); }
  void run(const router::ReplyAbort& aReply) { mCommands.push(kFromRouter, aReply); }

  Process& mProcess;
  IoThread mThread;
  net::HttpServer mServer;
  net::Inbox<CallerCommand> mCommands;
  Loop mLoop;
};

} // namespace

Result<std::unique_ptr<RolePart>>
makeRouterPart(Process& aProcess)
{
  auto part = std::make_unique<RouterPart>(aProcess);
  const auto listening = part->listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<RolePart>(std::move(part));
}

} // namespace rhubarbarch::daemon
