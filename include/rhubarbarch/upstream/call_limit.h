#pragma once

#include "rhubarbarch/base/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace rhubarbarch::upstream {

/// Rate limit of one upstream, as far as this gateway knows, and the calls that the leader permits under it.
struct CallLimit
{
  std::optional<double> callsPerSecond; ///< named by the upstream in an answer to this gateway
  std::optional<TimePoint> namedAt;     ///< time of the last answer that named the limit
  std::optional<TimePoint> unnamedAt;   ///< time of the last answer that named no limit while there was one
  std::optional<double> announced;      ///< limit in force according to the leader
  TimePoint coldUntil;                  ///< until then, the upstream bears only a limited rate
  std::deque<TimePoint> permits;        ///< when each call that is permitted and not yet made expires
  std::deque<TimePoint> demand;         ///< recent requests for which this upstream was the best
  bool exhausted = false;               ///< the leader permitted fewer calls than were wanted
};

/// @return whether calls to the upstream need a permit
bool
isLimited(const CallLimit& aLimit, TimePoint aNow) noexcept;

/// @return whether a call may be made now
bool
mayCall(CallLimit& aLimit, TimePoint aNow);

/// Adds calls that the leader permits.
void
addPermits(CallLimit& aLimit, std::int64_t aCalls, TimePoint aExpiresAt);

/// Uses a permit if the upstream is limited.
void
recordCall(CallLimit& aLimit, TimePoint aNow) noexcept;

/// Records that a request would be sent to the upstream if that is permitted.
void
recordDemand(CallLimit& aLimit, TimePoint aNow);

/// @param aWindow time over which demand is counted; that for which permits are valid
/// @return the calls to request from the leader: recent demand beyond the permits that are left
std::int64_t
wantedCalls(CallLimit& aLimit, Duration aWindow, TimePoint aNow);

/// Records what an answer of the upstream says on its limit.
/// @return whether a limit is named for the first time
bool
recordNamedLimit(CallLimit& aLimit, std::optional<double> aCallsPerSecond, TimePoint aNow);

/// Removes the named limit: the leader knows of a later answer without one.
void
removeLimit(CallLimit& aLimit) noexcept;

} // namespace rhubarbarch::upstream
