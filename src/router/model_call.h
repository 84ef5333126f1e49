#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/router/options.h"

#include <cstdint>
#include <string_view>

namespace rhubarbarch::router {

/// Fields of a model call's body that the router uses.
struct ModelCall
{
  ModelName model;
  Tokens maxTokens = 0;    ///< output cap
  Tokens promptTokens = 0; ///< upper bound
  bool stream = false;
  std::uint64_t prefixHash = 0; ///< of the first 1,024 bytes of the prompt
};

/// Parses the body of a completion or chat completion.
/// @param aBody JSON object with `model` and `prompt` or `messages`
/// @param aOptions default and limit of `max_tokens`
/// @return the call; kParse for a body that is not a JSON object, kInvalidArgument for a field out of range.
/// Usage: `auto call = parseModelCall(request.body, options);`.
Result<ModelCall>
parseModelCall(std::string_view aBody, const RouterOptions& aOptions);

} // namespace rhubarbarch::router
