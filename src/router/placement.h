#pragma once

#include "agents.h"

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::router {

/// A request to place.
struct PlacementQuery
{
  RequestId request;
  std::string service; ///< empty for a model call
  ModelName model;
  std::vector<VersionName> allowedVersions; ///< empty allows every version
  std::set<VersionName> trippedVersions;    ///< avoided while another version can serve
  std::uint64_t prefixHash = 0;
  Tokens tokens = 0;          ///< worst case
  std::set<InstanceId> avoid; ///< agents that refused this request or failed to complete it
};

/// The chosen agent, with the candidates considered.
struct Placement
{
  InstanceId agent;
  Boot boot{};
  VersionName version;
  nlohmann::json explanation; ///< object for the log line
};

/// Chooses the version by traffic share and the agent by the power of two choices.
/// @param aShares traffic shares of all models
/// @param aMoves moves of all models; a rolled back version is not used, even for a plan that may use no other
/// @return the choice, or nothing when no agent can take the request now
std::optional<Placement>
choosePlacement(const PlacementQuery& aQuery,
                const Agents& aAgents,
                const std::vector<VersionShare>& aShares,
                const std::vector<Move>& aMoves,
                const RouterOptions& aOptions,
                std::mt19937_64& aRandom,
                TimePoint aNow);

} // namespace rhubarbarch::router
