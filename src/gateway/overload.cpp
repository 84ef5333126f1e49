#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

/// Retry-After when another gateway can take the request at once: short, but not zero.
constexpr Duration kElsewhereRetryAfter{ 50 };

} // namespace

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
recordUpstreamContact(State& aState, const Upstream& aUpstream, bool aTimedOut)
{
  auto& shortage = aState.shortage;
  const bool local = aUpstream.entry.dataCentre == aState.options.dataCentre;
  recordContact(shortage, { aState.now, aUpstream.entry.id, local, aTimedOut });
  if (!aTimedOut || !connectionsFail(shortage, aState.now)) {
    return;
  }
  ++shortage.timeouts;
  lowerLinkShare(shortage, aState.now);
  if (aState.now - shortage.loggedAt < aState.options.delayLogPeriod) {
    return;
  }
  shortage.loggedAt = aState.now;
  log(aState,
      Severity::kWarning,
      "link_short",
      { { "link_rate", std::llround(shortage.linkRate) },
        { "usable_share", shortage.usableShare },
        { "sent_rate", std::llround(shortage.sentRate) },
        { "queued_bytes", std::llround(shortage.queuedBytes) },
        { "connect_timeouts", shortage.timeouts },
        { "refused", shortage.refused } });
}

RequestError
linkError()
{
  return { 503, "link_short", kElsewhereRetryAfter };
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
