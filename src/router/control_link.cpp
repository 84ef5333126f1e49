#include "control_link.h"

#include <algorithm>
#include <iterator>

namespace rhubarbarch::router {

namespace {

/// Limits the rate of messages to a group without a leader.
constexpr Duration kNoLeaderPause{ 100 };

void
choose(ControlLink& aLink, std::size_t aController, TimePoint aNow)
{
  aLink.current = aController;
  aLink.triedSince = aNow;
}

} // namespace

ControlLink
makeControlLink(const RouterOptions& aOptions, TimePoint aNow)
{
  ControlLink link;
  std::ranges::transform(aOptions.controllers, std::back_inserter(link.controllers), &ControllerPeer::instance);
  link.triedSince = aNow;
  return link;
}

Address
leaderAddress(const ControlLink& aLink)
{
  return { aLink.controllers.empty() ? InstanceId{} : aLink.controllers[aLink.current], Role::kController };
}

bool
followHint(ControlLink& aLink, const InstanceId& aFrom, const NotLeader& aHint, TimePoint aNow)
{
  if (aLink.controllers.empty() || aLink.controllers[aLink.current] != aFrom) {
    return false;
  }
  const auto hinted = std::ranges::find(aLink.controllers, aHint.leader);
  if (hinted != aLink.controllers.end() && aHint.leader != aFrom) {
    choose(aLink, static_cast<std::size_t>(hinted - aLink.controllers.begin()), aNow);
    aLink.registerAt = aNow;
    aLink.pollAt = aNow;
    return true;
  }
  choose(aLink, (aLink.current + 1) % aLink.controllers.size(), aNow);
  aLink.registerAt = aNow + kNoLeaderPause;
  aLink.pollAt = aNow + kNoLeaderPause;
  return true;
}

void
rotateOnTimeout(ControlLink& aLink, const RouterOptions& aOptions, TimePoint aNow)
{
  if (aLink.controllers.empty() || aNow - aLink.triedSince < aOptions.controllerTimeout) {
    return;
  }
  choose(aLink, (aLink.current + 1) % aLink.controllers.size(), aNow);
  aLink.registerAt = aNow;
  aLink.pollAt = aNow;
}

void
noteLeaderAnswer(ControlLink& aLink, const InstanceId& aFrom, TimePoint aNow)
{
  aLink.answeredAt = aNow;
  if (!aLink.controllers.empty() && aLink.controllers[aLink.current] == aFrom) {
    aLink.triedSince = aNow;
  }
}

bool
controlConnected(const ControlLink& aLink, const RouterOptions& aOptions, TimePoint aNow) noexcept
{
  return aLink.answeredAt && aNow - *aLink.answeredAt < aOptions.controlTimeout;
}

bool
applyRegistered(ControlLink& aLink, const SessionRegistered& aReply, Boot aBoot, TimePoint aNow)
{
  if (aReply.boot != aBoot || aLink.session != SessionId{} || aReply.session <= aLink.endedSession) {
    return false;
  }
  aLink.session = aReply.session;
  aLink.firstPoll = aLink.polls + 1;
  aLink.pollAt = aNow;
  return true;
}

void
endSession(ControlLink& aLink, TimePoint aNow)
{
  aLink.endedSession = aLink.session;
  aLink.session = SessionId{};
  aLink.registerAt = aNow;
}

} // namespace rhubarbarch::router
