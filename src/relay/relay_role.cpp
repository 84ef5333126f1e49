#include "rhubarbarch/relay/relay_role.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::relay {

RelayRole::RelayRole(RelayOptions aOptions)
  : mOptions(std::move(aOptions))
  , mControllers(mOptions.controllers)
{
}

Actions
RelayRole::handle(const Event& aEvent, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aTyped) { on(aTyped); }, aEvent);
  return std::exchange(mActions, {});
}

void
RelayRole::on(const PeerMessage& aEvent)
{
  if (const auto* poll = std::get_if<GatewayPoll>(&aEvent.message)) {
    // Relays pass nothing on to each other: two that take each other for controllers would do so for ever.
    if (aEvent.from.role == Role::kRouter) {
      takePoll(aEvent.from, *poll);
    }
  } else if (const auto* join = std::get_if<JoinRequest>(&aEvent.message)) {
    takeJoin(aEvent.from.instance, *join);
  } else if (const auto* state = std::get_if<GatewayState>(&aEvent.message)) {
    takeState(*state);
  } else if (const auto* hint = std::get_if<NotLeader>(&aEvent.message)) {
    takeHint(aEvent.from.instance, *hint);
  }
}

void
RelayRole::on(const Tick& /*aEvent*/)
{
  connectAll();
  std::erase_if(mPending, [this](const auto& aItem) { return mNow - aItem.second.at >= mOptions.pollKept; });
  if (mAsked && mNow - mTriedSince >= mOptions.silence) {
    choose(mCurrent + 1);
  }
}

void
RelayRole::on(const Shutdown& /*aEvent*/)
{
  mActions.emplace_back(Stopped{});
}

void
RelayRole::on(const Contacts& aEvent)
{
  learn(aEvent.controllers);
}

void
RelayRole::learn(const std::vector<std::string>& aControllers)
{
  for (const auto& controller : aControllers) {
    if (std::ranges::find(mControllers, controller) == mControllers.end()) {
      mControllers.push_back(controller);
      mConnected = false;
    }
  }
  connectAll();
}

/// A founder has to hear each controller itself; a request to join may come from anywhere.
void
RelayRole::takeJoin(const InstanceId& aFrom, const JoinRequest& aRequest)
{
  if (aRequest.founding || aRequest.answers != ReplicaId{} || aRequest.instance != aFrom) {
    return;
  }
  for (const auto& controller : mControllers) {
    if (controller != aFrom) {
      mActions.emplace_back(Send{ { controller, Role::kController }, aRequest });
    }
  }
}

void
RelayRole::takePoll(const Address& aFrom, const GatewayPoll& aPoll)
{
  mPending[aPoll.instance] = { aFrom, aPoll, mNow, false };
  passOn(aPoll);
}

void
RelayRole::takeState(const GatewayState& aState)
{
  mAsked = false;
  if (!aState.controllers.empty() && aState.controllers != mControllers) {
    const auto current = mControllers.empty() ? std::string() : mControllers[mCurrent];
    mControllers = aState.controllers;
    const auto found = std::ranges::find(mControllers, current);
    mCurrent = found == mControllers.end() ? 0 : static_cast<std::size_t>(found - mControllers.begin());
    mConnected = false;
    connectAll();
  }
  const auto pending = mPending.find(aState.instance);
  if (pending == mPending.end()) {
    return;
  }
  pending->second.answered = true;
  ++mAnswered;
  mActions.emplace_back(Send{ pending->second.gateway, aState });
}

void
RelayRole::takeHint(const InstanceId& aFrom, const NotLeader& aHint)
{
  if (mControllers.empty() || mControllers[mCurrent] != aFrom) {
    return;
  }
  if (aHint.leader.empty() || aHint.leader == aFrom) {
    choose(mCurrent + 1);
    return;
  }
  learn({ aHint.leader });
  const auto found = std::ranges::find(mControllers, aHint.leader);
  choose(static_cast<std::size_t>(found - mControllers.begin()));
}

void
RelayRole::passOn(const GatewayPoll& aPoll)
{
  if (mControllers.empty()) {
    return;
  }
  if (!std::exchange(mAsked, true)) {
    mTriedSince = mNow;
  }
  ++mPassed;
  mActions.emplace_back(Send{ { mControllers[mCurrent], Role::kController }, aPoll });
}

/// Turns to another controller with all polls that are not answered yet.
void
RelayRole::choose(std::size_t aController)
{
  mCurrent = aController % std::max<std::size_t>(mControllers.size(), 1);
  mAsked = false;
  for (const auto& [instance, pending] : mPending) {
    if (!pending.answered) {
      passOn(pending.poll);
    }
  }
}

void
RelayRole::connectAll()
{
  if (std::exchange(mConnected, true)) {
    return;
  }
  for (const auto& controller : mControllers) {
    mActions.emplace_back(Connect{ { controller, Role::kController }, controller });
  }
}

Metrics
RelayRole::metrics() const
{
  return { { "rhubarbarch_relay_polls_total", "", static_cast<double>(mPassed) },
           { "rhubarbarch_relay_answers_total", "", static_cast<double>(mAnswered) },
           { "rhubarbarch_relay_gateways", "", static_cast<double>(mPending.size()) } };
}

} // namespace rhubarbarch::relay
