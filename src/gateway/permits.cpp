#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

/// Bounds of Retry-After for requests that no limited upstream may take.
constexpr Duration kShortestRetryAfter{ 400 };
constexpr Duration kLongestRetryAfter{ 2000 };

std::int64_t
ageMs(const std::optional<TimePoint>& aTime, TimePoint aNow)
{
  return aTime ? (aNow - *aTime).count() : -1;
}

double
rateInForce(const CallLimit& aLimit)
{
  return aLimit.announced ? *aLimit.announced : aLimit.callsPerSecond.value_or(0);
}

/// @return the poll that an answer belongs to, which is removed with all earlier ones
std::optional<SentPoll>
takeSentPoll(ControlLink& aLink, std::uint64_t aNumber)
{
  auto& polls = aLink.sentPolls;
  while (!polls.empty() && polls.front().number < aNumber) {
    polls.pop_front();
  }
  if (polls.empty() || polls.front().number != aNumber) {
    return std::nullopt;
  }
  auto poll = std::move(polls.front());
  polls.pop_front();
  return poll;
}

void
applyPermit(State& aState, Upstream& aUpstream, const CallPermit& aPermit, const SentPoll& aPoll)
{
  auto& limit = aUpstream.limit;
  limit.announced = aPermit.callsPerSecond;
  const auto wanted = aPoll.wanted.find(aPermit.upstream);
  limit.exhausted = wanted != aPoll.wanted.end() && aPermit.calls < wanted->second;
  // The leader may have permitted the calls at any time since the poll was sent.
  addPermits(limit, aPermit.calls, aPoll.at + aState.options.permitTime);
}

/// Ends the limits that the leader no longer lists although it has received this gateway's report of them.
void
removeEndedLimits(State& aState, const GatewayState& aAnswer, const SentPoll& aPoll)
{
  for (auto& [id, upstream] : aState.upstreams.byId) {
    auto& limit = upstream.limit;
    const bool listed = std::ranges::find(aAnswer.permits, id, &CallPermit::upstream) != aAnswer.permits.end();
    if (listed || !(limit.callsPerSecond || limit.announced)) {
      continue;
    }
    // The upstream named its limit after the poll was sent.
    if (limit.namedAt && *limit.namedAt >= aPoll.at) {
      limit.announced.reset();
      continue;
    }
    if (limit.callsPerSecond) {
      log(aState, Severity::kInfo, "upstream_limit_removed", { { "upstream", id } });
    }
    removeLimit(limit);
  }
}

} // namespace

void
updateColdUpstreams(State& aState)
{
  if (!aState.index) {
    return;
  }
  for (auto& [id, upstream] : aState.upstreams.byId) {
    const auto* service = findService(*aState.index, upstream.entry.service);
    const bool bounded = upstream.listed && service != nullptr && service->coldCallsPerSecond > 0;
    upstream.limit.coldUntil = bounded ? aState.upstreams.listedAt + Duration(upstream.entry.coldMs) : TimePoint{};
  }
}

void
reportLimits(State& aState, GatewayPoll& aPoll)
{
  SentPoll sent;
  sent.number = aPoll.number;
  sent.at = aState.now;
  for (auto& [id, upstream] : aState.upstreams.byId) {
    auto& limit = upstream.limit;
    if (!isLimited(limit, aState.now)) {
      continue;
    }
    LimitReport report;
    report.upstream = id;
    report.callsPerSecond = limit.callsPerSecond.value_or(0);
    report.namedAgeMs = ageMs(limit.namedAt, aState.now);
    report.unnamedAgeMs = ageMs(limit.unnamedAt, aState.now);
    report.wanted = wantedCalls(limit, aState.options.permitTime, aState.now);
    if (report.wanted > 0) {
      sent.wanted[id] = report.wanted;
    }
    if (report.wanted > 0 || report.namedAgeMs >= 0 || report.unnamedAgeMs >= 0) {
      aPoll.limits.push_back(std::move(report));
    }
  }
  auto& polls = aState.link.sentPolls;
  polls.push_back(std::move(sent));
  while (polls.front().at + aState.options.permitTime <= aState.now) {
    polls.pop_front();
  }
}

void
applyPermits(State& aState, const GatewayState& aAnswer)
{
  if (!aAnswer.hasPermits) {
    return;
  }
  const auto poll = takeSentPoll(aState.link, aAnswer.number);
  if (!poll) {
    return;
  }
  for (const auto& permit : aAnswer.permits) {
    if (auto* upstream = findUpstream(aState, permit.upstream)) {
      applyPermit(aState, *upstream, permit, *poll);
    }
  }
  removeEndedLimits(aState, aAnswer, *poll);
}

void
onNamedLimit(State& aState, Upstream& aUpstream, const UpstreamHead& aHead)
{
  // A refusal may come from a part of the upstream that does not know of the limit; only an answer ends it.
  if (!aHead.genuine && !aHead.callsPerSecond) {
    return;
  }
  if (recordNamedLimit(aUpstream.limit, aHead.callsPerSecond, aState.now)) {
    log(aState,
        Severity::kInfo,
        "upstream_limit_named",
        { { "upstream", aUpstream.entry.id }, { "calls_per_second", aHead.callsPerSecond.value_or(0) } });
  }
}

RequestError
limitedError(const State& aState, const Request& aRequest)
{
  double perSecond = 0;
  std::size_t demand = 0;
  for (const auto& [id, upstream] : aState.upstreams.byId) {
    if (upstream.entry.service == aRequest.service->name && isLimited(upstream.limit, aState.now)) {
      perSecond += rateInForce(upstream.limit);
      demand = std::max(demand, upstream.limit.demand.size());
    }
  }
  const auto seconds = perSecond > 0 ? static_cast<double>(demand) / perSecond : 0;
  const auto retryAfter = Duration(static_cast<std::int64_t>(std::min(seconds, 60.0) * 1000));
  return { 503, "upstream_limited", std::clamp(retryAfter, kShortestRetryAfter, kLongestRetryAfter) };
}

void
waitForPermit(State& aState, Request& aRequest)
{
  if (aRequest.waitsUntil) {
    return;
  }
  const bool refused = std::ranges::all_of(aState.upstreams.byId, [&](const auto& aItem) {
    const auto& upstream = aItem.second;
    return upstream.entry.service != aRequest.service->name || !isLimited(upstream.limit, aState.now) ||
           upstream.limit.exhausted;
  });
  if (refused) {
    failRequest(aState, aRequest.call.caller, limitedError(aState, aRequest));
    return;
  }
  aRequest.waitsUntil = std::min(aState.now + aState.options.maxPermitWait, aRequest.expiresAt);
  pollSoon(aState);
}

} // namespace rhubarbarch::gateway
