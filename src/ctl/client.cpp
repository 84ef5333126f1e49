#include "client.h"

#include <chrono>

namespace rhubarbarch::ctl {

namespace {

constexpr int kHttpUnavailable = 503;
constexpr Duration kRoundPause{ 200 };

} // namespace

Result<Reply>
callFleet(const ClientOptions& aOptions, const Call& aCall)
{
  using Clock = std::chrono::steady_clock;
  const auto until = Clock::now() + aOptions.totalTimeout;
  std::string problem = "no server is named";
  do {
    for (const auto& server : aOptions.servers) {
      auto reply = call(server, aOptions.token, aCall, aOptions.callTimeout);
      if (reply && reply.value().status != kHttpUnavailable) {
        return reply;
      }
      problem = reply ? settings::toString(server) + ": " + reply.value().body.dump() : reply.error().detail;
    }
    aOptions.pause(kRoundPause);
  } while (Clock::now() < until);
  return failure(ErrorCode::kUnavailable, problem);
}

ExitCode
exitCodeOf(const Reply& aReply) noexcept
{
  switch (aReply.status) {
    case 200:
    case 201:
    case 202:
      return ExitCode::kOk;
    case 400:
    case 413:
    case 422:
      return ExitCode::kBadInput;
    case 401:
    case 403:
      return ExitCode::kDenied;
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    case 503:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kFailed;
  }
}

} // namespace rhubarbarch::ctl
