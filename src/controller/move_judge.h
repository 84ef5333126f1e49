#pragma once

#include "memory.h"
#include "rhubarbarch/controller/options.h"
#include "rhubarbarch/wire/config.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rhubarbarch::controller {

/// Adds a router's sample to the statistics of its version.
void
addSample(RouteStatistics& aStatistics, const TrafficSample& aSample);

/// Compares the new version with the old one on a route.
/// @param aOld the old version's statistics of the same window, so that load common to both versions is no fault; if
/// they are too few, those of the last window with enough requests
/// @return why the new version is worse; nothing when it is not or when there is too little traffic
std::optional<std::string>
evaluateRoute(const RouteStatistics& aNew, const RouteStatistics& aOld, const MoveOptions& aOptions);

/// Evaluates all routes of a window. @return the first fault found, with its route
std::optional<std::string>
evaluateWindow(const MoveWindow& aWindow, const Move& aMove, const MoveOptions& aOptions);

/// Checks the report of one router whose circuit breaker opened against the statistics of all routers.
/// @return whether the new version is worse than the old one on the route by any margin, or has no traffic there
bool
confirmsBrakeReport(const MoveWindow& aWindow, const Move& aMove, const std::string& aRoute);

/// Starts a new window. The old version's statistics of a route become its baseline if they hold enough requests.
void
nextWindow(MoveWindow& aWindow, const Move& aMove, const MoveOptions& aOptions);

/// The evaluated statistics, for the log.
nlohmann::json
describeWindow(const MoveWindow& aWindow, const Move& aMove);

/// Time from the last change of the traffic share to the next one, and the new share.
struct NextStep
{
  Duration after{ 0 };
  std::int32_t perMille = 0;
};

/// Plans the next step so that the new version has all traffic before the deadline. The share doubles at each step, or
/// grows by larger factors when there is too little time for all doublings.
/// @param aPerMille current traffic share
/// @param aUntilDeadline time from the last change of the share to the deadline
NextStep
planStep(std::int32_t aPerMille, Duration aUntilDeadline, const MoveOptions& aOptions);

/// Shortest time in which a move can give the new version all traffic.
/// @param aUpstreams number of upstreams that have to load the version
Duration
minMoveTime(std::int64_t aUpstreams, const MoveOptions& aOptions);

} // namespace rhubarbarch::controller
