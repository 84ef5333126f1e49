#pragma once

#include "context.h"

#include <vector>

namespace rhubarbarch::controller {

/// An agent whose upstream serves a model.
struct ModelUpstream
{
  SessionId session{};
  InstanceId instance;
  std::vector<LoadedVersion> loaded;
};

/// @return whether the version is loaded at the upstream
bool
hasLoaded(const ModelUpstream& aUpstream, const ModelName& aModel, const VersionName& aVersion);

/// Agents that are not leaving, have polled this leader, and have some version of the model loaded.
std::vector<ModelUpstream>
upstreamsOf(const Context& aContext, const ModelName& aModel);

} // namespace rhubarbarch::controller
