#include "event_stream.h"

#include <charconv>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kNextDataField = "\ndata:";
constexpr std::string_view kLfLf = "\n\n";
constexpr std::string_view kCrLfCrLf = "\r\n\r\n";

/// @return position after the first complete event of `aBytes`, searched from `aFrom`; npos: none is complete
std::size_t
eventEnd(std::string_view aBytes, std::size_t aFrom)
{
  const auto lfEnd = aBytes.find(kLfLf, aFrom);
  const auto crLfEnd = aBytes.find(kCrLfCrLf, aFrom);
  if (lfEnd == std::string_view::npos && crLfEnd == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lfEnd < crLfEnd ? lfEnd + kLfLf.size() : crLfEnd + kCrLfCrLf.size();
}

std::string_view
eventId(std::string_view aEvent)
{
  std::size_t line = 0;
  while (line < aEvent.size()) {
    const auto end = std::min(aEvent.find('\n', line), aEvent.size());
    auto text = aEvent.substr(line, end - line);
    if (text.starts_with(kIdField)) {
      text.remove_prefix(kIdField.size());
      const auto first = text.find_first_not_of(' ');
      const auto last = text.find_last_not_of("\r ");
      return first == std::string_view::npos ? std::string_view{} : text.substr(first, last - first + 1);
    }
    line = end + 1;
  }
  return {};
}

bool
hasData(std::string_view aEvent)
{
  return aEvent.starts_with(kDataField) || aEvent.find(kNextDataField) != std::string_view::npos;
}

std::optional<std::int64_t>
parseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  return complete ? std::optional(number) : std::nullopt;
}

} // namespace

std::string
EventStream::feed(std::string_view aBytes, std::int64_t aMostEvents)
{
  // The delimiter may begin in the bytes that are already buffered.
  auto from = mHeldBack || mHeld.size() < kCrLfCrLf.size() ? 0 : mHeld.size() - kCrLfCrLf.size() + 1;
  mHeld.append(aBytes);
  mHeldBack = false;
  std::size_t complete = 0;
  for (auto end = eventEnd(mHeld, from); end != std::string::npos && mConsistent; end = eventEnd(mHeld, from)) {
    if (aMostEvents-- <= 0) {
      mHeldBack = true;
      break;
    }
    countEvent(std::string_view(mHeld).substr(complete, end - complete));
    if (!mConsistent) {
      break;
    }
    complete = from = end;
  }
  std::string events = mHeld.substr(0, complete);
  mHeld.erase(0, complete);
  return events;
}

void
EventStream::countEvent(std::string_view aEvent)
{
  const auto id = eventId(aEvent);
  // A block without an id and data, such as a comment, is no event to resume at.
  if (mCheckNext && (!id.empty() || hasData(aEvent))) {
    mCheckNext = false;
    const auto before = parseNumber(mLastId);
    if (before && parseNumber(id) != *before + 1) {
      mConsistent = false;
      return;
    }
  }
  ++mEvents;
  if (!id.empty()) {
    mLastId = id;
  }
}

} // namespace rhubarbarch::gateway
