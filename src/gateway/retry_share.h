#pragma once

#include "rhubarbarch/base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rhubarbarch::gateway {

/// Limits the retries of one service to this gateway's portion of the fleet's limit, by counting requests and retries
/// within a sliding window.
class RetryLimiter
{
public:
  /// Counts a request.
  void recordRequest(TimePoint aNow) { mRequests.push_back(aNow); }

  /// Takes one retry if this gateway's portion allows it. The portion is the fleet's ratio applied to the requests at
  /// this gateway, plus an equal part of the fleet's slack, so that the sum over all gateways stays within the limit
  /// without coordination.
  /// @param aRatio retries per request
  /// @param aSlack retries of the whole fleet beyond the ratio
  /// @param aGateways gateways that share the slack
  /// @return false when the portion is used up
  bool take(double aRatio, std::int64_t aSlack, std::uint32_t aGateways, Duration aWindow, TimePoint aNow)
  {
    removeBefore(mRequests, aNow - aWindow);
    removeBefore(mRetries, aNow - aWindow);
    const auto slack = static_cast<double>(aSlack) / std::max<std::uint32_t>(aGateways, 1) * kSlackFraction;
    if (static_cast<double>(mRetries.size()) + 1 >
        aRatio * kRatioFraction * static_cast<double>(mRequests.size()) + slack) {
      return false;
    }
    mRetries.push_back(aNow);
    return true;
  }

private:
  /// Fractions of the limit that are used. The margin covers the time until all gateways have the same gateway count
  /// after one starts or stops.
  static constexpr double kSlackFraction = 0.5;
  static constexpr double kRatioFraction = 0.8;

  static void removeBefore(std::deque<TimePoint>& aTimes, TimePoint aBefore)
  {
    while (!aTimes.empty() && aTimes.front() < aBefore) {
      aTimes.pop_front();
    }
  }

  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRetries;
};

using RetryLimiters = std::map<std::string, RetryLimiter>;

} // namespace rhubarbarch::gateway
