#pragma once

#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/gateway/events.h"
#include "rhubarbarch/gateway/options.h"

#include <memory>
#include <random>

namespace rhubarbarch::gateway {

struct State;

/// A router that calls upstreams directly, without agents, as a deterministic state machine.
///
/// Usage: `for (auto& action : role.handle(Tick{}, now)) { run(std::move(action)); }`.
class GatewayRole
{
public:
  /// @param aOptions settings; instance, endpoint and controllers have no default
  /// @param aBoot random number of this process start
  /// @param aRandom seeded random number generator
  GatewayRole(GatewayOptions aOptions, Boot aBoot, std::mt19937_64 aRandom);
  ~GatewayRole();
  GatewayRole(GatewayRole&&) noexcept;
  GatewayRole& operator=(GatewayRole&&) noexcept;
  GatewayRole(const GatewayRole&) = delete;
  GatewayRole& operator=(const GatewayRole&) = delete;

  /// Handles one event.
  /// @param aNow local time, never earlier than in the previous call
  /// @return the actions that the process must run, in order
  Actions handle(const Event& aEvent, TimePoint aNow);

  /// @return true when a routing table and a list of upstreams are in force and no shutdown has begun
  bool ready() const noexcept;

  Metrics metrics() const;

private:
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::gateway
