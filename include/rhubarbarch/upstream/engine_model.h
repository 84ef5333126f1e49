#pragma once

#include "rhubarbarch/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rhubarbarch::upstream {

/// Load of an engine when a request was placed there.
struct EngineLoad
{
  double queuedTokens = 0;   ///< prompt tokens of other requests that the engine has still to read
  double uncachedTokens = 0; ///< prompt tokens of the request that it has to read
  double running = 0;        ///< requests in progress
};

/// Expected time to the first event and its standard deviation, in milliseconds.
struct TimeEstimate
{
  double expectedMs = 0;
  double deviationMs = 0;
};

/// Times of a service's engines at scale 1, learned from the requests to all of them: a linear model of the time to the
/// first event with the terms base, queued tokens, uncached tokens and running requests.
struct ServiceModel
{
  static constexpr std::size_t kTerms = 4;

  ServiceModel();

  std::array<double, kTerms> mean{};
  std::array<double, kTerms * kTerms> covariance{};
  double spread = 0;       ///< standard deviation of a measurement, as a fraction of its estimate
  std::uint64_t count = 0; ///< measurements
};

/// Time of one engine as a multiple of its service's times. Without measurements it returns to 1, so that an engine
/// that gets no requests because it was slow is tried again.
struct EngineModel
{
  EngineModel();

  double scale = 1;
  double variance = 0; ///< of `scale`
  double drift = 0;    ///< smoothed normalised error; far from zero after a lasting change
  TimePoint updatedAt;
  std::uint32_t count = 0; ///< measurements
};

/// @return the estimate for a request that finds the engine under a load
TimeEstimate
estimateFirstEvent(const ServiceModel& aService, const EngineModel& aEngine, const EngineLoad& aLoad, TimePoint aNow);

/// @return time that the engine needs to read prompt tokens, in milliseconds
double
readingMs(const ServiceModel& aService, const EngineModel& aEngine, double aTokens, TimePoint aNow);

/// Learns the time to a first event. A single outlier has a bounded effect.
/// @param aLoad the load at placement
/// @return false when a figure is absurd; nothing is learned then
bool
learnFirstEvent(ServiceModel& aService, EngineModel& aEngine, const EngineLoad& aLoad, Duration aTaken, TimePoint aNow);

/// Learns that the first event had not come after some time. Without effect while that is within the expected time.
/// The service's model is not changed: silence may have causes other than load.
bool
learnSilence(const ServiceModel& aService,
             EngineModel& aEngine,
             const EngineLoad& aLoad,
             Duration aWaited,
             TimePoint aNow);

} // namespace rhubarbarch::upstream
