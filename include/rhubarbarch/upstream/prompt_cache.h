#pragma once

#include "rhubarbarch/base/ids.h"

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarbarch::upstream {

/// A part of a prompt. Requests with the same part id share its tokens.
struct PromptPart
{
  std::string id;
  Tokens tokens = 0;
};

/// Estimate of the contents of an engine's prompt cache: the parts of the requests sent to it, without the least
/// recently used ones once its memory is full. It is not exact because other gateways fill the same cache.
class PromptCache
{
public:
  /// Marks a request's parts as most recently used and evicts parts beyond the capacity.
  /// @param aCapacity capacity of the engine's memory, in tokens
  void use(const std::vector<PromptPart>& aPrompt, Tokens aCapacity);

  /// @return tokens at the start of a prompt that are probably cached; a part counts only if all parts before it do
  Tokens cachedTokens(const std::vector<PromptPart>& aPrompt) const;

  /// Empties the cache after a restart of the engine.
  void clear();

private:
  std::list<PromptPart> mParts; ///< most recently used first
  std::unordered_map<std::string, std::list<PromptPart>::iterator> mIndex;
  Tokens mTokens = 0;
};

} // namespace rhubarbarch::upstream
