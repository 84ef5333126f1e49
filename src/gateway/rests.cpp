#include "state.h"

#include <algorithm>
#include <random>

namespace rhubarbarch::gateway {

namespace {

/// Retry-After when no upstream could take the request; about one service time.
constexpr Duration kBusyRetryAfter{ 400 };
/// A rest is extended by up to this fraction, at random, so that gateways that were asked at the same time do not
/// return at the same time.
constexpr double kRestJitter = 0.1;
constexpr std::int32_t kTooManyRequests = 429;
constexpr std::int32_t kUnavailable = 503;

} // namespace

void
recordRest(State& aState, Upstream& aUpstream, const UpstreamHead& aHead)
{
  if (!aHead.retryAfter || (aHead.status != kTooManyRequests && aHead.status != kUnavailable)) {
    return;
  }
  const auto factor = 1 + std::uniform_real_distribution<double>(0, kRestJitter)(aState.random);
  const auto time = static_cast<double>(aHead.retryAfter->count()) * factor;
  askForRest(aUpstream.rest, Duration(static_cast<std::int64_t>(time)), aState.now);
}

RequestError
unavailableError(const State& aState, const Request& aRequest, const char* aError)
{
  auto soonest = TimePoint::max();
  bool rests = false;
  for (const auto& [id, upstream] : aState.upstreams.byId) {
    if (!usable(upstream) || upstream.entry.service != aRequest.service->name) {
      continue;
    }
    const bool resting = isResting(upstream.rest, aState.now);
    rests = rests || resting;
    soonest = std::min(soonest, resting ? upstream.rest.until : aState.now + kBusyRetryAfter);
  }
  return { kUnavailable, aError, rests ? soonest - aState.now : kBusyRetryAfter };
}

} // namespace rhubarbarch::gateway
