#include "rhubarbarch/agent/agent_role.h"

#include "admission.h"
#include "charge.h"
#include "control_link.h"
#include "explain.h"
#include "metrics.h"
#include "orders.h"
#include "run_table.h"
#include "runner.h"
#include "sessions.h"
#include "status.h"
#include "stream.h"

#include <utility>
#include <variant>

namespace rhubarbarch::agent {

namespace {

/// Handles one message and ignores messages for other roles.
struct MessageHandler
{
  Step& step;
  const Address& from;

  void operator()(const NotLeader& aMessage) const { onNotLeader(step, from, aMessage); }
  void operator()(const SessionRegistered& aMessage) const { onRegistered(step, from, aMessage); }
  void operator()(const ConfigState& aMessage) const { onConfigState(step, from, aMessage); }
  void operator()(const FenceSession& aMessage) const { onFenceSession(step, from, aMessage); }
  void operator()(const Order& aMessage) const { onOrder(step, from, aMessage); }
  void operator()(const ChargeAck& aMessage) const { onChargeAck(step, from, aMessage); }
  void operator()(const ExplainQuery& aMessage) const { onExplainQuery(step, from, aMessage); }
  void operator()(const Dispatch& aMessage) const { onDispatch(step, from, aMessage); }
  void operator()(const RunDoneAck& aMessage) const { onRunDoneAck(step, from, aMessage); }
  void operator()(const Credit& aMessage) const { onCredit(step, from, aMessage); }
  void operator()(const CancelRun& aMessage) const { onCancelRun(step, from, aMessage); }
  void operator()(const RunQuery& aMessage) const { onRunQuery(step, from, aMessage); }
  void operator()(const Attach& aMessage) const { onAttach(step, from, aMessage); }
  void operator()(const ChargeSettled& aMessage) const { onChargeSettled(step, aMessage); }
  template<typename Other>
  void operator()(const Other& /*aMessage*/) const noexcept
  {
  }
};

struct EventHandler
{
  Step& step;

  void operator()(const PeerMessage& aEvent) const
  {
    onRouterContact(step, aEvent.from);
    std::visit(MessageHandler{ step, aEvent.from }, aEvent.message);
  }
  void operator()(const PeerUp& aEvent) const { onPeerUp(step, aEvent.peer); }
  void operator()(const PeerDown& aEvent) const { onPeerDown(step, aEvent.peer); }
  void operator()(const Tick& /*aEvent*/) const
  {
    trackReserved(step);
    onControlTick(step);
    onRunnerTick(step);
    onChargeTick(step);
    removeOld(step);
    onStatusTick(step);
    onShutdownTick(step);
  }
  void operator()(const Shutdown& /*aEvent*/) const
  {
    if (!step.state.stopping) {
      step.state.stopping = true;
      step.state.stoppingSince = step.now;
    }
    beginLeaving(step);
  }
  void operator()(const UpstreamHead& aEvent) const
  {
    if (!onOrderHead(step, aEvent)) {
      onUpstreamHead(step, aEvent);
    }
  }
  void operator()(const UpstreamData& aEvent) const { onUpstreamData(step, aEvent); }
  void operator()(const UpstreamEnd& aEvent) const
  {
    if (!onOrderEnd(step, aEvent.exchange)) {
      onUpstreamEnd(step, aEvent);
    }
  }
  void operator()(const UpstreamError& aEvent) const
  {
    if (!onOrderError(step, aEvent)) {
      onUpstreamError(step, aEvent);
    }
  }
  void operator()(const LoadReport& aEvent) const { onLoadReport(step, aEvent); }
  void operator()(const CacheEvent& aEvent) const { onCacheEvent(step, aEvent); }
};

} // namespace

AgentRole::AgentRole(AgentOptions aOptions, Boot aBoot, std::mt19937_64 aRandom)
  : mState(std::make_unique<State>())
{
  mState->options = std::move(aOptions);
  mState->boot = aBoot;
  mState->random = aRandom;
  if (!mState->options.controllers.empty()) {
    // A random first controller spreads the load of agents that start at the same time.
    mState->control.current = mState->random() % mState->options.controllers.size();
  }
}

AgentRole::~AgentRole() = default;
AgentRole::AgentRole(AgentRole&&) noexcept = default;
AgentRole&
AgentRole::operator=(AgentRole&&) noexcept = default;

Actions
AgentRole::handle(const Event& aEvent, TimePoint aNow)
{
  Actions actions;
  Step step{ *mState, aNow, actions };
  if (mState->control.lastReplyAt == TimePoint{}) {
    mState->control.lastReplyAt = aNow;
  }
  std::visit(EventHandler{ step }, aEvent);
  sendStatusIfDue(step);
  return actions;
}

bool
AgentRole::ready() const noexcept
{
  return mState->sessions.registered && mState->control.configured && !mState->leaving;
}

Metrics
AgentRole::metrics() const
{
  return agent::metricsOf(*mState);
}

} // namespace rhubarbarch::agent
