#include "rhubarbarch/router/router_role.h"

#include "control.h"
#include "filters.h"
#include "runs.h"
#include "state.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace rhubarbarch::router {

namespace {

/// @return true when there is no request, no grant and no claim message without an answer
bool
allSettled(const State& aState)
{
  return aState.requests.empty() && aState.grants.grants.empty() && aState.pendingClaims.empty();
}

void
tickShutdown(State& aState)
{
  if (!aState.leaving || aState.stopped || !aState.requests.empty()) {
    return;
  }
  const bool late = aState.now - aState.lastRequestEndedAt.value_or(aState.now) >= aState.options.shutdownWait;
  if (!allSettled(aState) && !late) {
    return;
  }
  if (late) {
    // The agents store the charges too, and the ledger reclaims the grants when it fences the session.
    log(aState, Severity::kWarning, "stopped_unsettled", { { "grants", aState.grants.grants.size() } });
  }
  aState.stopped = true;
  aState.actions.emplace_back(Stopped{});
}

void
onTick(State& aState)
{
  advanceWaiting(aState);
  tickRuns(aState);
  tickControl(aState);
  tickShutdown(aState);
}

void
onPeerMessage(State& aState, const PeerMessage& aEvent)
{
  const bool handled = aEvent.from.role == Role::kController
                         ? handleControlMessage(aState, aEvent.from.instance, aEvent.message)
                         : handleAgentMessage(aState, aEvent.from.instance, aEvent.message);
  if (!handled) {
    log(aState, Severity::kWarning, "unexpected_message", { { "from", aEvent.from.instance } });
  }
}

void
onPeerUp(State& aState, const PeerUp& aEvent)
{
  if (aEvent.peer.role == Role::kAgent) {
    onAgentUp(aState, aEvent.peer.instance);
  }
}

void
onShutdown(State& aState)
{
  aState.leaving = true;
  aState.lastRequestEndedAt = aState.now;
}

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

} // namespace

RouterRole::RouterRole(RouterOptions aOptions, Boot aBoot, std::mt19937_64 aRandom)
  : mState(std::make_unique<State>())
{
  mState->options = std::move(aOptions);
  mState->boot = aBoot;
  mState->random = aRandom;
}

RouterRole::~RouterRole() = default;
RouterRole::RouterRole(RouterRole&&) noexcept = default;
RouterRole&
RouterRole::operator=(RouterRole&&) noexcept = default;

Actions
RouterRole::handle(const Event& aEvent, TimePoint aNow)
{
  State& state = *mState;
  state.now = aNow;
  if (!std::exchange(state.started, true)) {
    state.link = makeControlLink(state.options, aNow);
    connectControllers(state);
  }
  std::visit(Overloaded{
               [&](const CallerRequest& aCall) { acceptRequest(state, aCall); },
               [&](const CallerDrained& aPart) { onCallerDrained(state, aPart); },
               [&](const CallerGone& aPart) { onCallerDisconnected(state, aPart.caller); },
               [&](const PeerMessage& aPart) { onPeerMessage(state, aPart); },
               [&](const PeerUp& aPart) { onPeerUp(state, aPart); },
               [](const PeerDown&) {}, // timeouts detect an unresponsive peer, PeerUp a new connection
               [&](const Tick&) { onTick(state); },
               [&](const Shutdown&) { onShutdown(state); },
             },
             aEvent);
  return std::exchange(state.actions, {});
}

bool
RouterRole::ready() const noexcept
{
  return mState->config.held && !mState->leaving;
}

Metrics
RouterRole::metrics() const
{
  const State& state = *mState;
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  Metrics metrics{
    { "rhubarbarch_router_requests_total", "", number(state.totals.requests) },
    { "rhubarbarch_router_completed_total", "", number(state.totals.completed) },
    { "rhubarbarch_router_aborted_total", "", number(state.totals.aborted) },
    { "rhubarbarch_router_placements_total", "", number(state.totals.placements) },
    { "rhubarbarch_router_retries_total", "", number(state.totals.retries) },
    { "rhubarbarch_router_lost_runs_total", "", number(state.totals.lostRuns) },
    { "rhubarbarch_router_charged_tokens_total", "", number(state.totals.chargedTokens) },
    { "rhubarbarch_router_requests", "", number(state.requests.size()) },
    { "rhubarbarch_router_held_bytes", "", number(state.heldBytes) },
    { "rhubarbarch_router_grants", "", number(state.grants.grants.size()) },
    { "rhubarbarch_router_brakes", "", number(state.breakers.breakers.size()) },
    { "rhubarbarch_router_plans_revision", "", number(toNumber(state.config.lists.plansRevision)) },
    { "rhubarbarch_router_uses_revision", "", number(toNumber(state.config.lists.usesRevision)) },
  };
  for (const auto& [status, count] : state.totals.refusals) {
    metrics.push_back(
      { "rhubarbarch_router_refusals_total", "status=\"" + std::to_string(status) + "\"", number(count) });
  }
  return metrics;
}

} // namespace rhubarbarch::router
