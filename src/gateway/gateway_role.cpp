#include "rhubarbarch/gateway/gateway_role.h"

#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

void
begin(State& aState)
{
  if (std::exchange(aState.started, true)) {
    return;
  }
  aState.startedAt = aState.now;
  aState.link.currentSince = aState.now;
  aState.link.directAnswerAt = aState.now;
  aState.budgets.demandUpdatedAt = aState.now;
  for (const auto& controller : aState.link.controllers) {
    aState.actions.emplace_back(Connect{ { controller, Role::kController }, controller });
  }
}

bool
reportedAll(const State& aState)
{
  const bool returned =
    std::ranges::all_of(aState.budgets.plans, [](const auto& aItem) { return freeTokens(aItem.second) <= 0; });
  return returned && aState.link.answered >= aState.link.polls;
}

void
stopWhenDrained(State& aState)
{
  if (!aState.leavingSince || aState.stopped) {
    return;
  }
  const auto leavingFor = aState.now - *aState.leavingSince;
  const bool done = leavingFor >= aState.options.minDrainTime && aState.requests.empty() && reportedAll(aState);
  if (done || leavingFor >= aState.options.longestLeave) {
    aState.stopped = true;
    endAll(aState);
    aState.actions.emplace_back(Stopped{});
  }
}

/// @return what keeps this gateway from serving, empty: nothing
std::string_view
missingForReadiness(const State& aState)
{
  if (aState.leavingSince) {
    return "leaving";
  }
  if (!aState.index) {
    return "no_configuration";
  }
  if (!aState.upstreams.received) {
    return "no_upstreams";
  }
  if (supersededForLong(aState)) {
    return "configuration_superseded";
  }
  return linkShort(aState.shortage, aState.now) ? "link_short" : "";
}

void
reportReadiness(State& aState)
{
  const auto missing = missingForReadiness(aState);
  if (std::exchange(aState.missingReported, missing) != missing) {
    log(aState,
        missing.empty() ? Severity::kInfo : Severity::kWarning,
        "readiness",
        { { "ready", missing.empty() }, { "missing", missing }, { "confirmed_ms", confirmationAgeMs(aState) } });
  }
}

struct Handler
{
  State& state;

  void operator()(const CallerCall& aEvent) const { accept(state, aEvent); }
  void operator()(const CallerAbandoned& aEvent) const { onCallerAbandoned(state, aEvent); }
  void operator()(const CallerDrained& aEvent) const { onCallerDrained(state, aEvent); }
  void operator()(const CallerGone& aEvent) const { onCallerGone(state, aEvent.caller); }
  void operator()(const UpstreamHead& aEvent) const { onHead(state, aEvent); }
  void operator()(const UpstreamData& aEvent) const { onData(state, aEvent); }
  void operator()(const UpstreamEnd& aEvent) const { onEnd(state, aEvent); }
  void operator()(const UpstreamError& aEvent) const { onError(state, aEvent); }
  void operator()(const UpstreamsRead& aEvent) const
  {
    applyUpstreams(state, aEvent.upstreams, state.now);
    state.upstreams.revision = 0;
  }
  void operator()(const LoopDelay& aEvent) const { onLoopDelay(state, aEvent.delay); }
  void operator()(const Contacts& aEvent) const { onContacts(state, aEvent); }
  void operator()(const PeerMessage& aEvent) const { handlePeer(state, aEvent); }
  void operator()(const PeerUp& /*aEvent*/) const {}
  void operator()(const PeerDown& /*aEvent*/) const {}
  void operator()(const Tick& /*aEvent*/) const
  {
    tickControl(state);
    tickRequests(state);
    stopWhenDrained(state);
    reportReadiness(state);
  }
  void operator()(const Shutdown& /*aEvent*/) const
  {
    if (!state.leavingSince) {
      state.leavingSince = state.now;
    }
  }
};

} // namespace

void
log(State& aState, Severity aSeverity, std::string aEvent, nlohmann::json aFields)
{
  aState.actions.emplace_back(Log{ { aSeverity, std::move(aEvent), std::move(aFields) } });
}

Upstream*
findUpstream(State& aState, const std::string& aId)
{
  const auto found = aState.upstreams.byId.find(aId);
  return found == aState.upstreams.byId.end() ? nullptr : &found->second;
}

GatewayRole::GatewayRole(GatewayOptions aOptions, Boot aBoot, std::mt19937_64 aRandom)
  : mState(std::make_unique<State>())
{
  mState->boot = aBoot;
  mState->random = aRandom;
  mState->link.controllers = aOptions.controllers;
  mState->shortage.linkRate = aOptions.linkRate;
  mState->options = std::move(aOptions);
}

GatewayRole::~GatewayRole() = default;
GatewayRole::GatewayRole(GatewayRole&&) noexcept = default;
GatewayRole&
GatewayRole::operator=(GatewayRole&&) noexcept = default;

Actions
GatewayRole::handle(const Event& aEvent, TimePoint aNow)
{
  mState->now = aNow;
  begin(*mState);
  std::visit(Handler{ *mState }, aEvent);
  return std::exchange(mState->actions, {});
}

bool
GatewayRole::ready() const noexcept
{
  return missingForReadiness(*mState).empty();
}

Metrics
GatewayRole::metrics() const
{
  const auto& state = *mState;
  const auto number = [](auto aCount) { return static_cast<double>(aCount); };
  Metrics metrics{
    { "rhubarbarch_gateway_requests_total", "", number(state.totals.requests) },
    { "rhubarbarch_gateway_served_total", "", number(state.totals.served) },
    { "rhubarbarch_gateway_aborted_total", "", number(state.totals.aborted) },
    { "rhubarbarch_gateway_callers_gone_total", "", number(state.totals.callersDisconnected) },
    { "rhubarbarch_gateway_retries_total", "", number(state.totals.retries) },
    { "rhubarbarch_gateway_silent_moved_total", "", number(state.totals.silentMoved) },
    { "rhubarbarch_gateway_silent_kept_total", "", number(state.totals.silentKept) },
    { "rhubarbarch_gateway_first_events_total", "", number(state.totals.firstEvents) },
    { "rhubarbarch_gateway_first_event_seconds_total", "", state.totals.firstEventMs / 1000 },
    { "rhubarbarch_gateway_first_event_expected_seconds_total", "", state.totals.expectedMs / 1000 },
    { "rhubarbarch_gateway_first_event_error_seconds_total", "", state.totals.estimateErrorMs / 1000 },
    { "rhubarbarch_gateway_ignored_measurements_total", "", number(state.totals.ignoredMeasurements) },
    { "rhubarbarch_gateway_streams_without_tokens_total", "", number(state.totals.starved) },
    { "rhubarbarch_gateway_committed_tokens", "", number(committedTokens(state.budgets)) },
    { "rhubarbarch_gateway_quarantined_total", "", number(state.totals.quarantined) },
    { "rhubarbarch_gateway_quarantine_subjects", "", number(state.crashes.quarantined.size()) },
    { "rhubarbarch_gateway_requests", "", number(state.requests.size()) },
    { "rhubarbarch_gateway_link_refused_total", "", number(state.shortage.refused) },
    { "rhubarbarch_gateway_link_connect_timeouts_total", "", number(state.shortage.timeouts) },
    { "rhubarbarch_gateway_link_queued_bytes", "", state.shortage.queuedBytes },
    { "rhubarbarch_gateway_held_bytes", "", number(state.heldBytes) },
    { "rhubarbarch_gateway_gathered_bytes", "", number(state.gatheredBytes) },
    { "rhubarbarch_gateway_upstreams", "", number(state.upstreams.byId.size()) },
    { "rhubarbarch_gateway_routing_version", "", number(state.index ? state.index->table.version : 0) }
  };
  for (const auto& [status, count] : state.totals.refusals) {
    metrics.push_back(
      { "rhubarbarch_gateway_refusals_total", "status=\"" + std::to_string(status) + "\"", number(count) });
  }
  return metrics;
}

} // namespace rhubarbarch::gateway
