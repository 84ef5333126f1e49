#pragma once

#include "rhubarbarch/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbarch::router {

/// The answer of one run on its way to the caller. The router forwards bytes as they arrive and holds only what the
/// caller has not read: `received - drained`, at most the credit window.
struct Stream
{
  bool headKnown = false;
  std::int32_t httpStatus = 0;
  std::string contentType;
  std::uint64_t received = 0;    ///< contiguous answer bytes received from the agent
  std::uint64_t drained = 0;     ///< bytes written to the caller's socket
  std::uint64_t creditUntil = 0; ///< the agent may send up to this offset, in bytes
  bool discard = false;          ///< no caller reads the answer: bytes count as drained immediately
  bool gap = false;              ///< bytes after `received` are missing and must be requested again
  TimePoint attachAt;            ///< earliest time of the next Attach
};

/// Accepts a chunk. Skips bytes already received, discards a chunk after a gap and sets `gap`, and rejects bytes beyond
/// the credit.
/// @return the new bytes, a part of `aData`. Usage: `auto bytes = acceptChunk(stream, chunk.offset, chunk.data.data);`.
std::string_view
acceptChunk(Stream& aStream, std::uint64_t aOffset, std::string_view aData) noexcept;

/// Advances the credit window to follow the bytes that the caller has read.
/// @param aWindow in bytes
/// @return true when the window has advanced far enough to send the agent a Credit message
bool
extendCredit(Stream& aStream, std::uint64_t aWindow) noexcept;

/// Restarts the answer from its first byte, for another caller or another attempt.
void
restartStream(Stream& aStream, std::uint64_t aWindow);

} // namespace rhubarbarch::router
