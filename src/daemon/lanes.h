#pragma once

#include "rhubarbarch/agent/events.h"
#include "rhubarbarch/controller/events.h"
#include "rhubarbarch/net/inbox.h"
#include "rhubarbarch/router/events.h"

#include <cstddef>
#include <variant>

namespace rhubarbarch::daemon {

/// The thread that an event comes from; each has its own lane in an inbox.
enum Lane : std::size_t
{
  kFromMain,
  kFromPeers,
  kFromCallers,
  kFromOperators,
  kFromUpstream,
  kFromRouter,
  kFromAgent,
  kFromController,
  kLaneCount
};

/// Events in the ring of a lane.
inline constexpr std::size_t kRingEvents = 1024;
/// Messages from peers and between roles beyond the ring; more are dropped, since their senders repeat them.
inline constexpr std::size_t kOverflowMessages = 16384;
/// Bytes of messages from peers in a lane from which on they are not read: a small part of the smallest machine's
/// memory (88 MB).
inline constexpr std::size_t kInboxBytes = std::size_t{ 4 } * 1024 * 1024;
/// Bytes of messages to peers in a lane; twice as many are kept and further ones dropped. After a restart a leader
/// sends documents of some hundred kilobytes to tens of gateways at once.
inline constexpr std::size_t kOutboxBytes = 2 * kInboxBytes;

/// Connect to a peer; an empty endpoint ends that.
struct ConnectPeer
{
  Address peer;
  std::string endpoint;
};

using PeerCommand = std::variant<Envelope, ConnectPeer>;
using CallerCommand = std::variant<router::ReplyHead, router::ReplyBody, router::ReplyEnd, router::ReplyAbort>;
using UpstreamCommand =
  std::variant<agent::UpstreamStart, agent::UpstreamPause, agent::UpstreamContinue, agent::UpstreamCancel>;

/// @return the lane of the thread of a role
constexpr Lane
laneOf(Role aRole) noexcept
{
  switch (aRole) {
    case Role::kRouter:
      return kFromRouter;
    case Role::kAgent:
      return kFromAgent;
    case Role::kController:
      break;
  }
  return kFromController;
}

} // namespace rhubarbarch::daemon
