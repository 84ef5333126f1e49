#pragma once

#include "client.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbarch::ctl {

/// Options that several commands share.
struct CommandOptions
{
  bool json = false;
  bool watch = false;                    ///< wait until a move has ended
  std::string requestId;                 ///< of a change
  std::optional<std::uint64_t> expected; ///< revision that a list must have; absent: the one in force now
  std::chrono::seconds deadline{ 0 };    ///< of a move, from now
  std::function<WallTime()> now;
};

/// Where a command writes.
struct Streams
{
  std::ostream& out;
  std::ostream& error;
};

/// Runs one command.
/// @param aArguments command and its arguments, for example `{"apply", "plans", "plans.yaml"}`
/// @return the exit code. Usage: `runCommand({"lists"}, client, options, {std::cout, std::cerr})`.
ExitCode
runCommand(const std::vector<std::string>& aArguments,
           const ClientOptions& aClient,
           const CommandOptions& aOptions,
           Streams aStreams);

/// Text that lists the commands.
const char*
usageText() noexcept;

} // namespace rhubarbarch::ctl
