#include "brakes.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace rhubarbarch::router {

namespace {

constexpr int kSlots = 6;
/// Routes, models and versions come from the lists; the limit only takes effect when the lists change constantly.
constexpr std::size_t kMaxKeys = 4096;

void
add(TrafficCounts& aTotal, const TrafficCounts& aPart)
{
  aTotal.requests += aPart.requests;
  aTotal.errors += aPart.errors;
  std::ranges::transform(aTotal.latency, aPart.latency, aTotal.latency.begin(), std::plus<>());
}

TrafficCounts*
slot(CircuitBreakers& aBreakers, const TrafficKey& aKey, const RouterOptions& aOptions, TimePoint aNow)
{
  if (!aBreakers.windows.contains(aKey) && aBreakers.windows.size() >= kMaxKeys) {
    return nullptr;
  }
  auto& slots = aBreakers.windows[aKey];
  std::erase_if(slots, [&](const WindowSlot& aSlot) { return aNow - aSlot.start >= aOptions.breakerWindow; });
  if (slots.empty() || aNow - slots.back().start >= aOptions.breakerWindow / kSlots) {
    slots.push_back({ aNow, {} });
  }
  return &slots.back().counts;
}

TrafficCounts
windowTotal(const CircuitBreakers& aBreakers, const TrafficKey& aKey, const RouterOptions& aOptions, TimePoint aNow)
{
  TrafficCounts total;
  const auto found = aBreakers.windows.find(aKey);
  if (found != aBreakers.windows.end()) {
    for (const WindowSlot& part : found->second) {
      if (aNow - part.start < aOptions.breakerWindow) {
        add(total, part.counts);
      }
    }
  }
  return total;
}

double
errorRate(const TrafficCounts& aCounts)
{
  return aCounts.requests == 0 ? 0 : static_cast<double>(aCounts.errors) / static_cast<double>(aCounts.requests);
}

std::int64_t
samples(const TrafficCounts& aCounts)
{
  return std::accumulate(aCounts.latency.begin(), aCounts.latency.end(), std::int64_t{ 0 });
}

std::int32_t
medianBucket(const TrafficCounts& aCounts)
{
  const std::int64_t half = (samples(aCounts) + 1) / 2;
  std::int64_t seen = 0;
  std::int32_t bucket = 0;
  for (const std::int64_t count : aCounts.latency) {
    seen += count;
    if (seen >= half) {
      break;
    }
    ++bucket;
  }
  return bucket;
}

/// @return why the new version is worse, or an empty string
std::string
regressionReason(const TrafficCounts& aNew, const TrafficCounts& aOld, const RouterOptions& aOptions)
{
  const bool errors =
    aNew.errors >= aOptions.breakerMinErrors && errorRate(aNew) > 2 * errorRate(aOld) + aOptions.breakerErrorRateMargin;
  if (errors) {
    return "error rate " + std::to_string(errorRate(aNew)) + " against " + std::to_string(errorRate(aOld));
  }
  const bool enough = samples(aNew) >= aOptions.breakerMinSamples && samples(aOld) >= aOptions.breakerMinSamples;
  if (enough && medianBucket(aNew) >= medianBucket(aOld) + aOptions.breakerLatencyBuckets) {
    return "median first-token time in bucket " + std::to_string(medianBucket(aNew)) + " against " +
           std::to_string(medianBucket(aOld));
  }
  return {};
}

bool
ended(const Move& aMove) noexcept
{
  return aMove.state == MoveState::kDone || aMove.state == MoveState::kTakenBack;
}

bool
hasShare(const std::vector<VersionShare>& aShares, const TrafficKey& aKey)
{
  return std::ranges::any_of(aShares, [&](const VersionShare& aShare) {
    return aShare.model == std::get<0>(aKey) && aShare.version == std::get<1>(aKey) && aShare.perMille > 0;
  });
}

} // namespace

void
noteResult(CircuitBreakers& aBreakers,
           const TrafficKey& aKey,
           bool aError,
           const RouterOptions& aOptions,
           TimePoint aNow)
{
  if (TrafficCounts* counts = slot(aBreakers, aKey, aOptions, aNow)) {
    ++counts->requests;
    counts->errors += aError ? 1 : 0;
    TrafficCounts& unsent = aBreakers.unsent[aKey];
    ++unsent.requests;
    unsent.errors += aError ? 1 : 0;
  }
}

void
noteFirstToken(CircuitBreakers& aBreakers,
               const TrafficKey& aKey,
               Duration aTime,
               const RouterOptions& aOptions,
               TimePoint aNow)
{
  const auto time = static_cast<std::uint64_t>(std::max<Duration::rep>(1, aTime.count()));
  const std::size_t bucket = std::min<std::size_t>(kLatencyBuckets - 1, std::bit_width(time) - 1);
  if (TrafficCounts* counts = slot(aBreakers, aKey, aOptions, aNow)) {
    ++counts->latency.at(bucket);
    ++aBreakers.unsent[aKey].latency.at(bucket);
  }
}

std::vector<TrafficKey>
evaluateVersions(CircuitBreakers& aBreakers,
                 const std::vector<Move>& aMoves,
                 const RouterOptions& aOptions,
                 TimePoint aNow)
{
  std::vector<TrafficKey> tripped;
  for (const Move& move : aMoves) {
    if (ended(move)) {
      continue;
    }
    for (const auto& [key, slots] : aBreakers.windows) {
      const auto& [model, version, route] = key;
      if (model != move.model || version != move.toVersion || aBreakers.breakers.contains(key)) {
        continue;
      }
      const TrafficKey old{ model, move.fromVersion, route };
      const std::string reason = regressionReason(
        windowTotal(aBreakers, key, aOptions, aNow), windowTotal(aBreakers, old, aOptions, aNow), aOptions);
      if (!reason.empty()) {
        tripped.push_back(key);
        aBreakers.breakers[key] = CircuitBreaker{ reason, move.id, false, aNow };
      }
    }
  }
  return tripped;
}

void
applyShares(CircuitBreakers& aBreakers, const std::vector<VersionShare>& aShares, const std::vector<Move>& aMoves)
{
  for (auto& [key, breaker] : aBreakers.breakers) {
    breaker.trafficStopped = !hasShare(aShares, key);
  }
  std::erase_if(aBreakers.breakers, [&](const auto& aEntry) {
    const auto move = std::ranges::find(aMoves, aEntry.second.move, &Move::id);
    return aEntry.second.trafficStopped && (move == aMoves.end() || ended(*move));
  });
}

std::set<VersionName>
trippedVersions(const CircuitBreakers& aBreakers, const ModelName& aModel, const std::string& aRoute)
{
  std::set<VersionName> versions;
  for (const auto& [key, breaker] : aBreakers.breakers) {
    if (std::get<0>(key) == aModel && std::get<2>(key) == aRoute) {
      versions.insert(std::get<1>(key));
    }
  }
  return versions;
}

std::vector<BrakeReport>
dueReports(CircuitBreakers& aBreakers, SessionId aSession, const RouterOptions& aOptions, TimePoint aNow)
{
  std::vector<BrakeReport> reports;
  for (auto& [key, breaker] : aBreakers.breakers) {
    if (!breaker.trafficStopped && aNow >= breaker.reportAt) {
      breaker.reportAt = aNow + aOptions.resendPeriod;
      reports.push_back({ aSession, std::get<0>(key), std::get<1>(key), std::get<2>(key), breaker.reason });
    }
  }
  return reports;
}

std::vector<TrafficSample>
samplesForPoll(CircuitBreakers& aBreakers, std::uint64_t aPoll)
{
  for (const auto& [key, counts] : aBreakers.unsent) {
    add(aBreakers.sent[key], counts);
  }
  aBreakers.unsent.clear();
  aBreakers.sentInPoll = aPoll;
  std::vector<TrafficSample> result;
  for (const auto& [key, counts] : aBreakers.sent) {
    TrafficSample sample{ std::get<0>(key), std::get<1>(key), std::get<2>(key), counts.requests, counts.errors, {} };
    sample.latencyBuckets.assign(counts.latency.begin(), counts.latency.end());
    result.push_back(std::move(sample));
  }
  return result;
}

void
samplesAnswered(CircuitBreakers& aBreakers, std::uint64_t aPoll)
{
  // Only the answer to the newest poll confirms that all samples arrived.
  if (aPoll >= aBreakers.sentInPoll) {
    aBreakers.sent.clear();
  }
}

} // namespace rhubarbarch::router
