#pragma once

#include <optional>

namespace rhubarbarch::gateway {

/// Rate limit of one upstream, as far as this gateway knows.
struct CallLimit
{
  std::optional<double> callsPerSecond; ///< named in its last answer, for the calls of all gateways together
};

} // namespace rhubarbarch::gateway
