#pragma once

#include <chrono>

namespace rhubarbarch {

/// Duration used in all interfaces.
using Duration = std::chrono::milliseconds;
/// Local monotonic time. Never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Calendar time, for deadlines that operators set.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Period of the tick that drives the role state machines.
inline constexpr Duration kTickPeriod{ 10 };

} // namespace rhubarbarch
