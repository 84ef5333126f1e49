#pragma once

#include <string>
#include <vector>

namespace rhubarbarch {

/// One sample of the metrics page, for example `{"rhubarbarch_router_requests_total", {}, 12}`.
struct Metric
{
  std::string name;   ///< with unit suffix, `_total` for counters
  std::string labels; ///< text between the braces, for example `plan="gold"`; may be empty
  double value = 0;
};

using Metrics = std::vector<Metric>;

} // namespace rhubarbarch
