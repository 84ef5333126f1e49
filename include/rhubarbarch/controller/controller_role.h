#pragma once

#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/consensus/storage.h"
#include "rhubarbarch/controller/events.h"
#include "rhubarbarch/controller/options.h"
#include "rhubarbarch/state/replicated_state.h"

#include <memory>
#include <random>

namespace rhubarbarch::controller {

/// The controller role: one replica of the replicated state and, while it leads, the controllers that act on that
/// state.
///
/// Usage: call start() once, then handle() for each event; execute the actions in order.
class ControllerRole
{
public:
  /// @param aOptions settings
  /// @param aStored contents of the data folder
  /// @param aRandom generator for election timeouts
  ControllerRole(ControllerOptions aOptions, consensus::StoredState aStored, std::mt19937_64 aRandom);
  ~ControllerRole();
  ControllerRole(ControllerRole&&) noexcept;
  ControllerRole& operator=(ControllerRole&&) noexcept;
  ControllerRole(const ControllerRole&) = delete;
  ControllerRole& operator=(const ControllerRole&) = delete;

  /// Restores the stored state.
  Actions start(TimePoint aNow);

  /// Handles one event.
  Actions handle(const Event& aEvent, TimePoint aNow);

  /// @return whether a leader is known
  bool ready() const;

  bool isLeader() const;

  Metrics metrics() const;

  /// State after the last entry that this replica knows to be committed.
  const state::ReplicatedState& replicatedState() const noexcept;

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace rhubarbarch::controller
