#include "upstreams.h"

#include <algorithm>

namespace rhubarbarch::controller {

bool
hasLoaded(const ModelUpstream& aUpstream, const ModelName& aModel, const VersionName& aVersion)
{
  return std::ranges::find(aUpstream.loaded, LoadedVersion{ aModel, aVersion }) != aUpstream.loaded.end();
}

std::vector<ModelUpstream>
upstreamsOf(const Context& aContext, const ModelName& aModel)
{
  std::vector<ModelUpstream> upstreams;
  for (const auto& [id, agent] : aContext.state.sessions.agents) {
    const auto memory = aContext.memory.sessions.find(id);
    if (agent.entry.leaving || memory == aContext.memory.sessions.end() || !memory->second.polled) {
      continue;
    }
    const auto& loaded = memory->second.load.loaded;
    if (std::ranges::find(loaded, aModel, &LoadedVersion::model) != loaded.end()) {
      upstreams.push_back({ id, agent.entry.instance, loaded });
    }
  }
  return upstreams;
}

} // namespace rhubarbarch::controller
