#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/consensus/storage.h"
#include "rhubarbarch/controller/controller_role.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>

namespace rhubarbarch::daemon {

/// Writes records to a data folder and syncs them; kIo when the disk refuses, after which the store is used no more.
using WriteRecords = std::function<Result<void>(std::span<const consensus::StorageRecord>)>;

/// An opened data folder and what it holds.
struct OpenedStore
{
  WriteRecords write;
  consensus::StoredState state;
};

/// The controller role on a store that may refuse writes for a time, as a full disk does.
///
/// A role whose records were refused knows what no disk holds, so it is dropped with all that it has not yet done. From
/// then until the store takes writes again there is no role: operators are refused at once, and the members of the
/// group go on without this one. Then a new role starts from what the disk holds, as after a restart of the process,
/// with what the process has learned meanwhile.
///
/// Usage: `handle()` for each event, `persist()` for each batch of actions, then do what it returns.
class StoredController
{
public:
  /// @param aOptions settings of the role
  /// @param aOpened the store to begin with
  /// @param aReopen opens the store again after it has refused a write; fails while it would refuse the next one
  /// @param aRandom generator for the roles
  StoredController(controller::ControllerOptions aOptions,
                   OpenedStore aOpened,
                   std::function<Result<OpenedStore>()> aReopen,
                   std::mt19937_64 aRandom);

  controller::Actions start(TimePoint aNow);
  controller::Actions handle(const controller::Event& aEvent, TimePoint aNow);

  /// Writes the records of a batch before anything of it may be done.
  /// @return what to do: the batch, or if the store refuses, what follows from that
  controller::Actions persist(controller::Actions aBatch, TimePoint aNow);

  bool ready() const;
  Metrics metrics() const;

private:
  controller::Actions reopen(TimePoint aNow);
  controller::Actions close(const Error& aError, controller::Actions aBatch, TimePoint aNow);
  void refuseOperators(controller::Actions& aActions);
  void remember(const controller::Event& aEvent);
  void startRole(OpenedStore aOpened);

  controller::ControllerOptions mOptions;
  std::function<Result<OpenedStore>()> mReopen;
  std::mt19937_64 mRandom;
  std::unique_ptr<controller::ControllerRole> mRole; ///< null while the store refuses writes
  WriteRecords mWrite;
  TimePoint mReopenAt;                         ///< next attempt while there is no role
  std::set<controller::OperatorId> mOperators; ///< requests that are not answered yet
  std::optional<controller::Contacts> mContacts;
  std::optional<controller::PlatformList> mPlatformList;
  std::optional<controller::UpstreamsRead> mUpstreams;
  bool mShutdown = false;
  std::uint64_t mRefusals = 0; ///< times that the store has refused a write
};

} // namespace rhubarbarch::daemon
