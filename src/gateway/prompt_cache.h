#pragma once

#include "rhubarbarch/gateway/events.h"

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarbarch::gateway {

/// What an engine's prompt cache probably holds: the parts of the requests sent there, the least recently used ones
/// gone once its memory is full. It is a belief: other gateways fill the same cache.
class PromptCache
{
public:
  /// Counts a request's parts as read.
  /// @param aCapacity tokens that the engine's memory holds
  void use(const std::vector<PromptPart>& aPrompt, Tokens aCapacity);

  /// @return tokens at the start of a prompt that are probably cached: a part counts only if all before it do
  Tokens cachedTokens(const std::vector<PromptPart>& aPrompt) const;

  /// The engine has started anew.
  void clear();

private:
  std::list<PromptPart> mParts; ///< most recently used first
  std::unordered_map<std::string, std::list<PromptPart>::iterator> mIndex;
  Tokens mTokens = 0;
};

} // namespace rhubarbarch::gateway
