#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/control_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbarch::router {

/// The configuration that this router applies.
struct ConfigView
{
  bool held = false; ///< a ConfigState was applied
  LogIndex readIndex{};
  Lists lists;
  Revision directoryRevision{};
  Revision movesRevision{};
  std::vector<VersionShare> shares;
  std::vector<Move> moves;
  std::map<std::string, PlanId, std::less<>> planByKeyHash;
  std::map<PlanId, Priority> priorities;
  std::map<PlanId, UseEntry> uses;
};

/// Parts that a ConfigState changed.
struct ConfigChange
{
  bool applied = false; ///< false: the state is older than the current configuration
  bool lists = false;
  bool directory = false;
  bool moves = false;
};

/// Applies an answer of the leader. Neither the read index nor any revision ever decreases.
/// @return what changed; the caller applies the directory and the grants. Usage: `applyConfig(view, state)`.
ConfigChange
applyConfig(ConfigView& aView, const ConfigState& aState);

/// @return the route for a path: an exact match, else the longest prefix; null for an unknown path
const RouteEntry*
findRoute(const ConfigView& aView, std::string_view aPath);

/// @return the model entry of a plan, or null when the plan may not use `aModel`
const ModelUse*
findModelUse(const ConfigView& aView, const PlanId& aPlan, const ModelName& aModel);

/// @return true when the plan may call the plain service
bool
mayUseService(const ConfigView& aView, const PlanId& aPlan, std::string_view aService);

} // namespace rhubarbarch::router
