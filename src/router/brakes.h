#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/options.h"
#include "rhubarbarch/wire/control_messages.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace rhubarbarch::router {

inline constexpr std::size_t kLatencyBuckets = 20; ///< the last one begins at 524 s

/// Traffic of one version on one route.
struct TrafficCounts
{
  std::int64_t requests = 0;
  std::int64_t errors = 0;
  std::array<std::int64_t, kLatencyBuckets> latency{}; ///< bucket i: first-token times in [2^i, 2^(i+1)) ms
};

/// Counts of one part of the sliding window.
struct WindowSlot
{
  TimePoint start;
  TrafficCounts counts;
};

/// Model, version, route.
using TrafficKey = std::tuple<ModelName, VersionName, std::string>;

/// Tripped circuit breaker: this router has stopped using the version on one route.
struct CircuitBreaker
{
  std::string reason;
  std::string move;            ///< id of the move that introduced the version
  bool trafficStopped = false; ///< the version's traffic share is zero, so no more reports are needed
  TimePoint reportAt;          ///< next report
};

/// Samples and circuit breakers of all versions.
struct CircuitBreakers
{
  std::map<TrafficKey, std::deque<WindowSlot>> windows;
  std::map<TrafficKey, TrafficCounts> unsent; ///< not sent in any poll yet
  std::map<TrafficKey, TrafficCounts> sent;   ///< sent in polls that are not answered yet
  std::uint64_t sentInPoll = 0;
  std::map<TrafficKey, CircuitBreaker> breakers;
};

/// Counts a finished request.
void
noteResult(CircuitBreakers& aBreakers,
           const TrafficKey& aKey,
           bool aError,
           const RouterOptions& aOptions,
           TimePoint aNow);

/// Counts a first-token time.
void
noteFirstToken(CircuitBreakers& aBreakers,
               const TrafficKey& aKey,
               Duration aTime,
               const RouterOptions& aOptions,
               TimePoint aNow);

/// Compares the new version of each unfinished move with the old one, per route, within the same window.
/// @return the versions whose circuit breakers this call tripped
std::vector<TrafficKey>
evaluateVersions(CircuitBreakers& aBreakers,
                 const std::vector<Move>& aMoves,
                 const RouterOptions& aOptions,
                 TimePoint aNow);

/// Removes circuit breakers whose move has ended and whose version gets no traffic; stops reports of versions whose
/// traffic share is zero.
void
applyShares(CircuitBreakers& aBreakers, const std::vector<VersionShare>& aShares, const std::vector<Move>& aMoves);

/// @return versions of a model with a tripped circuit breaker on a route
std::set<VersionName>
trippedVersions(const CircuitBreakers& aBreakers, const ModelName& aModel, const std::string& aRoute);

/// @return reports that are due
std::vector<BrakeReport>
dueReports(CircuitBreakers& aBreakers, SessionId aSession, const RouterOptions& aOptions, TimePoint aNow);

/// Collects the samples for a poll; the next poll repeats them unless the leader answers this one.
std::vector<TrafficSample>
samplesForPoll(CircuitBreakers& aBreakers, std::uint64_t aPoll);

/// Handles the answer to a poll: the leader has received the samples up to it.
void
samplesAnswered(CircuitBreakers& aBreakers, std::uint64_t aPoll);

} // namespace rhubarbarch::router
