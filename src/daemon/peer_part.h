#pragma once

#include "parts.h"
#include "rhubarbarch/net/peer_network.h"

#include <atomic>
#include <string>
#include <thread>

namespace rhubarbarch::daemon {

/// The connections to other processes, with their thread.
class PeerPart
{
public:
  explicit PeerPart(Process& aProcess);
  ~PeerPart();
  PeerPart(const PeerPart&) = delete;
  PeerPart& operator=(const PeerPart&) = delete;

  /// @return kIo when the port cannot be used
  Result<void> listen();
  /// @return `ip:port` in use
  std::string endpoint() const;
  void start();
  void stop();
  /// Asks whether all messages have left the process. Repeat until true.
  bool flushed();
  /// Callable from any thread.
  Metrics metrics() const;

private:
  net::PeerOptions options() const;
  net::PeerEvents events();
  void drain();

  Process& mProcess;
  net::PeerNetwork mNetwork;
  net::Inbox<PeerCommand> mCommands;
  std::atomic<bool> mFlushed{ false };
  std::thread mThread;
};

} // namespace rhubarbarch::daemon
