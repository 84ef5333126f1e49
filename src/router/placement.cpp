#include "placement.h"

#include "rhubarbarch/router/hash.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <ranges>

namespace rhubarbarch::router {

namespace {

using nlohmann::json;

struct Candidate
{
  const AgentView* agent = nullptr;
  std::int64_t score = 0; ///< lower is better
  bool cached = false;
};

std::int64_t
kvBytes(const PlacementQuery& aQuery, const RouterOptions& aOptions)
{
  return aQuery.service.empty() ? aQuery.tokens * aOptions.kvBytesPerToken : 0;
}

/// @return why the agent cannot take the request, or an empty string
std::string
rejectionReason(const PlacementQuery& aQuery, const AgentView& aAgent, const RouterOptions& aOptions, TimePoint aNow)
{
  if (aQuery.avoid.contains(aAgent.entry.instance)) {
    return "tried before";
  }
  if (!acceptsWork(aAgent, aOptions, aNow)) {
    return "leaving, unresponsive or restarted";
  }
  const auto capacity = aAgent.status.kvCapacityBytes;
  if (aQuery.service.empty() && capacity > 0 && reservedKvBytes(aAgent) + kvBytes(aQuery, aOptions) > capacity) {
    return "KV limit";
  }
  return {};
}

bool
serves(const PlacementQuery& aQuery, const AgentView& aAgent)
{
  return aAgent.entry.upstream.service == aQuery.service;
}

bool
loaded(const AgentView& aAgent, const ModelName& aModel, const VersionName& aVersion)
{
  return std::ranges::find(aAgent.status.loaded, LoadedVersion{ aModel, aVersion }) != aAgent.status.loaded.end();
}

bool
allowed(const PlacementQuery& aQuery, const VersionName& aVersion)
{
  const auto& versions = aQuery.allowedVersions;
  return versions.empty() || std::ranges::find(versions, aVersion) != versions.end();
}

bool
rolledBack(const std::vector<Move>& aMoves, const ModelName& aModel, const VersionName& aVersion)
{
  const auto last = std::ranges::find_if(std::views::reverse(aMoves), [&](const Move& aMove) {
    return aMove.model == aModel && aMove.toVersion == aVersion;
  });
  return last != std::ranges::rend(aMoves) && last->state == MoveState::kTakenBack;
}

/// @return allowed versions with an agent that can take the request, and their traffic shares
std::map<VersionName, std::int32_t>
versionWeights(const PlacementQuery& aQuery,
               const std::vector<const AgentView*>& aAgents,
               const std::vector<VersionShare>& aShares,
               const std::vector<Move>& aMoves)
{
  std::map<VersionName, std::int32_t> weights;
  for (const AgentView* agent : aAgents) {
    for (const LoadedVersion& version : agent->status.loaded) {
      if (version.model == aQuery.model && allowed(aQuery, version.version)) {
        weights.emplace(version.version, 0);
      }
    }
  }
  for (const VersionShare& share : aShares) {
    const auto entry = weights.find(share.version);
    if (share.model == aQuery.model && entry != weights.end()) {
      entry->second = share.perMille;
    }
  }
  // Any other usable version replaces one with a tripped circuit breaker, even without a traffic share: late in a move
  // the new version gets all traffic while the old one is still loaded.
  const auto isTripped = [&](const auto& aEntry) { return aQuery.trippedVersions.contains(aEntry.first); };
  const bool other = std::ranges::any_of(
    weights, [&](const auto& aEntry) { return !isTripped(aEntry) && !rolledBack(aMoves, aQuery.model, aEntry.first); });
  if (other) {
    std::erase_if(weights, isTripped);
  }
  const bool anyShare = std::ranges::any_of(weights, [](const auto& aEntry) { return aEntry.second > 0; });
  if (anyShare) {
    std::erase_if(weights, [](const auto& aEntry) { return aEntry.second == 0; });
    return weights;
  }
  // No allowed version has a traffic share: the model has no shares, or the plan allows only other versions.
  std::erase_if(weights, [&](const auto& aEntry) { return rolledBack(aMoves, aQuery.model, aEntry.first); });
  for (auto& [version, weight] : weights) {
    weight = 1;
  }
  return weights;
}

/// Makes a weighted choice that is stable per request, so that a retry of the request uses the same version.
std::optional<VersionName>
chooseVersion(const std::map<VersionName, std::int32_t>& aWeights, const RequestId& aRequest)
{
  const auto values = aWeights | std::views::values;
  const std::int64_t total = std::accumulate(values.begin(), values.end(), std::int64_t{ 0 });
  if (total == 0) {
    return std::nullopt;
  }
  auto point = static_cast<std::int64_t>(stableHash(aRequest) % static_cast<std::uint64_t>(total));
  for (const auto& [version, weight] : aWeights) {
    point -= weight;
    if (point < 0) {
      return version;
    }
  }
  return std::nullopt;
}

Candidate
scoreAgent(const PlacementQuery& aQuery, const AgentView& aAgent, const RouterOptions& aOptions)
{
  Candidate candidate;
  candidate.agent = &aAgent;
  if (!aQuery.service.empty()) {
    candidate.score = aAgent.status.queueLength + aAgent.status.runs + static_cast<std::int64_t>(aAgent.recent.size());
    return candidate;
  }
  candidate.score = reservedKvBytes(aAgent);
  const auto& prefixes = aAgent.status.cachedPrefixes;
  candidate.cached = std::ranges::find(prefixes, aQuery.prefixHash) != prefixes.end();
  if (candidate.cached) {
    // A cached prefix saves recomputing and storing the prompt.
    candidate.score -= kvBytes(aQuery, aOptions);
  }
  return candidate;
}

json
describe(const Candidate& aCandidate)
{
  return { { "agent", aCandidate.agent->entry.instance },
           { "score", aCandidate.score },
           { "queue", aCandidate.agent->status.queueLength },
           { "cached", aCandidate.cached } };
}

/// Draws two different candidates at random and returns the better one.
Candidate
powerOfTwo(const std::vector<Candidate>& aCandidates, std::mt19937_64& aRandom, json& aConsidered)
{
  const std::size_t first = aRandom() % aCandidates.size();
  if (aCandidates.size() == 1) {
    aConsidered.push_back(describe(aCandidates[first]));
    return aCandidates[first];
  }
  std::size_t second = aRandom() % (aCandidates.size() - 1);
  second += second >= first ? 1 : 0;
  aConsidered.push_back(describe(aCandidates[first]));
  aConsidered.push_back(describe(aCandidates[second]));
  return aCandidates[second].score < aCandidates[first].score ? aCandidates[second] : aCandidates[first];
}

std::vector<Candidate>
nearestCandidates(const PlacementQuery& aQuery,
                  const std::vector<const AgentView*>& aAgents,
                  const std::optional<VersionName>& aVersion,
                  const RouterOptions& aOptions)
{
  std::vector<Candidate> local;
  std::vector<Candidate> all;
  for (const AgentView* agent : aAgents) {
    if (aVersion && !loaded(*agent, aQuery.model, *aVersion)) {
      continue;
    }
    all.push_back(scoreAgent(aQuery, *agent, aOptions));
    if (agent->entry.dataCentre == aOptions.dataCentre) {
      local.push_back(all.back());
    }
  }
  return local.empty() ? all : local;
}

} // namespace

std::optional<Placement>
choosePlacement(const PlacementQuery& aQuery,
                const Agents& aAgents,
                const std::vector<VersionShare>& aShares,
                const std::vector<Move>& aMoves,
                const RouterOptions& aOptions,
                std::mt19937_64& aRandom,
                TimePoint aNow)
{
  std::vector<const AgentView*> eligible;
  for (const auto& [instance, agent] : aAgents) {
    if (serves(aQuery, agent) && rejectionReason(aQuery, agent, aOptions, aNow).empty()) {
      eligible.push_back(&agent);
    }
  }
  std::optional<VersionName> version;
  if (aQuery.service.empty()) {
    version = chooseVersion(versionWeights(aQuery, eligible, aShares, aMoves), aQuery.request);
    if (!version) {
      return std::nullopt;
    }
  }
  const auto candidates = nearestCandidates(aQuery, eligible, version, aOptions);
  if (candidates.empty()) {
    return std::nullopt;
  }
  json considered = json::array();
  const Candidate chosen = powerOfTwo(candidates, aRandom, considered);
  Placement placement;
  placement.agent = chosen.agent->entry.instance;
  placement.boot = chosen.agent->boot;
  placement.version = version.value_or("");
  placement.explanation = {
    { "request", aQuery.request },        { "model", aQuery.model },
    { "service", aQuery.service },        { "version", placement.version },
    { "agent", placement.agent },         { "candidates", candidates.size() },
    { "weighed", std::move(considered) }, { "reason", candidates.size() == 1 ? "only candidate" : "lower score of two" }
  };
  return placement;
}

} // namespace rhubarbarch::router
