#include "parts.h"
#include "role_loop.h"
#include "role_options.h"

#include "rhubarbarch/agent/agent_role.h"
#include "rhubarbarch/net/upstream_client.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

namespace {

using Loop = RoleLoop<agent::AgentRole, agent::Event, agent::Actions>;

class AgentPart : public RolePart
{
public:
  explicit AgentPart(Process& aProcess)
    : mProcess(aProcess)
    , mClient(mThread.context, clientOptions(), clientEvents())
    , mCommands(kLaneCount,
                kRingEvents,
                kOverflowMessages,
                [this] { boost::asio::post(mThread.context, [this] { call(); }); })
    , mLoop(
        "agent",
        makeRole(),
        [] { return agent::Event(agent::Tick{}); },
        [this](agent::Actions&& aActions) {
          executeEach(std::move(aActions), [this](auto&& aAction) { run(std::forward<decltype(aAction)>(aAction)); });
        })
  {
    mProcess.dispatcher.agent = &mLoop.inbox();
  }

  Role role() const noexcept override { return Role::kAgent; }

  void start() override
  {
    boost::asio::post(mThread.context, [this] { mClient.startPolls(); });
    mThread.start();
    mLoop.start({});
  }

  void shutdown() override { mLoop.inbox().push(kFromMain, agent::Shutdown{}); }
  bool flushed() const override { return mCommands.depth() == 0; }

  void stop() override
  {
    mLoop.stop();
    mThread.stop();
  }

  bool ready() const override { return mLoop.ready(); }

  Metrics metrics() const override
  {
    auto metrics = mLoop.metrics();
    std::ranges::move(mClient.metrics(), std::back_inserter(metrics));
    return metrics;
  }

private:
  std::unique_ptr<agent::AgentRole> makeRole() const
  {
    return std::make_unique<agent::AgentRole>(
      agentOptions(mProcess.settings, mProcess.endpoint), mProcess.boot, std::mt19937_64(std::random_device{}()));
  }

  net::UpstreamOptions clientOptions() const
  {
    net::UpstreamOptions options;
    options.endpoint = mProcess.settings.upstream.endpoint;
    options.modelEngine = mProcess.settings.upstream.service.empty();
    return options;
  }

  net::UpstreamEvents clientEvents()
  {
    net::UpstreamEvents events;
    events.event = [this](agent::Event&& aEvent) { mLoop.inbox().push(kFromUpstream, std::move(aEvent)); };
    events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
    events.congested = [this] { return mLoop.inbox().congested(kFromUpstream); };
    return events;
  }

  // On the thread of the upstream client.
  void call()
  {
    mCommands.drain([this](const UpstreamCommand& aCommand) {
      std::visit([this](const auto& aCall) { mClient.handle(aCall); }, aCommand);
    });
  }

  void run(agent::Send&& aSend)
  {
    mProcess.dispatcher.send(Role::kAgent, std::move(aSend.to), std::move(aSend.message));
  }

  void run(const agent::Log& aLog) { mProcess.log.write(aLog.line); }
  void run(const agent::Stopped& /*unused*/) { mProcess.stopped(Role::kAgent); }
  void run(agent::UpstreamStart&& aStart) { mCommands.push(kFromAgent, std::move(aStart)); }
  void run(const agent::UpstreamPause& aPause) { mCommands.push(kFromAgent, aPause); }
  void run(const agent::UpstreamContinue& aContinue) { mCommands.push(kFromAgent, aContinue); }
  void run(agent::UpstreamCancel&& aCancel) { mCommands.push(kFromAgent, std::move(aCancel)); }

  Process& mProcess;
  IoThread mThread;
  net::UpstreamClient mClient;
  net::Inbox<UpstreamCommand> mCommands;
  Loop mLoop;
};

} // namespace

std::unique_ptr<RolePart>
makeAgentPart(Process& aProcess)
{
  return std::make_unique<AgentPart>(aProcess);
}

} // namespace rhubarbarch::daemon
