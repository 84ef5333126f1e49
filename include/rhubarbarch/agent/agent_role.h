#pragma once

#include "rhubarbarch/agent/events.h"
#include "rhubarbarch/agent/options.h"
#include "rhubarbarch/base/metric.h"

#include <memory>
#include <random>

namespace rhubarbarch::agent {

struct State;

/// The agent role, a deterministic state machine. Only the agent sends requests and orders to its upstream.
/// Usage: `for (auto& action : role.handle(Tick{}, now)) { execute(action); }`.
class AgentRole
{
public:
  /// @param aOptions options; instance, data centre, endpoint and controllers must be set
  /// @param aBoot random number that identifies this process run
  /// @param aRandom seeded generator
  AgentRole(AgentOptions aOptions, Boot aBoot, std::mt19937_64 aRandom);
  ~AgentRole();
  AgentRole(const AgentRole&) = delete;
  AgentRole& operator=(const AgentRole&) = delete;
  AgentRole(AgentRole&&) noexcept;
  AgentRole& operator=(AgentRole&&) noexcept;

  /// Handles one event.
  /// @param aEvent the event
  /// @param aNow steady-clock time, never earlier than in the previous call
  /// @return actions to execute in order
  Actions handle(const Event& aEvent, TimePoint aNow);

  /// @return whether the agent is registered, holds a configuration read from a quorum and is not leaving
  bool ready() const noexcept;

  /// @return samples for the metrics page
  Metrics metrics() const;

private:
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::agent
