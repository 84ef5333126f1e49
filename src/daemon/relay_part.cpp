#include "parts.h"
#include "role_loop.h"
#include "role_options.h"

#include "rhubarbarch/relay/relay_role.h"

#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

namespace {

using Loop = RoleLoop<relay::RelayRole, relay::Event, relay::Actions>;

class RelayPart : public RolePart
{
public:
  explicit RelayPart(Process& aProcess)
    : mProcess(aProcess)
    , mLoop(
        "relay",
        std::make_unique<relay::RelayRole>(relayOptions(aProcess.settings)),
        [] { return relay::Event(relay::Tick{}); },
        [this](relay::Actions&& aActions) {
          executeEach(std::move(aActions), [this](auto&& aAction) { run(std::forward<decltype(aAction)>(aAction)); });
        })
  {
    mProcess.dispatcher.relay = &mLoop.inbox();
  }

  Role role() const noexcept override { return Role::kAgent; }
  void start() override { mLoop.start({}); }
  void contacts(const std::vector<std::string>& aControllers) override
  {
    mLoop.inbox().push(kFromMain, relay::Contacts{ aControllers });
  }
  void shutdown() override { mLoop.inbox().push(kFromMain, relay::Shutdown{}); }
  bool flushed() const override { return true; }
  void stop() override { mLoop.stop(); }
  bool ready() const override { return mLoop.ready(); }
  Metrics metrics() const override { return mLoop.metrics(); }

private:
  void run(relay::Send&& aSend)
  {
    mProcess.dispatcher.send(Role::kAgent, std::move(aSend.to), std::move(aSend.message));
  }

  void run(relay::Connect&& aConnect)
  {
    mProcess.dispatcher.peers->push(kFromAgent, ConnectPeer{ std::move(aConnect.peer), std::move(aConnect.endpoint) });
  }

  void run(const relay::Log& aLog) { mProcess.log.write(aLog.line); }
  void run(const relay::Stopped& /*unused*/) { mProcess.stopped(Role::kAgent); }

  Process& mProcess;
  Loop mLoop;
};

} // namespace

std::unique_ptr<RolePart>
makeRelayPart(Process& aProcess)
{
  return std::make_unique<RelayPart>(aProcess);
}

} // namespace rhubarbarch::daemon
