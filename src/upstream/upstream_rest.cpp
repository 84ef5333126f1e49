#include "rhubarbarch/upstream/upstream_rest.h"

#include <algorithm>
#include <chrono>

namespace rhubarbarch::upstream {

namespace {

/// Longest time without a call because of one request for rest.
constexpr Duration kLongestRest = std::chrono::minutes(1);

} // namespace

bool
isResting(const UpstreamRest& aRest, TimePoint aNow) noexcept
{
  return aNow < aRest.until;
}

void
askForRest(UpstreamRest& aRest, Duration aTime, TimePoint aNow) noexcept
{
  if (aTime <= Duration{ 0 }) {
    return;
  }
  aRest.until = std::max(aRest.until, aNow + std::min(aTime, kLongestRest));
  aRest.unconfirmed = true;
}

bool
beginTrial(UpstreamRest& aRest) noexcept
{
  if (!aRest.unconfirmed || aRest.trial) {
    return false;
  }
  aRest.trial = true;
  return true;
}

void
endTrial(UpstreamRest& aRest, bool aAnswered) noexcept
{
  aRest.trial = false;
  aRest.unconfirmed = aRest.unconfirmed && !aAnswered;
}

} // namespace rhubarbarch::upstream
