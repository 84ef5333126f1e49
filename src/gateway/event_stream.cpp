#include "event_stream.h"

#include <charconv>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kEndWithReturns = "\r\n\r\n";

/// Position after the first event of `aBytes`; npos when none is whole.
std::size_t
eventEnd(std::string_view aBytes, std::size_t aFrom)
{
  const auto plain = aBytes.find(kEnd, aFrom);
  const auto returns = aBytes.find(kEndWithReturns, aFrom);
  if (plain == std::string_view::npos && returns == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < returns ? plain + kEnd.size() : returns + kEndWithReturns.size();
}

std::string_view
idOf(std::string_view aEvent)
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

std::optional<std::int64_t>
numberOf(std::string_view aText)
{
  std::int64_t number = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  return whole ? std::optional(number) : std::nullopt;
}

} // namespace

std::string
EventStream::feed(std::string_view aBytes)
{
  // An end may begin in the bytes held already.
  auto from = mHeld.size() < kEndWithReturns.size() ? 0 : mHeld.size() - kEndWithReturns.size() + 1;
  mHeld.append(aBytes);
  std::size_t whole = 0;
  for (auto end = eventEnd(mHeld, from); end != std::string::npos && mConsistent; end = eventEnd(mHeld, from)) {
    countEvent(std::string_view(mHeld).substr(whole, end - whole));
    if (!mConsistent) {
      break;
    }
    whole = from = end;
  }
  std::string events = mHeld.substr(0, whole);
  mHeld.erase(0, whole);
  return events;
}

void
EventStream::countEvent(std::string_view aEvent)
{
  const auto id = idOf(aEvent);
  if (std::exchange(mCheckNext, false)) {
    const auto before = numberOf(mLastId);
    const auto now = numberOf(id);
    if (before && now && *now != *before + 1) {
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
