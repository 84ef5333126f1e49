#include "rhubarbarch/upstream/call_limit.h"

#include <algorithm>

namespace rhubarbarch::upstream {

namespace {

/// Bounds the memory of `demand` and `permits`.
constexpr std::size_t kMaxCalls = 1024;

void
dropUntil(std::deque<TimePoint>& aTimes, TimePoint aTime)
{
  while (!aTimes.empty() && aTimes.front() <= aTime) {
    aTimes.pop_front();
  }
}

} // namespace

bool
isLimited(const CallLimit& aLimit, TimePoint aNow) noexcept
{
  return aLimit.callsPerSecond.has_value() || aLimit.announced.has_value() || aNow < aLimit.coldUntil;
}

bool
mayCall(CallLimit& aLimit, TimePoint aNow)
{
  dropUntil(aLimit.permits, aNow);
  return !isLimited(aLimit, aNow) || !aLimit.permits.empty();
}

void
addPermits(CallLimit& aLimit, std::int64_t aCalls, TimePoint aExpiresAt)
{
  const auto calls = static_cast<std::size_t>(std::max<std::int64_t>(aCalls, 0));
  const auto room = kMaxCalls - std::min(kMaxCalls, aLimit.permits.size());
  aLimit.permits.insert(aLimit.permits.end(), std::min(calls, room), aExpiresAt);
}

void
recordCall(CallLimit& aLimit, TimePoint aNow) noexcept
{
  if (isLimited(aLimit, aNow) && !aLimit.permits.empty()) {
    aLimit.permits.pop_front();
  }
}

void
recordDemand(CallLimit& aLimit, TimePoint aNow)
{
  if (isLimited(aLimit, aNow) && aLimit.demand.size() < kMaxCalls) {
    aLimit.demand.push_back(aNow);
  }
}

std::int64_t
wantedCalls(CallLimit& aLimit, Duration aWindow, TimePoint aNow)
{
  dropUntil(aLimit.permits, aNow);
  dropUntil(aLimit.demand, aNow - aWindow);
  const auto wanted =
    static_cast<std::int64_t>(aLimit.demand.size()) - static_cast<std::int64_t>(aLimit.permits.size());
  return std::max<std::int64_t>(wanted, 0);
}

bool
recordNamedLimit(CallLimit& aLimit, std::optional<double> aCallsPerSecond, TimePoint aNow)
{
  if (!aCallsPerSecond) {
    if (isLimited(aLimit, aNow)) {
      aLimit.unnamedAt = aNow;
    }
    return false;
  }
  const bool first = !aLimit.callsPerSecond;
  aLimit.callsPerSecond = aCallsPerSecond;
  aLimit.namedAt = aNow;
  return first;
}

void
removeLimit(CallLimit& aLimit) noexcept
{
  aLimit.callsPerSecond.reset();
  aLimit.namedAt.reset();
  aLimit.unnamedAt.reset();
  aLimit.announced.reset();
  aLimit.exhausted = false;
}

} // namespace rhubarbarch::upstream
