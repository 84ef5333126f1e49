#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/events.h"

#include <string>
#include <string_view>

namespace rhubarbarch::net {

/// An answer that the HTTP server gives by itself.
struct Refusal
{
  std::int32_t status = 400;
  const char* error = "";   ///< snake_case code in the body
  Duration retryAfter{ 0 }; ///< zero: no header
};

/// How an answer is framed.
struct Framing
{
  bool chunked = false;
  bool keepAlive = false;
  bool bodyless = false; ///< status without body and length
};

/// @return whether requests with this method are passed on; others are answered with 405
bool
allowedMethod(std::string_view aMethod);

/// @return the target without query
std::string
pathOfTarget(std::string aTarget);

/// @return the token of `Bearer <token>`, or empty
std::string
bearerToken(std::string_view aAuthorization);

/// @return the head of an answer, up to the empty line
std::string
answerHead(const router::ReplyHead& aHead, const Framing& aFraming);

/// @return a whole answer with a JSON body that says that the request did not run
std::string
refusalText(const Refusal& aRefusal, bool aHeadOnly);

/// @return the line before the bytes of a chunk
std::string
chunkStart(std::size_t aBytes);

/// @return whole seconds, rounded up, as in `Retry-After`
std::int64_t
secondsRoundedUp(Duration aTime);

} // namespace rhubarbarch::net
