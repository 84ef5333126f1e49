#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/options.h"
#include "rhubarbarch/wire/control_messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rhubarbarch::router {

/// State of the connection to the controllers and of the router's session.
struct ControlLink
{
  std::vector<InstanceId> controllers;
  std::size_t current = 0;   ///< index of the presumed leader
  SessionId session{};       ///< zero while not registered
  SessionId endedSession{};  ///< the last fenced session
  std::uint64_t polls = 0;   ///< number of the last poll sent; continues across the sessions of this boot
  std::uint64_t firstPoll{}; ///< first poll of the session; answers to earlier ones belong to an ended session
  TimePoint triedSince;      ///< time when the current controller was chosen or last answered as the leader
  std::optional<TimePoint> answeredAt; ///< last answer of a leader
  TimePoint registerAt;
  TimePoint pollAt;
};

ControlLink
makeControlLink(const RouterOptions& aOptions, TimePoint aNow);

/// @return address of the presumed leader
Address
leaderAddress(const ControlLink& aLink);

/// Follows a leader hint, or tries the next controller when there is none.
/// @return true when the presumed leader has changed
bool
followHint(ControlLink& aLink, const InstanceId& aFrom, const NotLeader& aHint, TimePoint aNow);

/// Tries the next controller when the current one has not answered as the leader within `controllerTimeout`.
void
rotateOnTimeout(ControlLink& aLink, const RouterOptions& aOptions, TimePoint aNow);

/// Records an answer that only a leader sends.
void
noteLeaderAnswer(ControlLink& aLink, const InstanceId& aFrom, TimePoint aNow);

/// @return true when a leader has answered within `controlTimeout`
bool
controlConnected(const ControlLink& aLink, const RouterOptions& aOptions, TimePoint aNow) noexcept;

/// Starts to use a session.
/// @return false for an answer that belongs to another boot or an ended session
bool
applyRegistered(ControlLink& aLink, const SessionRegistered& aReply, Boot aBoot, TimePoint aNow);

/// Ends a fenced session; the router then registers again.
void
endSession(ControlLink& aLink, TimePoint aNow);

} // namespace rhubarbarch::router
