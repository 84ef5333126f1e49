#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/events.h"
#include "rhubarbarch/router/options.h"

#include <memory>
#include <random>

namespace rhubarbarch::router {

struct State;

/// The caller-facing role as a deterministic state machine.
class RouterRole
{
public:
  /// @param aOptions settings; instance, data centre, endpoint and controllers are required
  /// @param aBoot random number that identifies this process run
  /// @param aRandom seeded generator, used for placement
  RouterRole(RouterOptions aOptions, Boot aBoot, std::mt19937_64 aRandom);
  ~RouterRole();
  RouterRole(RouterRole&&) noexcept;
  RouterRole& operator=(RouterRole&&) noexcept;
  RouterRole(const RouterRole&) = delete;
  RouterRole& operator=(const RouterRole&) = delete;

  /// Handles one event.
  /// @param aEvent what happened
  /// @param aNow local time, never earlier than in the previous call
  /// @return actions to carry out, in order. Usage: `for (auto& action : role.handle(Tick{}, now)) run(action);`.
  Actions handle(const Event& aEvent, TimePoint aNow);

  /// @return true when the router accepts requests: it holds a quorum-confirmed configuration and is not shutting down
  bool ready() const noexcept;

  /// @return samples for the metrics page
  Metrics metrics() const;

private:
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::router
