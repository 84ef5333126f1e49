#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbarch::gateway {

void
onLoopDelay(State& aState, Duration aDelay)
{
  auto& loop = aState.loop;
  loop.sustained = std::min(loop.delay, aDelay);
  loop.delay = aDelay;
  loop.longest = std::max(loop.longest, aDelay);
  if (aDelay < aState.options.minLoggedDelay || aState.now - loop.loggedAt < aState.options.delayLogPeriod) {
    return;
  }
  log(aState,
      Severity::kWarning,
      "loop_delayed",
      { { "delay_ms", aDelay.count() },
        { "longest_ms", std::exchange(loop.longest, Duration{ 0 }).count() },
        { "since_ms", (aState.now - std::exchange(loop.loggedAt, aState.now)).count() },
        { "requests", aState.totals.requests - std::exchange(loop.requestsAtLog, aState.totals.requests) },
        { "in_progress", aState.requests.size() } });
}

bool
overloaded(const State& aState) noexcept
{
  return aState.loop.sustained >= aState.options.overloadDelay;
}

void
onCallerAbandoned(State& aState, const CallerAbandoned& aAbandoned)
{
  ++aState.totals.callersDisconnected;
  log(aState,
      Severity::kInfo,
      "caller_gone_unread",
      { { "request", aAbandoned.requestId }, { "loop_delay_ms", aState.loop.delay.count() } });
}

} // namespace rhubarbarch::gateway
