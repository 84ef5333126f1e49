#include "call_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace rhubarbarch::controller {

namespace {

/// Lowest rate at which calls are permitted. Only the answer to a call shows that a limit was raised or removed.
constexpr double kMinCallsPerSecond = 0.25;

bool
isValid(const LimitReport& aReport)
{
  return aReport.namedAgeMs < 0 || (std::isfinite(aReport.callsPerSecond) && aReport.callsPerSecond >= 0);
}

/// A limit is removed only some time after it was last named: answers of calls that overlap reach gateways and the
/// leader in any order.
bool
isInForce(const CallLimit& aLimit, const GatewayOptions& aOptions)
{
  return !aLimit.unnamedAt || *aLimit.unnamedAt - aLimit.namedAt < aOptions.limitRemovalDelay;
}

void
recordLimit(CallLimits& aLimits, const LimitReport& aReport, TimePoint aNow)
{
  auto found = aLimits.find(aReport.upstream);
  if (aReport.namedAgeMs >= 0) {
    const auto namedAt = aNow - Duration(aReport.namedAgeMs);
    if (found == aLimits.end()) {
      found = aLimits.try_emplace(aReport.upstream).first;
      found->second.refilledAt = aNow;
    }
    auto& limit = found->second;
    if (namedAt >= limit.namedAt) {
      limit.namedAt = namedAt;
      limit.callsPerSecond = aReport.callsPerSecond;
    }
  }
  if (found == aLimits.end()) {
    return;
  }
  auto& limit = found->second;
  limit.reportedAt = aNow;
  if (aReport.unnamedAgeMs >= 0) {
    limit.unnamedAt = std::max(limit.unnamedAt.value_or(TimePoint{}), aNow - Duration(aReport.unnamedAgeMs));
  }
}

void
refill(CallLimit& aLimit, const GatewayOptions& aOptions, TimePoint aNow)
{
  const auto rate = std::max(aLimit.callsPerSecond, kMinCallsPerSecond);
  const auto burst = std::max(1.0, rate * std::chrono::duration<double>(aOptions.permitBurst).count());
  const auto passed = std::chrono::duration<double>(aNow - aLimit.refilledAt).count();
  aLimit.available = std::min(aLimit.available + rate * passed, burst);
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
    if (!isInForce(limit, aOptions)) {
      continue;
    }
    refill(limit, aOptions, aNow);
    const auto report = std::ranges::find(aWanted, upstream, &LimitReport::upstream);
    const auto wanted = report == aWanted.end() ? 0 : std::max<std::int64_t>(report->wanted, 0);
    const auto calls = std::min(wanted, static_cast<std::int64_t>(limit.available));
    limit.available -= static_cast<double>(calls);
    permits.push_back({ upstream, limit.callsPerSecond, calls });
  }
  return permits;
}

} // namespace rhubarbarch::controller
