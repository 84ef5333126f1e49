#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbarch::gateway {

/// Splits the bytes of an event stream into whole events, so that an answer which breaks off in the middle of one can
/// be resumed after the last whole event.
class EventStream
{
public:
  /// Takes bytes of the answer.
  /// @return the bytes of the events that are whole now; may be empty
  std::string feed(std::string_view aBytes);

  /// @return events passed on so far
  std::int64_t events() const noexcept { return mEvents; }
  /// @return id of the last whole event; empty: none had an id
  const std::string& lastId() const noexcept { return mLastId; }
  /// @return whether bytes of an event that is not whole are held
  bool partial() const noexcept { return !mHeld.empty(); }
  /// @return bytes held of an event that is not whole
  std::size_t heldBytes() const noexcept { return mHeld.size(); }
  /// Drops the bytes of an event that will not become whole.
  void dropPartial() { mHeld.clear(); }
  /// Checks that the next whole event follows the one passed on last, after a resume; ids are whole numbers.
  void expectNext() noexcept { mCheckNext = true; }
  /// @return false once an event came twice or one is missing after a resume
  bool consistent() const noexcept { return mConsistent; }

private:
  void countEvent(std::string_view aEvent);

  std::string mHeld;
  std::string mLastId;
  std::int64_t mEvents = 0;
  bool mCheckNext = false;
  bool mConsistent = true;
};

} // namespace rhubarbarch::gateway
