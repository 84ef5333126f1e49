#include "rhubarbarch/router/refusal.h"

#include <nlohmann/json.hpp>

namespace rhubarbarch::router {

namespace {

const char*
ranName(Ran aRan)
{
  switch (aRan) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace

std::string
refusalBody(const Refusal& aRefusal, const RequestId& aRequest)
{
  const nlohmann::json body{ { "error", aRefusal.error },
                             { "message", aRefusal.message },
                             { "ran", ranName(aRefusal.ran) },
                             { "retry_after_ms", aRefusal.retryAfter.count() },
                             { "request_id", aRequest } };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace rhubarbarch::router
