#include "memory_watch.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string_view>

namespace rhubarbarch::daemon {

namespace {

constexpr std::size_t kSteps = 8;
/// A process that uses less than this many eighths is not reported.
constexpr std::size_t kQuietSteps = 4;

/// @return whether a figure says what a part holds
bool
tellsMemory(const Metric& aMetric)
{
  const std::string_view name = aMetric.name;
  return name.ends_with("_bytes") || name == "rhubarbarch_ring_events";
}

} // namespace

std::size_t
residentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return file ? resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) : 0;
}

MemoryWatch::MemoryWatch(std::size_t aLimit)
  : mLimit(aLimit)
  , mReported(kQuietSteps - 1)
{
}

std::optional<LogLine>
MemoryWatch::check(std::size_t aResident, const std::function<Metrics()>& aMetrics)
{
  const auto step = mLimit == 0 ? 0 : aResident * kSteps / mLimit;
  if (step < kQuietSteps) {
    mReported = kQuietSteps - 1;
    return std::nullopt;
  }
  if (step <= mReported) {
    return std::nullopt;
  }
  mReported = step;
  auto held = nlohmann::json::object();
  for (const auto& metric : aMetrics()) {
    if (metric.value > 0 && tellsMemory(metric)) {
      held[metric.labels.empty() ? metric.name : metric.name + "{" + metric.labels + "}"] = metric.value;
    }
  }
  return LogLine{ Severity::kWarning,
                  "memory_high",
                  { { "resident", aResident }, { "limit", mLimit }, { "held", std::move(held) } } };
}

} // namespace rhubarbarch::daemon
