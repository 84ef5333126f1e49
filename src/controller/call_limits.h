#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/controller/options.h"
#include "rhubarbarch/wire/gateway_messages.h"
#include "rhubarbarch/wire/routing.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbarch::controller {

/// Rate limit of one upstream and the calls that may be permitted under it.
struct CallLimit
{
  double callsPerSecond = 0;          ///< named in the latest answer that named one
  std::optional<TimePoint> namedAt;   ///< time of that answer
  std::optional<TimePoint> unnamedAt; ///< time of the latest answer that named no limit
  double coldCallsPerSecond = 0;
  TimePoint coldUntil;
  TimePoint reportedAt; ///< last time that a gateway or the platform's list mentioned it
  double available = 0; ///< calls that may be permitted now
  TimePoint refilledAt;
};

/// Rate limits by upstream.
using CallLimits = std::map<std::string, CallLimit>;

/// Merges the reports of one gateway. The latest answer of an upstream counts, whichever gateway got it.
void
recordLimits(CallLimits& aLimits, const std::vector<LimitReport>& aReports, TimePoint aNow);

/// Records the upstreams that are cold according to the platform's list and have a rate for that time.
/// @param aReadAt when the list was read
void
recordColdUpstreams(CallLimits& aLimits,
                    const std::vector<UpstreamEntry>& aUpstreams,
                    const std::vector<Service>& aServices,
                    TimePoint aReadAt,
                    TimePoint aNow);

/// Forgets limits that no gateway reports any more.
void
expireLimits(CallLimits& aLimits, const GatewayOptions& aOptions, TimePoint aNow);

/// Permits calls to one gateway. All gateways draw on the same allowance of an upstream, which grows at the limit's
/// rate, so the sum over any number of gateways keeps to the limit.
/// @param aWanted the gateway's reports
/// @return one entry for each limit in force; a rate of several limits is the lowest of them
std::vector<CallPermit>
permitCalls(CallLimits& aLimits,
            const std::vector<LimitReport>& aWanted,
            const GatewayOptions& aOptions,
            TimePoint aNow);

} // namespace rhubarbarch::controller
