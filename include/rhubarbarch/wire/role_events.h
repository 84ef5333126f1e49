#pragma once

#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/wire/message.h"

/// Events and actions that all roles know. Each role's events.h takes those that it handles into its own namespace.
namespace rhubarbarch::roles {

/// A message from a peer or from another role of this process.
struct PeerMessage
{
  Address from;
  Message message;
};

/// A peer connection was opened, or replaced by a new one. Messages in flight on the old one may be lost.
struct PeerUp
{
  Address peer;
};

/// A peer connection was closed or went silent.
struct PeerDown
{
  Address peer;
};

/// Begin a graceful shutdown: accept nothing new, finish what is in progress and settle it.
struct Shutdown
{};

/// Send a message to a peer or another role of this process.
struct Send
{
  Address to;
  Message message;
};

/// Write a log line.
struct Log
{
  LogLine line;
};

/// Graceful shutdown is complete.
struct Stopped
{};

} // namespace rhubarbarch::roles
