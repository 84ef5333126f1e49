#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/run_messages.h"

#include <cstdint>
#include <string>

namespace rhubarbarch::router {

/// Final error response to a request that the system does not serve.
struct Refusal
{
  std::int32_t httpStatus = 503;
  std::string error; ///< snake_case
  std::string message;
  Ran ran = Ran::kNo;
  Duration retryAfter{ 0 }; ///< zero: a retry would not help, or needs no delay
};

/// @return the JSON body. Usage: `refusalBody(refusal, request.id)`.
std::string
refusalBody(const Refusal& aRefusal, const RequestId& aRequest);

} // namespace rhubarbarch::router
