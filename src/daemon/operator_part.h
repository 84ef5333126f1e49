#pragma once

#include "parts.h"
#include "rhubarbarch/net/operator_api.h"
#include "rhubarbarch/net/platform_poller.h"

#include <functional>
#include <memory>

namespace rhubarbarch::daemon {

/// The HTTP server for operators, health and metrics, and the poller of the platform's list, with their thread.
class OperatorPart
{
public:
  /// @param aReady whether the process takes work; called on the thread of this part
  /// @param aMetrics figures of the process; called on the thread of this part
  OperatorPart(Process& aProcess, std::function<bool()> aReady, std::function<Metrics()> aMetrics);
  ~OperatorPart();
  OperatorPart(const OperatorPart&) = delete;
  OperatorPart& operator=(const OperatorPart&) = delete;

  /// @return kIo when the port cannot be used
  Result<void> listen();
  void start();
  void stop();
  /// Answers an operator; on the thread of the controller role.
  void reply(controller::OperatorReply&& aReply);
  /// Callable from any thread.
  Metrics metrics() const;

private:
  net::OperatorEvents events(std::function<bool()> aReady, std::function<Metrics()> aMetrics);
  void startPoller();

  Process& mProcess;
  IoThread mThread;
  net::OperatorServer mServer;
  net::Inbox<controller::OperatorReply> mReplies;
  std::unique_ptr<net::PlatformPoller> mPoller;
};

} // namespace rhubarbarch::daemon
