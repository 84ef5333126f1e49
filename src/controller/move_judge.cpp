#include "move_judge.h"

#include "rhubarbarch/state/moves.h"

#include <algorithm>
#include <cmath>

namespace rhubarbarch::controller {

namespace {

// Three standard deviations: about one false alarm in a thousand evaluations.
constexpr double kDeviations = 3.0;

double
errorRate(const RouteStatistics& aStatistics)
{
  return aStatistics.requests == 0
           ? 0.0
           : static_cast<double>(aStatistics.errors) / static_cast<double>(aStatistics.requests);
}

double
latencyMean(const RouteStatistics& aStatistics)
{
  return aStatistics.timed == 0 ? 0.0 : aStatistics.latencySum / static_cast<double>(aStatistics.timed);
}

double
latencyVariance(const RouteStatistics& aStatistics)
{
  const auto mean = latencyMean(aStatistics);
  return std::max(aStatistics.latencySquareSum / static_cast<double>(aStatistics.timed) - mean * mean, 0.0);
}

bool
failsMore(const RouteStatistics& aNew, const RouteStatistics& aOld, const MoveOptions& aOptions)
{
  const auto count = static_cast<double>(aNew.requests);
  // Adds one error and one success, so that the expected error rate of an old version without errors is not zero.
  const auto expected = static_cast<double>(aOld.errors + 1) / static_cast<double>(aOld.requests + 2);
  const auto limit = count * expected + kDeviations * std::sqrt(count * expected * (1 - expected));
  return static_cast<double>(aNew.errors) > limit && errorRate(aNew) > errorRate(aOld) + aOptions.errorMargin;
}

bool
isSlower(const RouteStatistics& aNew, const RouteStatistics& aOld, const MoveOptions& aOptions)
{
  if (aNew.timed < aOptions.minRequests || aOld.timed < aOptions.minRequests) {
    return false;
  }
  const auto difference = latencyMean(aNew) - latencyMean(aOld);
  const auto deviation = std::sqrt(latencyVariance(aNew) / static_cast<double>(aNew.timed) +
                                   latencyVariance(aOld) / static_cast<double>(aOld.timed));
  return difference > aOptions.latencyMargin && difference > kDeviations * deviation;
}

const RouteStatistics&
statisticsOf(const std::map<VersionName, RouteStatistics>& aVersions, const VersionName& aVersion)
{
  static const RouteStatistics kNone{};
  const auto found = aVersions.find(aVersion);
  return found == aVersions.end() ? kNone : found->second;
}

RouteStatistics
referenceFor(const MoveWindow& aWindow,
             const std::string& aRoute,
             const RouteStatistics& aOld,
             std::int64_t aMinRequests)
{
  const auto baseline = aWindow.baseline.find(aRoute);
  return aOld.requests >= aMinRequests || baseline == aWindow.baseline.end() ? aOld : baseline->second;
}

nlohmann::json
describe(const RouteStatistics& aStatistics)
{
  return { { "requests", aStatistics.requests },
           { "error_rate", errorRate(aStatistics) },
           { "latency_ms", aStatistics.timed == 0 ? 0.0 : std::exp2(latencyMean(aStatistics)) } };
}

std::int64_t
doublingsLeft(std::int32_t aPerMille)
{
  std::int64_t doublings = 0;
  for (auto share = std::max(aPerMille, 1); share < state::kWholeShare; share *= 2) {
    ++doublings;
  }
  return doublings;
}

} // namespace

void
addSample(RouteStatistics& aStatistics, const TrafficSample& aSample)
{
  aStatistics.requests += aSample.requests;
  aStatistics.errors += aSample.errors;
  for (std::size_t bucket = 0; bucket < aSample.latencyBuckets.size(); ++bucket) {
    const auto count = aSample.latencyBuckets[bucket];
    const auto middle = static_cast<double>(bucket) + 0.5;
    aStatistics.timed += count;
    aStatistics.latencySum += static_cast<double>(count) * middle;
    aStatistics.latencySquareSum += static_cast<double>(count) * middle * middle;
  }
}

std::optional<std::string>
evaluateRoute(const RouteStatistics& aNew, const RouteStatistics& aOld, const MoveOptions& aOptions)
{
  if (aNew.requests < aOptions.minRequests) {
    return std::nullopt;
  }
  if (failsMore(aNew, aOld, aOptions)) {
    return "error rate " + std::to_string(errorRate(aNew)) + ", old version " + std::to_string(errorRate(aOld));
  }
  if (isSlower(aNew, aOld, aOptions)) {
    return "first token after " + std::to_string(std::exp2(latencyMean(aNew))) + " ms, old version " +
           std::to_string(std::exp2(latencyMean(aOld))) + " ms";
  }
  return std::nullopt;
}

std::optional<std::string>
evaluateWindow(const MoveWindow& aWindow, const Move& aMove, const MoveOptions& aOptions)
{
  for (const auto& [route, versions] : aWindow.routes) {
    const auto& candidate = statisticsOf(versions, aMove.toVersion);
    const auto old = referenceFor(aWindow, route, statisticsOf(versions, aMove.fromVersion), aOptions.minRequests);
    if (const auto fault = evaluateRoute(candidate, old, aOptions)) {
      return "route " + route + ": " + *fault;
    }
  }
  return std::nullopt;
}

bool
confirmsBrakeReport(const MoveWindow& aWindow, const Move& aMove, const std::string& aRoute)
{
  const auto found = aWindow.routes.find(aRoute);
  if (found == aWindow.routes.end()) {
    return true;
  }
  const auto& candidate = statisticsOf(found->second, aMove.toVersion);
  const auto old = referenceFor(aWindow, aRoute, statisticsOf(found->second, aMove.fromVersion), 1);
  return candidate.requests == 0 || errorRate(candidate) > errorRate(old) || latencyMean(candidate) > latencyMean(old);
}

void
nextWindow(MoveWindow& aWindow, const Move& aMove, const MoveOptions& aOptions)
{
  for (const auto& [route, versions] : aWindow.routes) {
    const auto& old = statisticsOf(versions, aMove.fromVersion);
    if (old.requests >= aOptions.minRequests) {
      aWindow.baseline[route] = old;
    }
  }
  aWindow.routes.clear();
  aWindow.changedUnixMs = aMove.changedUnixMs;
}

nlohmann::json
describeWindow(const MoveWindow& aWindow, const Move& aMove)
{
  auto routes = nlohmann::json::object();
  for (const auto& [route, versions] : aWindow.routes) {
    routes[route] = { { "new", describe(statisticsOf(versions, aMove.toVersion)) },
                      { "old", describe(statisticsOf(versions, aMove.fromVersion)) } };
  }
  return routes;
}

NextStep
planStep(std::int32_t aPerMille, Duration aUntilDeadline, const MoveOptions& aOptions)
{
  const auto left = std::max(aUntilDeadline, Duration{ 0 });
  // One step's time is reserved for a change of leader.
  const auto possible = std::max<std::int64_t>(left / aOptions.shortestStep - 1, 1);
  const auto doubled = aPerMille == 0 ? aOptions.firstPerMille : 2 * aPerMille;
  auto next = std::min(doubled, state::kWholeShare);
  while (next < state::kWholeShare && doublingsLeft(next) >= possible) {
    next = std::min(2 * next, state::kWholeShare);
  }
  const auto steps = doublingsLeft(next) + 1;
  const auto after = std::clamp(left / (steps + 1), aOptions.shortestStep, aOptions.longestStep);
  return { after, next };
}

Duration
minMoveTime(std::int64_t aUpstreams, const MoveOptions& aOptions)
{
  const auto parallel = std::max<std::int64_t>(aOptions.parallelLoads, 1);
  const auto rounds = (aUpstreams + parallel - 1) / parallel;
  return rounds * aOptions.loadTime + aOptions.minSteps * aOptions.shortestStep;
}

} // namespace rhubarbarch::controller
