#pragma once

#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/metric.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace rhubarbarch::daemon {

/// @return bytes of memory that this process has resident; zero if the system does not tell
std::size_t
residentBytes();

/// Reports a process that comes near the memory limit of its machine, with what its parts say they hold.
///
/// Usage: `if (auto line = watch.check(residentBytes(), metrics)) log.write(*line);` now and then.
class MemoryWatch
{
public:
  /// @param aLimit bytes at which the process is ended; zero: not limited, nothing is reported
  explicit MemoryWatch(std::size_t aLimit);

  /// @param aResident bytes resident now
  /// @param aMetrics figures of all parts; called only when there is something to report
  /// @return a line for each eighth of the limit that is reached above one half, again after a fall below one half
  std::optional<LogLine> check(std::size_t aResident, const std::function<Metrics()>& aMetrics);

private:
  std::size_t mLimit;
  std::size_t mReported; ///< highest eighth that was reported since the last fall
};

} // namespace rhubarbarch::daemon
