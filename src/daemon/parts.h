#pragma once

#include "io_thread.h"
#include "lanes.h"
#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/net/log_writer.h"
#include "rhubarbarch/net/memory_account.h"
#include "rhubarbarch/settings/settings.h"
#include "role_dispatcher.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbarch::daemon {

/// What the parts of the process share. Lives as long as any part.
struct Process
{
  const settings::Settings& settings;
  net::LogWriter& log;
  RoleDispatcher& dispatcher;
  Boot boot{};
  std::string endpoint;                                 ///< `ip:port` of the peer listener in use
  std::function<void(Role)> stopped;                    ///< the graceful shutdown of a role is complete; any thread
  std::function<void()> readUpstreams;                  ///< read the platform's list for the controller; any thread
  std::shared_ptr<net::MemoryAccount> memory = nullptr; ///< of all servers of the process; null: no bound
};

/// One role with its threads and servers. All members are called on the main thread unless they say otherwise.
class RolePart
{
public:
  virtual ~RolePart() = default;
  virtual Role role() const noexcept = 0;
  virtual void start() = 0;
  /// The settings name other first contacts; any part that needs none ignores them.
  virtual void contacts(const std::vector<std::string>& /*aControllers*/) {}
  /// Begins the graceful shutdown of the role; Process::stopped follows.
  virtual void shutdown() = 0;
  /// @return whether everything that the role sent has left the process; meaningful after Process::stopped
  virtual bool flushed() const = 0;
  /// Ends all threads of the part.
  virtual void stop() = 0;
  /// Callable from any thread.
  virtual bool ready() const = 0;
  /// Callable from any thread.
  virtual Metrics metrics() const = 0;
};

/// Opens the listener for callers and builds the router role.
/// @return kIo when the port cannot be used
Result<std::unique_ptr<RolePart>>
makeRouterPart(Process& aProcess);

/// Opens the listeners for callers and for the balancer, and builds the gateway role.
/// @return kIo when a port cannot be used
Result<std::unique_ptr<RolePart>>
makeGatewayPart(Process& aProcess);

/// Builds the relay role.
std::unique_ptr<RolePart>
makeRelayPart(Process& aProcess);

/// Builds the agent role with the client of its upstream.
std::unique_ptr<RolePart>
makeAgentPart(Process& aProcess);

/// Opens the data folder and builds the controller role.
/// @param aReply answers an operator; called on the thread of the role
/// @return kIo or kCorrupt when the data folder cannot be used
Result<std::unique_ptr<RolePart>>
makeControllerPart(Process& aProcess, std::function<void(controller::OperatorReply&&)> aReply);

} // namespace rhubarbarch::daemon
