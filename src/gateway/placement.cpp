#include "placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <string_view>

namespace rhubarbarch::gateway {

namespace {

/// Prompt tokens that an engine reads in a millisecond; the deployments' sheets name 38 to 50.
constexpr double kPrefillTokensPerMs = 40;
/// Time to a first event with nothing to read: a few steps of the engine and two network round trips.
constexpr double kBaseMs = 25;
/// Each running request slows the engine's steps, and so the reading of prompts between them.
constexpr double kRunningMs = 0.5;
/// Added when all slots are taken: a request then waits for another one to end.
constexpr double kFullMs = 400;
/// Price of a cache miss beyond its own time: the tokens push out others' parts.
constexpr double kMissWeight = 1.5;
/// Part of the target latency below which an earlier answer counts for nothing; the rest covers errors of the estimate.
constexpr double kEarlyEnough = 0.5;
/// Added to the cost of each further choice of a prompt's order, so that equal costs follow the order.
constexpr double kRankMs = 1;
/// Added for an upstream in another data centre, about two one-way times.
constexpr double kOtherCentreMs = 2;
/// Plain services: time of a call when none was measured yet.
constexpr double kUnknownLatencyMs = 60;
/// Errors beyond the best upstream's rate and this margin count as a time of `kErrorMs`.
constexpr double kErrorMargin = 0.15;
constexpr double kErrorMs = 3000;

std::uint64_t
mix(std::uint64_t aValue)
{
  // Finaliser of SplitMix64: neighbouring inputs get unrelated outputs.
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

std::uint64_t
hash(std::string_view aText)
{
  // FNV-1a: all gateways must compute the same value, which std::hash does not promise across builds.
  std::uint64_t value = 0xcbf29ce484222325ULL;
  for (const char character : aText) {
    value = (value ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  return mix(value);
}

/// The part that decides which upstream a prompt prefers: the last one that other requests share.
std::string_view
affinityPart(const std::vector<PromptPart>& aPrompt)
{
  return aPrompt.size() < 2 ? std::string_view{} : std::string_view(aPrompt[aPrompt.size() - 2].id);
}

struct Candidate
{
  Upstream* upstream = nullptr;
  std::uint64_t weight = 0; ///< rendezvous hash
  double cost = 0;
  double expected = 0;
  Tokens missing = 0;
};

double
errorCost(const Upstream& aUpstream, double aBestRate)
{
  return std::max(0.0, aUpstream.errorRate - aBestRate - kErrorMargin) * kErrorMs;
}

std::int64_t
slots(const Upstream& aUpstream, const Service& aService)
{
  const auto limit = aUpstream.entry.slots > 0 ? aUpstream.entry.slots : aService.engine.slots;
  return std::max<std::int64_t>(limit, 1);
}

std::int64_t
totalRunning(const Upstream& aUpstream)
{
  return aUpstream.running + aUpstream.othersRunning;
}

void
costOfEngine(Candidate& aCandidate, const PlacementRequest& aRequest, std::size_t aRank)
{
  const auto& upstream = *aCandidate.upstream;
  const auto& prompt = *aRequest.prompt;
  auto cached = upstream.cache.cachedTokens(prompt);
  if (aRank == 0 && prompt.size() > 1) {
    // All gateways send a prompt here first, so its shared parts are most likely there.
    Tokens shared = 0;
    std::for_each(prompt.begin(), prompt.end() - 1, [&](const PromptPart& aPart) { shared += aPart.tokens; });
    cached = std::max(cached, shared);
  }
  aCandidate.missing = std::max<Tokens>(aRequest.promptTokens - cached, 0);
  const auto queued = static_cast<double>(upstream.prefillTokens + upstream.othersPrefillTokens);
  const auto running = totalRunning(upstream);
  const auto reading = static_cast<double>(aCandidate.missing) / kPrefillTokensPerMs;
  auto expected = kBaseMs + queued / kPrefillTokensPerMs + reading + static_cast<double>(running) * kRunningMs;
  if (running >= slots(upstream, *aRequest.service)) {
    expected += kFullMs;
  }
  expected = (expected + static_cast<double>(upstream.entry.coldMs)) * std::max(1.0, upstream.slowness);
  aCandidate.expected = expected;
  const auto early = static_cast<double>(aRequest.target.count()) * kEarlyEnough;
  aCandidate.cost = std::max(expected, early) + reading * kMissWeight + static_cast<double>(aRank) * kRankMs;
}

void
costOfPlain(Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& upstream = *aCandidate.upstream;
  const auto latency = upstream.latencyMs > 0 ? upstream.latencyMs : kUnknownLatencyMs;
  const auto load =
    static_cast<double>(totalRunning(upstream)) / static_cast<double>(slots(upstream, *aRequest.service));
  aCandidate.expected = latency * std::max(1.0, load);
  aCandidate.cost = latency * (1 + load);
  aCandidate.cost += upstream.entry.dataCentre == aRequest.dataCentre ? 0 : kOtherCentreMs;
}

std::vector<Candidate>
candidates(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow, bool aAvoided)
{
  std::vector<Candidate> found;
  const auto part = aRequest.prompt == nullptr ? std::string_view{} : affinityPart(*aRequest.prompt);
  const auto partHash = hash(part);
  for (auto& [id, upstream] : aUpstreams.byId) {
    const bool tried = aRequest.avoid != nullptr && aRequest.avoid->contains(id);
    if (!usable(upstream) || tried || upstream.entry.service != aRequest.service->name ||
        (!aAvoided && aNow < upstream.avoidUntil)) {
      continue;
    }
    decay(upstream, aNow);
    found.push_back({ &upstream, mix(partHash ^ hash(id)), 0, 0, 0 });
  }
  std::ranges::sort(found, std::greater{}, &Candidate::weight);
  return found;
}

} // namespace

Placement
place(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow)
{
  auto found = candidates(aUpstreams, aRequest, aNow, false);
  if (found.empty()) {
    found = candidates(aUpstreams, aRequest, aNow, true);
  }
  if (found.empty()) {
    return {};
  }
  const auto bestRate =
    std::ranges::min(found, {}, [](const Candidate& aEach) { return aEach.upstream->errorRate; }).upstream->errorRate;
  for (std::size_t rank = 0; rank < found.size(); ++rank) {
    auto& candidate = found[rank];
    if (aRequest.service->isEngine && aRequest.prompt != nullptr) {
      costOfEngine(candidate, aRequest, rank);
    } else {
      costOfPlain(candidate, aRequest);
    }
    candidate.cost += errorCost(*candidate.upstream, bestRate);
  }
  const auto best = std::ranges::min_element(found, {}, &Candidate::cost);
  return { best->upstream, Duration(std::llround(best->expected)), best->missing };
}

} // namespace rhubarbarch::gateway
