#include "parts.h"
#include "role_loop.h"
#include "role_options.h"

#include "rhubarbarch/consensus/log_store.h"
#include "rhubarbarch/controller/controller_role.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <random>
#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

namespace {

using Loop = RoleLoop<controller::ControllerRole, controller::Event, controller::Actions>;
// How often a disk that has refused a write is tried again.
constexpr Duration kReopenPeriod{ 500 };

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

class ControllerPart : public RolePart
{
public:
  ControllerPart(Process& aProcess, consensus::LogStore aStore, consensus::StoredState aStored, Reply aReply)
    : ControllerPart(aProcess, std::move(aStore), makeRole(aProcess, std::move(aStored)), std::move(aReply))
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
  ControllerPart(Process& aProcess,
                 consensus::LogStore aStore,
                 std::unique_ptr<controller::ControllerRole> aRole,
                 Reply aReply)
    : mProcess(aProcess)
    , mStore(std::make_unique<consensus::LogStore>(std::move(aStore)))
    , mReply(std::move(aReply))
    , mFirst(aRole->start(now()))
    , mLoop("controller", std::move(aRole), tick, [this](controller::Actions&& aActions) {
      execute(std::move(aActions));
    })
  {
    mProcess.dispatcher.controller = &mLoop.inbox();
  }

  static std::unique_ptr<controller::ControllerRole> makeRole(Process& aProcess, consensus::StoredState aStored)
  {
    return std::make_unique<controller::ControllerRole>(
      controllerOptions(aProcess.settings), std::move(aStored), std::mt19937_64(std::random_device{}()));
  }

  // Writes and syncs all records of the batch once, before anything of the batch is sent.
  void execute(controller::Actions&& aActions)
  {
    if (!mStore && !reopen()) {
      return; // nothing that this role says may be heard: it knows what no disk holds
    }
    std::vector<consensus::StorageRecord> records;
    for (auto& action : aActions) {
      if (auto* persist = std::get_if<controller::Persist>(&action)) {
        std::ranges::move(persist->records, std::back_inserter(records));
      }
    }
    if (const auto written = mStore->write(records); !written) {
      // Going on could acknowledge a change that no disk holds.
      const auto& detail = written.error().detail;
      mProcess.log.write({ Severity::kError, "data_folder_write_failed", { { "detail", detail } } });
      mStore.reset();
      mReopenAt = now() + kReopenPeriod;
      return;
    }
    executeEach(std::move(aActions), [this](auto&& aAction) { run(std::forward<decltype(aAction)>(aAction)); });
  }

  /// Starts the role anew from what the disk holds, as a restart of the process would. A disk that is full or refuses
  /// writes for a time is no reason to end: the members that can write go on without this one.
  /// @return true when the role of the next batch is the new one
  bool reopen()
  {
    if (now() < mReopenAt) {
      return false;
    }
    mReopenAt = now() + kReopenPeriod;
    std::mt19937_64 random(std::random_device{}());
    auto opened = consensus::LogStore::open(mProcess.settings.dataFolder, random);
    if (!opened) {
      mProcess.log.write({ Severity::kError, "data_folder_not_opened", { { "detail", opened.error().detail } } });
      return false;
    }
    mStore = std::make_unique<consensus::LogStore>(std::move(opened.value().store));
    auto role = makeRole(mProcess, std::move(opened.value().state));
    auto first = role->start(now());
    mLoop.replace(std::move(role));
    mProcess.log.write({ Severity::kInfo, "data_folder_reopened", {} });
    execute(std::move(first));
    return false; // the batch at hand is the old role's
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
  std::unique_ptr<consensus::LogStore> mStore; ///< null while the disk refuses writes
  TimePoint mReopenAt;                         ///< next attempt while there is no store
  Reply mReply;
  controller::Actions mFirst;
  Loop mLoop;
};

} // namespace

Result<std::unique_ptr<RolePart>>
makeControllerPart(Process& aProcess, Reply aReply)
{
  std::mt19937_64 random(std::random_device{}());
  auto opened = consensus::LogStore::open(aProcess.settings.dataFolder, random);
  if (!opened) {
    return opened.error();
  }
  auto& folder = opened.value();
  return std::unique_ptr<RolePart>(
    std::make_unique<ControllerPart>(aProcess, std::move(folder.store), std::move(folder.state), std::move(aReply)));
}

} // namespace rhubarbarch::daemon
