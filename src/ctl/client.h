#pragma once

#include "http_client.h"

#include <functional>
#include <string>
#include <vector>

namespace rhubarbarch::ctl {

/// Exit codes of the tool.
enum class ExitCode : std::uint8_t
{
  kOk = 0,
  kFailed = 1,      ///< an answer that the tool does not expect
  kUsage = 2,       ///< bad command line
  kBadInput = 3,    ///< the document or a value was refused; nothing changed
  kConflict = 4,    ///< the list has changed since; nothing changed
  kUnavailable = 5, ///< no controller answered, or none leads
  kTakenBack = 6,   ///< the move was taken back
  kDenied = 7,      ///< token missing or wrong
  kNotFound = 8     ///< no such plan, move or request
};

/// What the tool needs to reach the fleet.
struct ClientOptions
{
  std::vector<settings::Endpoint> servers;
  std::string token;
  Duration callTimeout{ 3000 };
  Duration totalTimeout{ 15'000 };     ///< over all servers and tries
  std::function<void(Duration)> pause; ///< waits between rounds
};

/// Calls the servers in turn until one that leads answers.
///
/// A call whose answer was lost is repeated; changes carry a request id, so that a repeat gets the first outcome.
/// @return the answer, or kUnavailable with the last problem. Usage: `callFleet(options, {"GET", "/v1/lists", {}})`.
Result<Reply>
callFleet(const ClientOptions& aOptions, const Call& aCall);

/// Exit code that fits an answer.
ExitCode
exitCodeOf(const Reply& aReply) noexcept;

} // namespace rhubarbarch::ctl
