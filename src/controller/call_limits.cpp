#include "call_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace rhubarbarch::controller {

namespace {

/// Lowest rate at which calls are permitted. Only the answer to a call shows that a limit was raised or removed.
constexpr double kMinCallsPerSecond = 0.25;
/// Cold upstreams are judged over a single second, in which permits of 1.5 s may be used: less than the burst of a
/// limit that is judged over several seconds.
constexpr double kMaxColdBurst = 4;

bool
isValid(const LimitReport& aReport)
{
  return aReport.namedAgeMs < 0 || (std::isfinite(aReport.callsPerSecond) && aReport.callsPerSecond >= 0);
}

/// A limit is removed only some time after it was last named: answers of calls that overlap reach gateways and the
/// leader in any order.
bool
isNamed(const CallLimit& aLimit, const GatewayOptions& aOptions)
{
  return aLimit.namedAt && (!aLimit.unnamedAt || *aLimit.unnamedAt - *aLimit.namedAt < aOptions.limitRemovalDelay);
}

CallLimit&
findOrAdd(CallLimits& aLimits, const std::string& aUpstream, TimePoint aNow)
{
  const auto [found, added] = aLimits.try_emplace(aUpstream);
  if (added) {
    found->second.refilledAt = aNow;
  }
  return found->second;
}

void
recordLimit(CallLimits& aLimits, const LimitReport& aReport, TimePoint aNow)
{
  if (aReport.namedAgeMs >= 0) {
    auto& limit = findOrAdd(aLimits, aReport.upstream, aNow);
    const auto namedAt = aNow - Duration(aReport.namedAgeMs);
    if (!limit.namedAt || namedAt >= *limit.namedAt) {
      limit.namedAt = namedAt;
      limit.callsPerSecond = aReport.callsPerSecond;
    }
  }
  const auto found = aLimits.find(aReport.upstream);
  if (found == aLimits.end()) {
    return;
  }
  auto& limit = found->second;
  limit.reportedAt = aNow;
  if (aReport.unnamedAgeMs >= 0) {
    limit.unnamedAt = std::max(limit.unnamedAt.value_or(TimePoint{}), aNow - Duration(aReport.unnamedAgeMs));
  }
}

/// Calls of a rate that may be made at once after a pause.
double
burst(double aCallsPerSecond, const GatewayOptions& aOptions)
{
  return std::max(1.0, aCallsPerSecond * std::chrono::duration<double>(aOptions.permitBurst).count());
}

/// Rate and burst in force for an upstream.
struct Allowance
{
  double callsPerSecond = 0;
  double burst = 0;
};

/// @return nothing if the upstream is not limited now
std::optional<Allowance>
allowanceOf(const CallLimit& aLimit, const GatewayOptions& aOptions, TimePoint aNow)
{
  std::optional<Allowance> allowance;
  if (isNamed(aLimit, aOptions)) {
    const auto rate = std::max(aLimit.callsPerSecond, kMinCallsPerSecond);
    allowance = { rate, burst(rate, aOptions) };
  }
  if (aNow < aLimit.coldUntil && (!allowance || aLimit.coldCallsPerSecond < allowance->callsPerSecond)) {
    const auto rate = aLimit.coldCallsPerSecond;
    allowance = { rate, std::min(burst(rate, aOptions), kMaxColdBurst) };
  }
  return allowance;
}

void
refill(CallLimit& aLimit, const Allowance& aAllowance, TimePoint aNow)
{
  const auto passed = std::chrono::duration<double>(aNow - aLimit.refilledAt).count();
  aLimit.available = std::min(aLimit.available + aAllowance.callsPerSecond * passed, aAllowance.burst);
  aLimit.refilledAt = aNow;
}

} // namespace

void
recordLimits(CallLimits& aLimits, const std::vector<LimitReport>& aReports, TimePoint aNow)
{
  for (const auto& report : aReports) {
    if (isValid(report)) {
      recordLimit(aLimits, report, aNow);
    }
  }
}

void
recordColdUpstreams(CallLimits& aLimits,
                    const std::vector<UpstreamEntry>& aUpstreams,
                    const std::vector<Service>& aServices,
                    TimePoint aReadAt,
                    TimePoint aNow)
{
  for (const auto& upstream : aUpstreams) {
    const auto coldUntil = aReadAt + Duration(upstream.coldMs);
    if (upstream.coldMs <= 0 || coldUntil <= aNow) {
      continue;
    }
    const auto service = std::ranges::find(aServices, upstream.service, &Service::name);
    if (service == aServices.end() || service->coldCallsPerSecond <= 0) {
      continue;
    }
    auto& limit = findOrAdd(aLimits, upstream.id, aNow);
    limit.coldCallsPerSecond = service->coldCallsPerSecond;
    limit.coldUntil = coldUntil;
    limit.reportedAt = aNow;
  }
}

void
expireLimits(CallLimits& aLimits, const GatewayOptions& aOptions, TimePoint aNow)
{
  std::erase_if(aLimits, [&](const auto& aItem) { return aNow - aItem.second.reportedAt >= aOptions.limitRetention; });
}

std::vector<CallPermit>
permitCalls(CallLimits& aLimits,
            const std::vector<LimitReport>& aWanted,
            const GatewayOptions& aOptions,
            TimePoint aNow)
{
  std::vector<CallPermit> permits;
  for (auto& [upstream, limit] : aLimits) {
    const auto allowance = allowanceOf(limit, aOptions, aNow);
    if (!allowance) {
      limit.available = 0;
      limit.refilledAt = aNow;
      continue;
    }
    refill(limit, *allowance, aNow);
    const auto report = std::ranges::find(aWanted, upstream, &LimitReport::upstream);
    const auto wanted = report == aWanted.end() ? 0 : std::max<std::int64_t>(report->wanted, 0);
    const auto calls = std::min(wanted, static_cast<std::int64_t>(limit.available));
    limit.available -= static_cast<double>(calls);
    permits.push_back({ upstream, allowance->callsPerSecond, calls });
  }
  return permits;
}

} // namespace rhubarbarch::controller
