#include "parts.h"
#include "role_loop.h"
#include "role_options.h"
#include "stored_controller.h"

#include "rhubarbarch/consensus/log_store.h"

#include <filesystem>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

namespace {

using Loop = RoleLoop<StoredController, controller::Event, controller::Actions>;
using Reply = std::function<void(controller::OperatorReply&&)>;

TimePoint
now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

controller::Event
tick()
{
  return controller::Tick{ std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()) };
}

using OpenFolder = Result<consensus::LogStore::Opened> (*)(const std::filesystem::path&, std::mt19937_64&);

/// @param aOpen consensus::LogStore::open or recover
Result<OpenedStore>
openStore(const std::string& aFolder, OpenFolder aOpen)
{
  std::mt19937_64 random(std::random_device{}());
  auto opened = aOpen(aFolder, random);
  if (!opened) {
    return opened.error();
  }
  const auto store = std::make_shared<consensus::LogStore>(std::move(opened.value().store));
  return OpenedStore{ [store](std::span<const consensus::StorageRecord> aRecords) { return store->write(aRecords); },
                      std::move(opened.value().state) };
}

class ControllerPart : public RolePart
{
public:
  ControllerPart(Process& aProcess, OpenedStore aOpened, Reply aReply)
    : ControllerPart(aProcess, makeRole(aProcess, std::move(aOpened)), std::move(aReply))
  {
  }

  Role role() const noexcept override { return Role::kController; }
  void start() override { mLoop.start(std::move(mFirst)); }
  void contacts(const std::vector<std::string>& aControllers) override
  {
    mLoop.inbox().push(kFromMain, controller::Contacts{ aControllers });
  }
  void shutdown() override { mLoop.inbox().push(kFromMain, controller::Shutdown{}); }
  bool flushed() const override { return true; }
  void stop() override { mLoop.stop(); }
  bool ready() const override { return mLoop.ready(); }
  Metrics metrics() const override { return mLoop.metrics(); }

private:
  ControllerPart(Process& aProcess, std::unique_ptr<StoredController> aRole, Reply aReply)
    : mProcess(aProcess)
    , mReply(std::move(aReply))
    , mFirst(aRole->start(now()))
    , mRole(*aRole)
    , mLoop("controller", std::move(aRole), tick, [this](controller::Actions&& aActions) {
      execute(std::move(aActions));
    })
  {
    mProcess.dispatcher.controller = &mLoop.inbox();
  }

  static std::unique_ptr<StoredController> makeRole(const Process& aProcess, OpenedStore aOpened)
  {
    return std::make_unique<StoredController>(
      controllerOptions(aProcess.settings),
      std::move(aOpened),
      [folder = aProcess.settings.dataFolder] { return openStore(folder, consensus::LogStore::recover); },
      std::mt19937_64(std::random_device{}()));
  }

  // Writes and syncs all records of the batch once, before anything of the batch is sent.
  void execute(controller::Actions&& aActions)
  {
    executeEach(mRole.persist(std::move(aActions), now()),
                [this](auto&& aAction) { run(std::forward<decltype(aAction)>(aAction)); });
  }

  void run(controller::Send&& aSend)
  {
    mProcess.dispatcher.send(Role::kController, std::move(aSend.to), std::move(aSend.message));
  }

  void run(controller::OperatorReply&& aAnswer) { mReply(std::move(aAnswer)); }
  void run(const controller::Persist& /*unused*/) {}
  void run(controller::Connect&& aConnect)
  {
    auto endpoint = aConnect.controller;
    mProcess.dispatcher.peers->push(
      kFromController, ConnectPeer{ { std::move(aConnect.controller), Role::kController }, std::move(endpoint) });
  }
  void run(const controller::ReadUpstreams& /*unused*/) { mProcess.readUpstreams(); }
  void run(const controller::Log& aLog) { mProcess.log.write(aLog.line); }
  void run(const controller::Stopped& /*unused*/) { mProcess.stopped(Role::kController); }

  Process& mProcess;
  Reply mReply;
  controller::Actions mFirst;
  StoredController& mRole; ///< owned by the loop, used on its thread
  Loop mLoop;
};

} // namespace

Result<std::unique_ptr<RolePart>>
makeControllerPart(Process& aProcess, Reply aReply)
{
  auto opened = openStore(aProcess.settings.dataFolder, consensus::LogStore::open);
  if (!opened) {
    return opened.error();
  }
  return std::unique_ptr<RolePart>(
    std::make_unique<ControllerPart>(aProcess, std::move(opened.value()), std::move(aReply)));
}

} // namespace rhubarbarch::daemon
