#include "rhubarbarch/upstream/engine_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace rhubarbarch::upstream {

namespace {

constexpr auto kTerms = ServiceModel::kTerms;
using Terms = std::array<double, kTerms>;

/// Terms are scaled to similar sizes: tokens per thousand, running requests per ten.
constexpr double kTokensPerUnit = 1000;
constexpr double kRunningPerUnit = 10;
/// Prior before any measurement, in ms: a few engine steps and two round trips; 40 prompt tokens per ms; 0.5 ms per
/// running request. The fixed constants of earlier versions.
constexpr Terms kPriorMean{ 25, 25, 25, 5 };
/// Standard deviations of the prior: known engines read 38 to 110 tokens per ms.
constexpr Terms kPriorDeviation{ 25, 20, 20, 6 };
/// Bounds of the terms. A queued token never counts as negative, and base and reading time never vanish.
constexpr Terms kLowest{ 1, 0, 0.5, 0 };
constexpr Terms kHighest{ 2000, 1000, 1000, 500 };
/// Variance added per measurement, as a fraction of the prior's: a memory of some hundred measurements.
constexpr double kServiceNoise = 0.0005;
/// Prior variance of an engine's scale: deployments mix engines at 0.55 and 1.2 of the same speed.
constexpr double kScaleVariance = 0.25;
/// Relative variance added per measurement: a memory of about 15 measurements at a spread of 0.3.
constexpr double kScaleNoise = 0.0005;
constexpr double kLowestScale = 0.1;
constexpr double kHighestScale = 30;
/// Half-life of an engine's difference from its service without measurements. At 26 gateways and 56 engines, a gateway
/// measures each engine about every other second.
constexpr double kScaleHalfLifeMs = 60'000;
/// Part of an engine's scale, as an exponent, that each measurement moves to its service.
constexpr double kSharedScale = 0.001;
/// Deviation of each measurement in ms, whatever its estimate: a tick and the network.
constexpr double kNoiseMs = 10;
/// Limit of one measurement's error in standard deviations, as usual for robust estimators (Huber).
constexpr double kLargestError = 2.5;
/// Weight of one error in the drift. The drift of a sound model has a deviation of 0.42.
constexpr double kDriftWeight = 0.3;
/// Drift from which a lasting change is assumed: reached by two errors at the limit in a row.
constexpr double kLastingDrift = 1.25;
/// Drift from which an engine's measurements teach the service nothing: it is probably changing.
constexpr double kChangingDrift = 0.7;
/// Prior and weight of the spread.
constexpr double kPriorSpread = 0.5;
constexpr double kSpreadWeight = 0.02;
/// Standard deviation of a normal distribution as a multiple of its mean absolute error.
constexpr double kDeviationPerMeanError = 1.25;
constexpr double kLowestSpread = 0.05;
/// Figures above are absurd: ten minutes, ten million tokens, a million requests.
constexpr Duration kLongestTime{ 600'000 };
constexpr double kMostTokens = 1e7;
constexpr double kMostRunning = 1e6;

double
square(double aValue)
{
  return aValue * aValue;
}

Terms
termsOf(const EngineLoad& aLoad)
{
  return {
    1, aLoad.queuedTokens / kTokensPerUnit, aLoad.uncachedTokens / kTokensPerUnit, aLoad.running / kRunningPerUnit
  };
}

double
dot(const Terms& aLeft, const Terms& aRight)
{
  return std::inner_product(aLeft.begin(), aLeft.end(), aRight.begin(), 0.0);
}

Terms
multiply(const std::array<double, kTerms * kTerms>& aMatrix, const Terms& aVector)
{
  Terms product{};
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t column = 0; column < kTerms; ++column) {
      product[row] += aMatrix[row * kTerms + column] * aVector[column];
    }
  }
  return product;
}

bool
plausible(double aValue, double aMost)
{
  return std::isfinite(aValue) && aValue >= 0 && aValue <= aMost;
}

bool
plausible(const EngineLoad& aLoad, Duration aTaken)
{
  return plausible(aLoad.queuedTokens, kMostTokens) && plausible(aLoad.uncachedTokens, kMostTokens) &&
         plausible(aLoad.running, kMostRunning) && aTaken >= Duration{ 0 } && aTaken <= kLongestTime;
}

/// @return the engine's model with the uncertainty of the time since its last measurement
EngineModel
agedModel(EngineModel aEngine, TimePoint aNow)
{
  const auto passed = std::chrono::duration<double, std::milli>(aNow - aEngine.updatedAt).count();
  if (aEngine.count == 0 || passed <= 0) {
    return aEngine;
  }
  const auto retained = std::exp2(-passed / kScaleHalfLifeMs);
  aEngine.scale = 1 + (aEngine.scale - 1) * retained;
  // A wide variance after a lasting change narrows to the prior's, a narrow one widens to it.
  aEngine.variance = kScaleVariance + (aEngine.variance - kScaleVariance) * square(retained);
  return aEngine;
}

double
noiseVariance(double aExpectedMs, double aSpread)
{
  return square(kNoiseMs) + square(aSpread * aExpectedMs);
}

void
limitCovariance(ServiceModel& aService)
{
  for (std::size_t term = 0; term < kTerms; ++term) {
    const auto limit = square(kPriorDeviation[term]);
    const auto variance = aService.covariance[term * kTerms + term];
    if (variance <= limit) {
      continue;
    }
    // Scaling a row and its column keeps the matrix positive semidefinite.
    const auto factor = std::sqrt(limit / variance);
    for (std::size_t other = 0; other < kTerms; ++other) {
      aService.covariance[term * kTerms + other] *= factor;
      aService.covariance[other * kTerms + term] *= factor;
    }
  }
}

void
widenToPrior(ServiceModel& aService)
{
  aService.covariance = {};
  for (std::size_t term = 0; term < kTerms; ++term) {
    aService.covariance[term * kTerms + term] = square(kPriorDeviation[term]);
  }
}

/// Robust recursive least squares on the time divided by the engine's scale.
void
learnService(ServiceModel& aService, const EngineModel& aEngine, const Terms& aTerms, double aTakenMs)
{
  for (std::size_t term = 0; term < kTerms; ++term) {
    aService.covariance[term * kTerms + term] += kServiceNoise * square(kPriorDeviation[term]);
  }
  limitCovariance(aService);
  const auto expected = std::max(dot(aService.mean, aTerms), 1.0);
  const auto noise = noiseVariance(expected, aService.spread) + square(expected / aEngine.scale) * aEngine.variance;
  const auto gain = multiply(aService.covariance, aTerms);
  const auto deviation = std::sqrt(dot(gain, aTerms) + noise);
  const auto error = aTakenMs / aEngine.scale - expected;
  const auto step = std::clamp(error / deviation, -kLargestError, kLargestError) / deviation;
  for (std::size_t row = 0; row < kTerms; ++row) {
    aService.mean[row] = std::clamp(aService.mean[row] + gain[row] * step, kLowest[row], kHighest[row]);
    for (std::size_t column = 0; column < kTerms; ++column) {
      aService.covariance[row * kTerms + column] -= gain[row] * gain[column] / square(deviation);
    }
  }
}

/// @param aServiceMs the service's time
/// @param aServiceVariance its variance
void
learnScale(EngineModel& aEngine, double aServiceMs, double aServiceVariance, double aSpread, double aTakenMs)
{
  aEngine.variance += kScaleNoise * square(aEngine.scale);
  const auto expected = aEngine.scale * aServiceMs;
  const auto noise = noiseVariance(expected, aSpread) + square(aEngine.scale) * aServiceVariance;
  const auto error = aTakenMs - expected;
  auto deviation = std::sqrt(square(aServiceMs) * aEngine.variance + noise);
  aEngine.drift += kDriftWeight * (std::clamp(error / deviation, -kLargestError, kLargestError) - aEngine.drift);
  if (std::abs(aEngine.drift) > kLastingDrift) {
    aEngine.drift = 0;
    aEngine.variance = std::max(aEngine.variance, std::max(kScaleVariance, square(aEngine.scale) / 2));
    deviation = std::sqrt(square(aServiceMs) * aEngine.variance + noise);
  }
  const auto bounded = std::clamp(error, -kLargestError * deviation, kLargestError * deviation);
  const auto gain = aServiceMs * aEngine.variance / square(deviation);
  aEngine.scale = std::clamp(aEngine.scale + gain * bounded, kLowestScale, kHighestScale);
  aEngine.variance *= 1 - gain * aServiceMs;
  ++aEngine.count;
}

/// Moves what the engines have in common from their scales to the service, so that the scales stay around 1.
void
shareScale(ServiceModel& aService, EngineModel& aEngine)
{
  const auto factor = std::pow(aEngine.scale, kSharedScale);
  for (std::size_t term = 0; term < kTerms; ++term) {
    aService.mean[term] = std::clamp(aService.mean[term] * factor, kLowest[term], kHighest[term]);
  }
  aEngine.scale /= factor;
}

double
serviceVariance(const ServiceModel& aService, const Terms& aTerms)
{
  return std::max(0.0, dot(multiply(aService.covariance, aTerms), aTerms));
}

} // namespace

ServiceModel::ServiceModel()
  : mean(kPriorMean)
  , spread(kPriorSpread)
{
  widenToPrior(*this);
}

EngineModel::EngineModel()
  : variance(kScaleVariance)
{
}

TimeEstimate
estimateFirstEvent(const ServiceModel& aService, const EngineModel& aEngine, const EngineLoad& aLoad, TimePoint aNow)
{
  const auto engine = agedModel(aEngine, aNow);
  const auto terms = termsOf(aLoad);
  const auto service = std::max(dot(aService.mean, terms), 1.0);
  const auto expected = engine.scale * service;
  const auto variance = square(engine.scale) * serviceVariance(aService, terms) + square(service) * engine.variance +
                        noiseVariance(expected, aService.spread);
  return { expected, std::sqrt(variance) };
}

double
readingMs(const ServiceModel& aService, const EngineModel& aEngine, double aTokens, TimePoint aNow)
{
  return agedModel(aEngine, aNow).scale * aService.mean[2] * aTokens / kTokensPerUnit;
}

bool
learnFirstEvent(ServiceModel& aService, EngineModel& aEngine, const EngineLoad& aLoad, Duration aTaken, TimePoint aNow)
{
  if (!plausible(aLoad, aTaken)) {
    return false;
  }
  const auto taken = static_cast<double>(aTaken.count());
  const auto terms = termsOf(aLoad);
  aEngine = agedModel(aEngine, aNow);
  aEngine.updatedAt = aNow;
  const auto service = std::max(dot(aService.mean, terms), 1.0);
  const auto expected = aEngine.scale * service;
  const auto relative = std::min(std::abs(taken - expected) / std::max(expected, kNoiseMs), kLargestError);
  // The engine first: a change of one engine widens its variance, which then protects the service's model.
  learnScale(aEngine, service, serviceVariance(aService, terms), aService.spread, taken);
  if (std::abs(aEngine.drift) < kChangingDrift) {
    learnService(aService, aEngine, terms, taken);
  }
  shareScale(aService, aEngine);
  const auto spread = aService.spread + kSpreadWeight * (kDeviationPerMeanError * relative - aService.spread);
  aService.spread = std::max(spread, kLowestSpread);
  ++aService.count;
  return true;
}

bool
learnSilence(const ServiceModel& aService,
             EngineModel& aEngine,
             const EngineLoad& aLoad,
             Duration aWaited,
             TimePoint aNow)
{
  if (!plausible(aLoad, aWaited)) {
    return false;
  }
  const auto terms = termsOf(aLoad);
  const auto service = std::max(dot(aService.mean, terms), 1.0);
  const auto aged = agedModel(aEngine, aNow);
  const auto waited = static_cast<double>(aWaited.count());
  if (waited <= aged.scale * service) {
    return true;
  }
  aEngine = aged;
  aEngine.updatedAt = aNow;
  learnScale(aEngine, service, serviceVariance(aService, terms), aService.spread, waited);
  return true;
}

} // namespace rhubarbarch::upstream
