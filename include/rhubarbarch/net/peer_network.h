#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbarch::net {

/// Settings of the peer connections of one process.
struct PeerOptions
{
  InstanceId instance;
  Boot boot{};
  std::vector<Role> roles;
  std::string listenIp = "127.0.0.1";
  std::uint16_t listenPort = 0; ///< zero: any free port
  std::string sharedKey;
  Duration heartbeat{ 1000 };
  Duration silence{ 3000 };          ///< without a frame for this long a peer counts as down and is connected to anew
  Duration longestSilence{ 15'000 }; ///< a silent connection that nothing has replaced by then is closed; five
                                     ///< heartbeat time-outs, as long as the longest deadline of a caller
  Duration handshakeTimeout{ 3000 }; ///< from the opened connection to both proofs
  Duration firstBackOff{ 100 };      ///< doubles up to `longestBackOff`; each wait is drawn from its upper half
  Duration longestBackOff{ 3000 };
  /// Bytes queued for one peer over which its connection is closed and replaced. A larger frame is sent when nothing
  /// else is queued.
  std::size_t maxQueueBytes = std::size_t{ 4 } * 1024 * 1024;
  /// Bytes queued for all peers together, over which the connection with the longest queue is closed and replaced. As
  /// much again may be held by writes in progress, together less than two fifths of the smallest machine's memory
  /// (88 MB). A restarted fleet gets documents of some hundred kilobytes at once.
  std::size_t maxQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t maxUnprovenLinks = 256;
};

/// Callbacks, all on the thread in run().
struct PeerEvents
{
  std::function<void(Envelope&&)> message; ///< `from` is the authenticated instance
  std::function<void(const Address&)> up;
  std::function<void(const Address&)> down;
  std::function<void(LogLine&&)> log;
  std::function<bool()> congested; ///< true: do not read from peers now
};

/// Authenticated connections to other instances, one per pair of instances, used in both directions.
///
/// Usage: construct, listen(), then run() on a thread of its own; all other calls but post() and stop() on that thread.
class PeerNetwork
{
public:
  PeerNetwork(PeerOptions aOptions, PeerEvents aEvents);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// @return kIo when the port cannot be used
  Result<void> listen();
  std::uint16_t port() const;

  /// Keeps a connection to a peer open; an empty endpoint ends that.
  /// @param aEndpoint `ip:port`
  void connect(const Address& aPeer, const std::string& aEndpoint);

  /// Sends to another instance. Without a connection the message is dropped: every exchange is repeated by the roles.
  void send(const Envelope& aEnvelope);

  /// @return bytes of all connections that are not yet handed to the operating system
  std::size_t bufferedBytes() const;

  /// Process figures; callable from any thread.
  Metrics metrics() const;

  void post(std::function<void()> aTask);
  void run();
  void stop();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::net
