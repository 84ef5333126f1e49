#pragma once

#include "rhubarbarch/base/metric.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace rhubarbarch::daemon {

/// Times of an event loop: how long each batch of events took, or how late the loop was. Used on one thread.
///
/// Usage: `figures.add(events, time)` for each batch, `figures.take("router")` now and then.
class LoopFigures
{
public:
  /// @param aPrefix of the metrics' names
  explicit LoopFigures(std::string aPrefix = "rhubarbarch_loop");
  ~LoopFigures();
  LoopFigures(const LoopFigures&) = delete;
  LoopFigures& operator=(const LoopFigures&) = delete;

  /// Counts one batch, or one measurement of the delay.
  void add(std::size_t aEvents, std::chrono::microseconds aTime);

  /// @return count, mean, 99th percentile and largest time since the last call, in seconds
  Metrics take(const std::string& aRole);

private:
  struct Accumulators;
  std::string mPrefix;
  std::unique_ptr<Accumulators> mAccumulators;
  std::uint64_t mEvents = 0;
};

} // namespace rhubarbarch::daemon
