#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbarch::gateway {

/// Splits the bytes of an event stream into complete events, so that an answer that breaks off within an event can be
/// resumed after the last complete one.
class EventStream
{
public:
  /// Adds bytes of the answer.
  /// @param aMostEvents further complete events are held back until a later call
  /// @return the bytes of the events that are now complete and not held back; may be empty
  std::string feed(std::string_view aBytes, std::int64_t aMostEvents = std::numeric_limits<std::int64_t>::max());

  /// @return number of complete events so far
  std::int64_t events() const noexcept { return mEvents; }
  /// @return id of the last complete event that had one; empty: none had an id
  const std::string& lastId() const noexcept { return mLastId; }
  /// @return whether bytes of an incomplete event are buffered
  bool partial() const noexcept { return !mHeld.empty(); }
  /// @return whether complete events are held back; they are not counted yet
  bool heldBack() const noexcept { return mHeldBack; }
  /// @return number of buffered bytes of an incomplete event and of events that are held back
  std::size_t heldBytes() const noexcept { return mHeld.size(); }
  /// Discards the bytes of an event that will not be completed, and the events that are held back.
  void discardPartial()
  {
    mHeld.clear();
    mHeldBack = false;
  }
  /// After a resume: checks that the id of the next complete event is one more than the last id. Ids that are not
  /// integers are not checked.
  void expectNext() noexcept { mCheckNext = true; }
  /// @return false once a stream has resumed with a duplicate event or a gap
  bool consistent() const noexcept { return mConsistent; }

private:
  void countEvent(std::string_view aEvent);

  std::string mHeld;
  std::string mLastId;
  std::int64_t mEvents = 0;
  bool mHeldBack = false;
  bool mCheckNext = false;
  bool mConsistent = true;
};

} // namespace rhubarbarch::gateway
