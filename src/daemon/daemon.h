#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/net/log_writer.h"
#include "rhubarbarch/settings/settings.h"

#include <functional>
#include <memory>

namespace rhubarbarch::daemon {

/// Exit codes of the program.
enum ExitCode : int
{
  kClean = 0,
  kFailed = 1,      ///< the disk failed, or the graceful shutdown took too long
  kBadSettings = 2, ///< the settings file is missing or wrong
  kCannotOpen = 3   ///< a port or the data folder cannot be opened
};

/// The whole process: roles, connections and servers.
///
/// Usage: `Daemon daemon(settings, log); if (daemon.open()) { return daemon.run(); }`.
class Daemon
{
public:
  /// @param aReload reads the settings again, on SIGHUP and now and then; empty: they never change
  Daemon(settings::Settings aSettings, net::LogWriter& aLog, std::function<Result<settings::Settings>()> aReload = {});
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the data folder and all listeners.
  /// @return kIo or kCorrupt when one of them cannot be used
  Result<void> open();

  /// Serves until SIGTERM or SIGINT, then shuts the roles down in order. A second signal ends the process at once.
  ExitCode run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::daemon
