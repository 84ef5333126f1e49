#pragma once

#include "rhubarbarch/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbarch::agent {

/// Token usage of a run as reported by the upstream.
struct Usage
{
  Tokens promptTokens = 0;
  Tokens completionTokens = 0;

  bool operator==(const Usage&) const = default;
};

/// Extracts the usage from an answer that arrives in pieces. Buffers at most one line or one `usage` value.
/// Server-sent events carry the usage in the last data event before `[DONE]`, a JSON body carries it at top level.
class UsageScanner
{
public:
  /// @param aContentType of the answer; anything but `text/event-stream` is parsed as one JSON document
  void begin(std::string_view aContentType);

  /// @param aBytes the next bytes of the answer
  void feed(std::string_view aBytes);

  /// @return the usage once it is final, which is after `[DONE]` or after the end of the JSON object; otherwise nothing
  std::optional<Usage> usage() const;

private:
  void feedEvent(char aByte);
  void endLine();
  void feedJson(char aByte);
  void feedString(char aByte);
  void feedStructure(char aByte);
  void endCapture();

  bool mIsEventStream = false;
  bool mFinal = false;
  bool mOverlong = false;
  std::string mText; ///< the current line, or the captured `usage` value
  std::optional<Usage> mUsage;

  // JSON document
  int mDepth = 0;
  bool mInString = false;
  bool mEscaped = false;
  bool mKeyNext = false;   ///< the next string at depth 1 is a key
  bool mCapturing = false; ///< the bytes belong to the value of the top-level `usage`
  std::string mKey;        ///< the last key at depth 1, truncated
};

} // namespace rhubarbarch::agent
