#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/settings/settings.h"

#include <nlohmann/json.hpp>

#include <string>

namespace rhubarbarch::ctl {

/// One call of the operator interface.
struct Call
{
  std::string method = "GET";
  std::string path;
  nlohmann::json body; ///< null: no body
};

/// Answer of the operator interface.
struct Reply
{
  int status = 0;
  nlohmann::json body;
};

/// Performs one HTTP call.
/// @param aServer where the operator interface listens
/// @param aToken bearer token; empty: none is sent
/// @param aTimeout for the whole call
/// @return the answer; kUnavailable when no connection could be opened, kDeadline when the answer is late, kIo when the
/// connection broke off, kProtocol when its status is out of range, kParse when the answer is not JSON. Usage:
/// `call(server, token, {"GET", "/v1/lists", {}}, 5s)`.
Result<Reply>
call(const settings::Endpoint& aServer, const std::string& aToken, const Call& aCall, Duration aTimeout);

} // namespace rhubarbarch::ctl
