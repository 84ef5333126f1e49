#include "rhubarbarch/upstream/prompt_cache.h"

namespace rhubarbarch::upstream {

void
PromptCache::use(const std::vector<PromptPart>& aPrompt, Tokens aCapacity)
{
  for (const auto& part : aPrompt) {
    if (const auto found = mIndex.find(part.id); found != mIndex.end()) {
      mParts.splice(mParts.begin(), mParts, found->second);
      continue;
    }
    mParts.push_front(part);
    mIndex[part.id] = mParts.begin();
    mTokens += part.tokens;
  }
  while (mTokens > aCapacity && !mParts.empty()) {
    mTokens -= mParts.back().tokens;
    mIndex.erase(mParts.back().id);
    mParts.pop_back();
  }
}

Tokens
PromptCache::cachedTokens(const std::vector<PromptPart>& aPrompt) const
{
  Tokens cached = 0;
  for (const auto& part : aPrompt) {
    if (!mIndex.contains(part.id)) {
      break;
    }
    cached += part.tokens;
  }
  return cached;
}

void
PromptCache::clear()
{
  mParts.clear();
  mIndex.clear();
  mTokens = 0;
}

} // namespace rhubarbarch::upstream
