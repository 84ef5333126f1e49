#pragma once

#include "rhubarbarch/base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rhubarbarch::gateway {

/// Requests and further attempts of one service within a sliding window, for this gateway's share of the fleet's limit.
class RetryShare
{
public:
  /// Counts a request.
  void noteRequest(TimePoint aNow) { mRequests.push_back(aNow); }

  /// Takes one further attempt if the share allows it. The share is what the fleet's ratio gives for the requests
  /// seen here, and an equal part of the fleet's slack, so that the sum over all gateways keeps to the limit without
  /// any message between them.
  /// @param aRatio further attempts per request
  /// @param aSlack further attempts of the whole fleet beyond that
  /// @param aGateways gateways that share the slack
  /// @return false when the share is used up
  bool take(double aRatio, std::int64_t aSlack, std::uint32_t aGateways, Duration aWindow, TimePoint aNow)
  {
    forget(mRequests, aNow - aWindow);
    forget(mRetries, aNow - aWindow);
    const auto slack = static_cast<double>(aSlack) / std::max<std::uint32_t>(aGateways, 1) * kSlackPart;
    if (static_cast<double>(mRetries.size()) + 1 >
        aRatio * kRatioPart * static_cast<double>(mRequests.size()) + slack) {
      return false;
    }
    mRetries.push_back(aNow);
    return true;
  }

private:
  /// Parts of the limit that are used: gateways do not see each other come and go at the same moment.
  static constexpr double kSlackPart = 0.5;
  static constexpr double kRatioPart = 0.8;

  static void forget(std::deque<TimePoint>& aTimes, TimePoint aBefore)
  {
    while (!aTimes.empty() && aTimes.front() < aBefore) {
      aTimes.pop_front();
    }
  }

  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRetries;
};

using RetryShares = std::map<std::string, RetryShare>;

} // namespace rhubarbarch::gateway
