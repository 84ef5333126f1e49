#include "stream.h"

#include <algorithm>

namespace rhubarbarch::router {

std::string_view
acceptChunk(Stream& aStream, std::uint64_t aOffset, std::string_view aData) noexcept
{
  if (aOffset > aStream.received) {
    aStream.gap = true;
    return {};
  }
  const std::uint64_t held = aStream.received - aOffset;
  if (held >= aData.size()) {
    return {};
  }
  const std::uint64_t remainingCredit = std::max(aStream.creditUntil, aStream.received) - aStream.received;
  const std::uint64_t fresh = aData.size() - held;
  const std::uint64_t taken = std::min(fresh, remainingCredit);
  aStream.gap = taken < fresh;
  aStream.received += taken;
  if (aStream.discard) {
    aStream.drained = aStream.received;
  }
  return aData.substr(held, taken);
}

bool
extendCredit(Stream& aStream, std::uint64_t aWindow) noexcept
{
  // One message per quarter of the window keeps the agent sending without a message per chunk.
  if (aStream.drained + aWindow < aStream.creditUntil + aWindow / 4) {
    return false;
  }
  aStream.creditUntil = aStream.drained + aWindow;
  return true;
}

void
restartStream(Stream& aStream, std::uint64_t aWindow)
{
  aStream = Stream{};
  aStream.creditUntil = aWindow;
}

} // namespace rhubarbarch::router
