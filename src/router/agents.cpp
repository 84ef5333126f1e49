#include "agents.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace rhubarbarch::router {

namespace {

/// A more recent dispatch may have been in flight when the agent wrote its status, so the router still counts it.
constexpr Duration kStatusLag{ 50 };
constexpr std::size_t kMaxRecent = 1024;

void
noteSession(AgentView& aAgent, SessionId aSession, Boot aBoot)
{
  if (aSession > aAgent.session || aAgent.boot == Boot{}) {
    aAgent.session = aSession;
    aAgent.boot = aBoot;
  }
}

} // namespace

DirectoryChange
applyDirectory(Agents& aAgents, const std::vector<AgentEntry>& aEntries)
{
  DirectoryChange change;
  std::set<InstanceId> listed;
  for (const AgentEntry& entry : aEntries) {
    listed.insert(entry.instance);
    AgentView& agent = aAgents[entry.instance];
    if (!agent.listed || agent.entry.endpoint != entry.endpoint) {
      change.connect.push_back(entry.instance);
    }
    agent.listed = true;
    agent.entry = entry;
    noteSession(agent, entry.session, entry.boot);
  }
  for (auto& [instance, agent] : aAgents) {
    if (agent.listed && !listed.contains(instance)) {
      agent.listed = false;
      change.removed.push_back(instance);
    }
  }
  return change;
}

void
applyStatus(AgentView& aAgent, const AgentStatus& aStatus, TimePoint aNow)
{
  if (aStatus.session < aAgent.session) {
    return;
  }
  noteSession(aAgent, aStatus.session, aStatus.boot);
  aAgent.status = aStatus;
  aAgent.hasStatus = true;
  aAgent.statusAt = aNow;
  std::erase_if(aAgent.recent, [&](const RecentDispatch& aItem) { return aNow - aItem.at >= kStatusLag; });
  while (aAgent.recent.size() > kMaxRecent) {
    aAgent.recent.pop_front();
  }
}

bool
acceptsWork(const AgentView& aAgent, const RouterOptions& aOptions, TimePoint aNow) noexcept
{
  return aAgent.listed && !aAgent.entry.leaving && aAgent.hasStatus && !aAgent.status.leaving &&
         aAgent.status.boot == aAgent.boot && aNow - aAgent.statusAt < aOptions.agentTimeout;
}

std::int64_t
reservedKvBytes(const AgentView& aAgent) noexcept
{
  return std::accumulate(aAgent.recent.begin(),
                         aAgent.recent.end(),
                         aAgent.status.reservedKvBytes,
                         [](std::int64_t aSum, const RecentDispatch& aItem) { return aSum + aItem.kvBytes; });
}

} // namespace rhubarbarch::router
