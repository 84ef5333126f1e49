#include "rhubarbarch/upstream/upstreams.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace rhubarbarch::upstream {

namespace {

/// Time for which an unreachable upstream is avoided after the first failure; doubles with each further one.
constexpr Duration kFirstAvoidance{ 500 };
/// Limit of that time: a restarted server should not wait longer for its first call.
constexpr Duration kLongestAvoidance{ 4000 };
/// Weight of one answer in the smoothed error rate: a server that fails 40% of its calls is detected after about ten.
constexpr double kErrorWeight = 0.1;
/// Weight of one measurement in the smoothed times of plain services.
constexpr double kTimeWeight = 0.2;
/// Limit on the ratio of one measurement, since a single queue or preemption does not make a server slow.
constexpr double kLargestRatio = 10;
/// Half-life of recorded errors and times.
constexpr double kHalfLifeMs = 3000;

bool
present(const Upstream& aUpstream)
{
  return aUpstream.listed && !aUpstream.entry.leaving;
}

/// Derives which upstreams a rollout bars. While a rollout runs, its target version gets no calls, since the share of
/// an unproved version is not dealt out yet. Once it was rolled back, the target serves only where nothing else is
/// left: no fault of it was seen, and a refusal would help no caller.
void
updateBarred(Upstreams& aUpstreams, const RolloutRule& aRule)
{
  const auto use = [&](const Upstream& aUpstream) { return versionUse(aRule, aUpstream.entry.version); };
  const bool othersServe = std::ranges::any_of(aUpstreams.byId, [&](const auto& aItem) {
    const auto& upstream = aItem.second;
    return upstream.entry.service == aRule.service && present(upstream) && use(upstream) == VersionUse::kServes;
  });
  for (auto& [id, upstream] : aUpstreams.byId) {
    if (upstream.entry.service == aRule.service) {
      upstream.barred = use(upstream) != VersionUse::kServes && (isOpen(aRule.phase) || othersServe);
    }
  }
}

void
updateBarred(Upstreams& aUpstreams)
{
  std::ranges::for_each(aUpstreams.rollouts, [&](const auto& aRule) { updateBarred(aUpstreams, aRule); });
}

} // namespace

void
applyList(Upstreams& aUpstreams, const std::vector<UpstreamEntry>& aList, TimePoint aReadAt, TimePoint aNow)
{
  if (aUpstreams.received && aReadAt < aUpstreams.listedAt) {
    return;
  }
  for (auto& [id, upstream] : aUpstreams.byId) {
    upstream.listed = false;
  }
  for (const auto& entry : aList) {
    auto [found, added] = aUpstreams.byId.try_emplace(entry.id);
    auto& upstream = found->second;
    if (added) {
      upstream.decayedAt = aNow;
    }
    // An upstream that was listed as leaving never becomes usable again under the same id.
    const bool leaving = entry.leaving || (!added && upstream.entry.leaving);
    upstream.entry = entry;
    upstream.entry.leaving = leaving;
    upstream.listed = true;
    upstream.evacuated = aUpstreams.evacuated.contains(entry.dataCentre);
  }
  aUpstreams.listedAt = aReadAt;
  aUpstreams.received = true;
  updateBarred(aUpstreams);
  removeUnlisted(aUpstreams, aNow);
}

bool
applyRollouts(Upstreams& aUpstreams, const std::vector<RolloutRule>& aRollouts, std::uint64_t aRevision)
{
  if (aRevision <= aUpstreams.rolloutsRevision) {
    return false;
  }
  aUpstreams.rolloutsRevision = aRevision;
  aUpstreams.rollouts = aRollouts;
  updateBarred(aUpstreams);
  return true;
}

bool
applyEvacuations(Upstreams& aUpstreams, const std::vector<DataCentre>& aDataCentres, std::uint64_t aRevision)
{
  if (aRevision <= aUpstreams.evacuationsRevision) {
    return false;
  }
  aUpstreams.evacuationsRevision = aRevision;
  aUpstreams.evacuated = { aDataCentres.begin(), aDataCentres.end() };
  for (auto& [id, upstream] : aUpstreams.byId) {
    upstream.evacuated = aUpstreams.evacuated.contains(upstream.entry.dataCentre);
  }
  return true;
}

void
applyOthersUse(Upstreams& aUpstreams, const std::vector<UpstreamUse>& aUses)
{
  for (auto& [id, upstream] : aUpstreams.byId) {
    upstream.othersRunning = 0;
    upstream.othersPrefillTokens = 0;
  }
  for (const auto& use : aUses) {
    if (const auto found = aUpstreams.byId.find(use.id); found != aUpstreams.byId.end()) {
      found->second.othersRunning = use.running;
      found->second.othersPrefillTokens = use.prefillTokens;
    }
  }
}

std::vector<UpstreamUse>
reportCalls(const Upstreams& aUpstreams)
{
  std::vector<UpstreamUse> uses;
  for (const auto& [id, upstream] : aUpstreams.byId) {
    if (upstream.running > 0) {
      uses.push_back({ id, upstream.running, upstream.prefillTokens });
    }
  }
  return uses;
}

void
recordUnreachable(Upstream& aUpstream, TimePoint aNow)
{
  const auto avoidance = std::min(kFirstAvoidance * (1 << std::min(aUpstream.failures, 4)), kLongestAvoidance);
  aUpstream.avoidUntil = aNow + avoidance;
  ++aUpstream.failures;
}

void
recordAnswer(Upstream& aUpstream, bool aFailed, TimePoint aNow)
{
  decay(aUpstream, aNow);
  aUpstream.failures = 0;
  aUpstream.errorRate += kErrorWeight * ((aFailed ? 1.0 : 0.0) - aUpstream.errorRate);
}

void
recordTime(Upstream& aUpstream, Duration aTaken, bool aEngine, TimePoint aNow)
{
  decay(aUpstream, aNow);
  aUpstream.failures = 0;
  if (aEngine) {
    return;
  }
  const auto taken = static_cast<double>(aTaken.count());
  aUpstream.latencyMs =
    aUpstream.latencyMs == 0 ? taken : aUpstream.latencyMs + kTimeWeight * (taken - aUpstream.latencyMs);
}

void
recordSlowness(Upstream& aUpstream, Duration aTaken, Duration aExpected, TimePoint aNow)
{
  decay(aUpstream, aNow);
  const auto ratio = static_cast<double>(aTaken.count()) / std::max(1.0, static_cast<double>(aExpected.count()));
  aUpstream.slowness += kTimeWeight * (std::min(ratio, kLargestRatio) - aUpstream.slowness);
}

void
decay(Upstream& aUpstream, TimePoint aNow)
{
  const auto passed = std::chrono::duration<double, std::milli>(aNow - aUpstream.decayedAt).count();
  const auto retained = std::exp2(-passed / kHalfLifeMs);
  aUpstream.decayedAt = aNow;
  aUpstream.errorRate *= retained;
  aUpstream.slowness = 1 + (aUpstream.slowness - 1) * retained;
  aUpstream.latencyMs *= retained;
}

bool
usable(const Upstream& aUpstream) noexcept
{
  return present(aUpstream) && !aUpstream.evacuated && !aUpstream.barred;
}

void
removeUnlisted(Upstreams& aUpstreams, TimePoint aNow)
{
  std::erase_if(aUpstreams.byId, [aNow](const auto& aItem) {
    const auto& upstream = aItem.second;
    return !upstream.listed && upstream.running == 0 && !isResting(upstream.rest, aNow);
  });
}

} // namespace rhubarbarch::upstream
