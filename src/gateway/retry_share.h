#pragma once

#include "rhubarbarch/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace rhubarbarch::gateway {

/// The largest value of the last window of time.
class RecentMaximum
{
public:
  /// Records the value from now on.
  void record(std::uint32_t aValue, TimePoint aNow)
  {
    while (!mValues.empty() && mValues.back().second < aValue) {
      mValues.pop_back();
    }
    if (mValues.empty() || mValues.back().second != aValue) {
      mValues.emplace_back(aNow, aValue);
    }
  }

  /// @return the largest value in force within the window; zero when none was recorded
  std::uint32_t value(Duration aWindow, TimePoint aNow)
  {
    // A value was in force until the next one was recorded.
    while (mValues.size() > 1 && mValues[1].first + aWindow <= aNow) {
      mValues.pop_front();
    }
    return mValues.empty() ? 0 : mValues.front().second;
  }

private:
  /// Decreasing values, each with the time from which it was in force.
  std::deque<std::pair<TimePoint, std::uint32_t>> mValues;
};

/// Limits the retries of one service to this gateway's portion of the fleet's limit, by counting requests and retries
/// within a sliding window.
class RetryLimiter
{
public:
  /// Counts a request.
  void recordRequest(Duration aWindow, TimePoint aNow)
  {
    removeBefore(mRequests, aNow - aWindow);
    mRequests.push_back(aNow);
  }

  /// Takes one retry if this gateway's portion allows it. The portion is the fleet's ratio applied to the requests at
  /// this gateway, plus a part of the fleet's slack, so that the sum over all gateways stays within the limit without
  /// coordination.
  /// @param aRatio retries per request
  /// @param aSlack this gateway's part of the retries beyond the ratio
  /// @return false when the portion is used up
  bool take(double aRatio, double aSlack, Duration aWindow, TimePoint aNow)
  {
    removeBefore(mRequests, aNow - aWindow);
    removeBefore(mRetries, aNow - aWindow);
    if (static_cast<double>(mRetries.size()) + 1 >
        aRatio * kRatioFraction * static_cast<double>(mRequests.size()) + aSlack * kSlackFraction) {
      return false;
    }
    mRetries.push_back(aNow);
    return true;
  }

  /// @return the requests that are counted
  std::size_t requests() const noexcept { return mRequests.size(); }

private:
  /// Fractions of the limit that are used. The margin covers gateways that the leader does not count because it cannot
  /// hear them, and the time until all gateways know of a new one.
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
