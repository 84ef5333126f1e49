#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/net/peer_handshake.h"
#include "rhubarbarch/net/websocket.h"

#include <map>
#include <string>
#include <string_view>

namespace rhubarbarch::net {

/// Sent when there is nothing else to send: CBOR null.
inline constexpr std::string_view kHeartbeatFrame = "\xf6";

/// How far the handshake of a connection is.
enum class Stage : std::uint8_t
{
  kAwaitHello,
  kAwaitProof,
  kProven
};

/// One connection.
struct PeerLink
{
  Side side = Side::kOpened; ///< of this process
  Stage stage = Stage::kAwaitHello;
  std::string ownHello;  ///< encoded
  std::string peerHello; ///< encoded
  Hello peer;
  TimePoint openedAt;
  TimePoint provenAt;
  TimePoint heardAt;
  TimePoint sentAt;
  bool paused = false;
  bool silent = false;   ///< reported as down since no frame has come for `PeerOptions::silence`
  bool replaced = false; ///< another connection of the same pair took over
};

/// An instance that this process connects to.
struct WantedPeer
{
  std::map<Role, std::string> endpoints; ///< by the role that it was asked for
  LinkId attempt{};                      ///< last connection that this process opened; zero: none
  Duration backOff{ 0 };
  TimePoint nextAttempt;
};

} // namespace rhubarbarch::net
