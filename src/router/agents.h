#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/options.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/run_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::router {

/// KV memory that one dispatch of this router reserves and that the agent's last status may not include yet.
struct RecentDispatch
{
  TimePoint at;
  std::int64_t kvBytes = 0;
};

/// This router's view of one agent.
struct AgentView
{
  AgentEntry entry;
  Boot boot{};         ///< of the newest session in the directory or a status
  SessionId session{}; ///< the newest in the directory or a status
  bool listed = false; ///< in the directory
  bool hasStatus = false;
  AgentStatus status;
  TimePoint statusAt;
  TimePoint lastContactAt; ///< last message of any kind
  std::deque<RecentDispatch> recent;
};

using Agents = std::map<InstanceId, AgentView>;

/// Changes that a new directory brings.
struct DirectoryChange
{
  std::vector<InstanceId> connect; ///< new agents, or agents with another endpoint
  std::vector<InstanceId> removed; ///< agents no longer listed
};

DirectoryChange
applyDirectory(Agents& aAgents, const std::vector<AgentEntry>& aEntries);

/// Applies a status; ignores one of an older session.
void
applyStatus(AgentView& aAgent, const AgentStatus& aStatus, TimePoint aNow);

/// @return true when the agent may get new work
bool
acceptsWork(const AgentView& aAgent, const RouterOptions& aOptions, TimePoint aNow) noexcept;

/// @return reserved KV cache at the agent, in bytes, including this router's dispatches since the last status
std::int64_t
reservedKvBytes(const AgentView& aAgent) noexcept;

} // namespace rhubarbarch::router
