// Placement by fixed constants, as before the learned model; only measured against.
#include "former_placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <string_view>
#include <utility>

namespace rhubarbarch::gateway::former {

namespace {

/// Prompt tokens that an engine reads in a millisecond; the deployments specify 38 to 50.
constexpr double kPrefillTokensPerMs = 40;
/// Time to the first event with no prompt to read: a few engine steps and two network round trips.
constexpr double kBaseMs = 25;
/// Added for each running request: it slows the engine's steps, and so the reading of prompts between them.
constexpr double kRunningMs = 0.5;
/// Added when all slots are in use: a request then waits for another one to end.
constexpr double kSlotsFullMs = 400;
/// Cost of a cache miss beyond its prefill time, as a factor of that time: the tokens evict parts of other prompts.
constexpr double kMissWeight = 1.5;
/// Fraction of the target latency below which a faster answer has no benefit; the rest covers estimation errors.
constexpr double kEarlyFraction = 0.5;
/// Added per rank in a prompt's rendezvous order, so that equal costs follow that order.
constexpr double kRankMs = 1;
/// Added for an upstream in another data centre; about two one-way network latencies.
constexpr double kOtherDataCentreMs = 2;
/// Plain services: assumed time of a call before one was measured.
constexpr double kDefaultLatencyMs = 60;
/// The part of an upstream's error rate that exceeds the lowest rate by more than this margin is multiplied by
/// `kErrorMs` and added to its cost.
constexpr double kErrorMargin = 0.15;
constexpr double kErrorMs = 3000;

std::uint64_t
mix(std::uint64_t aValue)
{
  // Finaliser of SplitMix64: similar inputs give unrelated outputs.
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

std::uint64_t
hash(std::string_view aText)
{
  // FNV-1a: all gateways must compute the same value, which std::hash does not guarantee across builds.
  std::uint64_t value = 0xcbf29ce484222325ULL;
  for (const char character : aText) {
    value = (value ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  return mix(value);
}

/// @return the prompt part that selects the preferred upstream: the last one that other requests share
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
  Tokens uncachedTokens = 0;
  bool avoided = false;
  bool permitted = true; ///< no rate limit forbids a call now
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
    // All gateways prefer this upstream for the prompt, so it has most likely cached the shared parts.
    Tokens shared = 0;
    std::for_each(prompt.begin(), prompt.end() - 1, [&](const PromptPart& aPart) { shared += aPart.tokens; });
    cached = std::max(cached, shared);
  }
  aCandidate.uncachedTokens = std::max<Tokens>(aRequest.promptTokens - cached, 0);
  const auto queued = static_cast<double>(upstream.prefillTokens + upstream.othersPrefillTokens);
  const auto running = totalRunning(upstream);
  const auto reading = static_cast<double>(aCandidate.uncachedTokens) / kPrefillTokensPerMs;
  auto expected = kBaseMs + queued / kPrefillTokensPerMs + reading + static_cast<double>(running) * kRunningMs;
  if (running >= slots(upstream, *aRequest.service)) {
    expected += kSlotsFullMs;
  }
  expected = (expected + static_cast<double>(upstream.entry.coldMs)) * 1.0;
  aCandidate.expected = expected;
  const auto early = static_cast<double>(aRequest.target.count()) * kEarlyFraction;
  aCandidate.cost = std::max(expected, early) + reading * kMissWeight + static_cast<double>(aRank) * kRankMs;
}

void
costOfPlain(Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& upstream = *aCandidate.upstream;
  const auto latency = upstream.latencyMs > 0 ? upstream.latencyMs : kDefaultLatencyMs;
  const auto load =
    static_cast<double>(totalRunning(upstream)) / static_cast<double>(slots(upstream, *aRequest.service));
  aCandidate.expected = latency * std::max(1.0, load);
  aCandidate.cost = latency * (1 + load);
  aCandidate.cost += upstream.entry.dataCentre == aRequest.dataCentre ? 0 : kOtherDataCentreMs;
}

bool
mayTake(const Upstream& aUpstream, const Service& aService, const std::set<std::string>* aTried, TimePoint aNow)
{
  return usable(aUpstream) && aUpstream.entry.service == aService.name && !isResting(aUpstream.rest, aNow) &&
         (aTried == nullptr || !aTried->contains(aUpstream.entry.id));
}

/// @return the upstreams in the request's rendezvous order; those to avoid only if no other one may be called
std::vector<Candidate>
candidates(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow)
{
  std::vector<Candidate> found;
  const auto part = aRequest.prompt == nullptr ? std::string_view{} : affinityPart(*aRequest.prompt);
  const auto partHash = hash(part);
  for (auto& [id, upstream] : aUpstreams.byId) {
    if (!mayTake(upstream, *aRequest.service, aRequest.avoid, aNow)) {
      continue;
    }
    decay(upstream, aNow);
    Candidate candidate;
    candidate.upstream = &upstream;
    candidate.weight = mix(partHash ^ hash(id));
    candidate.avoided = aNow < upstream.avoidUntil || upstream.rest.trial;
    candidate.permitted = mayCall(upstream.limit, aNow);
    found.push_back(candidate);
  }
  if (std::ranges::any_of(found, [](const Candidate& aEach) { return aEach.permitted && !aEach.avoided; })) {
    std::erase_if(found, [](const Candidate& aEach) { return aEach.avoided; });
  }
  std::ranges::sort(found, std::greater{}, &Candidate::weight);
  return found;
}

/// Counts the request at the upstream that is best for it. Without any permit, that is the best one of those whose
/// limit is not exhausted; if all are, any of them could take the request next.
void
addDemand(std::vector<Candidate>& aCandidates, bool aPermitted, TimePoint aNow)
{
  const auto exhausted = [](const Candidate& aEach) { return aEach.upstream->limit.exhausted; };
  if (!aPermitted && std::ranges::all_of(aCandidates, exhausted)) {
    std::ranges::for_each(aCandidates, [&](auto& aEach) { recordDemand(aEach.upstream->limit, aNow); });
    return;
  }
  const auto best = std::ranges::min_element(
    aCandidates, {}, [&](const Candidate& aEach) { return std::pair(!aPermitted && exhausted(aEach), aEach.cost); });
  recordDemand(best->upstream->limit, aNow);
}

} // namespace

Placement
place(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow)
{
  auto found = candidates(aUpstreams, aRequest, aNow);
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
  const bool permitted = std::ranges::any_of(found, &Candidate::permitted);
  if (aRequest.addsDemand) {
    addDemand(found, permitted, aNow);
  }
  if (!permitted) {
    Placement none;
    none.limited = true;
    return none;
  }
  const auto best =
    std::ranges::min_element(found, {}, [](const Candidate& aEach) { return std::pair(!aEach.permitted, aEach.cost); });
  Placement placed;
  placed.upstream = best->upstream;
  placed.expected = Duration(std::llround(best->expected));
  placed.uncachedTokens = best->uncachedTokens;
  return placed;
}

} // namespace rhubarbarch::gateway::former
