#include "rhubarbarch/agent/usage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace rhubarbarch::agent {

namespace {

/// Longer events and values are not parsed; the run then counts as a run without usage.
constexpr std::size_t kMaxTextBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxKeyBytes = 16;
constexpr std::int64_t kMaxTokens = std::int64_t{ 1 } << 40U;

std::optional<Tokens>
tokenCount(const nlohmann::json& aUsage, const char* aName)
{
  const auto found = aUsage.find(aName);
  if (found == aUsage.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > kMaxTokens) {
    return std::nullopt;
  }
  return found->get<Tokens>();
}

std::optional<Usage>
usageOf(const nlohmann::json& aUsage)
{
  if (!aUsage.is_object()) {
    return std::nullopt;
  }
  const auto prompt = tokenCount(aUsage, "prompt_tokens");
  const auto completion = tokenCount(aUsage, "completion_tokens");
  if (!prompt || !completion) {
    return std::nullopt;
  }
  return Usage{ *prompt, *completion };
}

std::optional<Usage>
usageOfEvent(std::string_view aEvent)
{
  // Most events carry output only; the search avoids parsing them.
  if (aEvent.find("\"usage\"") == std::string_view::npos) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(aEvent, nullptr, false);
  if (!json.is_object() || !json.contains("usage")) {
    return std::nullopt;
  }
  return usageOf(json["usage"]);
}

} // namespace

void
UsageScanner::begin(std::string_view aContentType)
{
  *this = UsageScanner{};
  mIsEventStream = aContentType.starts_with("text/event-stream");
}

void
UsageScanner::feed(std::string_view aBytes)
{
  if (mIsEventStream) {
    std::ranges::for_each(aBytes, [this](char aByte) { feedEvent(aByte); });
  } else {
    std::ranges::for_each(aBytes, [this](char aByte) { feedJson(aByte); });
  }
}

std::optional<Usage>
UsageScanner::usage() const
{
  return mFinal ? mUsage : std::nullopt;
}

void
UsageScanner::feedEvent(char aByte)
{
  if (aByte == '\n') {
    endLine();
    return;
  }
  if (mText.size() >= kMaxTextBytes) {
    mOverlong = true;
    return;
  }
  mText.push_back(aByte);
}

void
UsageScanner::endLine()
{
  constexpr std::string_view kData = "data:";
  std::string_view line = mText;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.starts_with(kData)) {
    line.remove_prefix(kData.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    if (line == "[DONE]") {
      mFinal = true;
    } else if (!mFinal) {
      // Only the last event before [DONE] counts, so each event replaces an earlier usage.
      mUsage = mOverlong ? std::nullopt : usageOfEvent(line);
    }
  }
  mText.clear();
  mOverlong = false;
}

void
UsageScanner::feedJson(char aByte)
{
  if (mFinal) {
    return;
  }
  if (mCapturing && mText.size() < kMaxTextBytes) {
    mText.push_back(aByte);
  }
  if (mInString) {
    feedString(aByte);
    return;
  }
  feedStructure(aByte);
}

void
UsageScanner::feedString(char aByte)
{
  if (mEscaped) {
    mEscaped = false;
  } else if (aByte == '\\') {
    mEscaped = true;
  } else if (aByte == '"') {
    mInString = false;
    return;
  }
  if (mDepth == 1 && mKeyNext && mKey.size() < kMaxKeyBytes) {
    mKey.push_back(aByte);
  }
}

void
UsageScanner::feedStructure(char aByte)
{
  switch (aByte) {
    case '"':
      mInString = true;
      if (mDepth == 1 && mKeyNext) {
        mKey.clear();
      }
      break;
    case '{':
    case '[':
      ++mDepth;
      mKeyNext = mDepth == 1 && aByte == '{';
      break;
    case ':':
      if (mDepth == 1 && mKeyNext) {
        mKeyNext = false;
        mCapturing = mKey == "usage";
        mText.clear();
      }
      break;
    case ',':
      if (mDepth == 1) {
        endCapture();
        mKeyNext = true;
      }
      break;
    case '}':
    case ']':
      if (mDepth == 1) {
        endCapture();
        mFinal = true;
      }
      --mDepth;
      break;
    default:
      break;
  }
}

void
UsageScanner::endCapture()
{
  if (!mCapturing) {
    return;
  }
  mCapturing = false;
  // The last captured byte is the comma or brace after the value.
  mText.pop_back();
  mUsage = usageOf(nlohmann::json::parse(mText, nullptr, false));
  mText.clear();
}

} // namespace rhubarbarch::agent
