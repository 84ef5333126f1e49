#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <iterator>
#include <limits>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace rhubarbarch::net {

/// Events for one thread from several others: one bounded ring per producing thread, called a lane.
///
/// A full ring never blocks its producer, since two threads that wait for each other's ring would deadlock. Further
/// events go to an overflow list of the lane, in order, which the reader takes after the ring. While a lane overflows,
/// congested() tells producers that read from sockets to stop reading, so the list is bounded by what they had in hand.
/// Above `aOverflowLimit` pushUnlessFull() refuses events that their senders repeat anyway.
///
/// Events that may be large state their size. A lane that holds `aByteLimit` is congested, and pushUnlessFull() refuses
/// what would take it over twice that: a thousand messages of a megabyte fit into no machine.
///
/// Usage: `inbox.push(lane, event)` on the lane's thread, `inbox.drain(handle)` on the reader's thread after a wake.
template<typename Event>
class Inbox
{
public:
  /// @param aLanes number of producing threads
  /// @param aCapacity events in the ring of a lane
  /// @param aOverflowLimit events in the overflow list of a lane from which pushUnlessFull() refuses
  /// @param aWake makes the reader call drain() soon; called on producing threads
  /// @param aByteLimit bytes that a lane may hold before it is congested
  Inbox(std::size_t aLanes,
        std::size_t aCapacity,
        std::size_t aOverflowLimit,
        std::function<void()> aWake,
        std::size_t aByteLimit = std::numeric_limits<std::size_t>::max() / 2)
    : mOverflowLimit(aOverflowLimit)
    , mByteLimit(aByteLimit)
    , mWake(std::move(aWake))
  {
    for (std::size_t lane = 0; lane < aLanes; ++lane) {
      mLanes.push_back(std::make_unique<Lane>(aCapacity));
    }
  }

  ~Inbox()
  {
    drain([](Event&& /*unused*/) {});
  }

  Inbox(const Inbox&) = delete;
  Inbox& operator=(const Inbox&) = delete;

  /// Adds an event; never refuses.
  /// @param aBytes memory that the event takes, where it may be large
  void push(std::size_t aLane, Event aEvent, std::size_t aBytes = 0)
  {
    auto& lane = *mLanes[aLane];
    auto owned = std::make_unique<Item>(Item{ std::move(aEvent), aBytes });
    lane.bytes.fetch_add(aBytes, std::memory_order_relaxed);
    if (lane.overflowing.load(std::memory_order_acquire) || !lane.ring.push(owned.get())) {
      pushOverflow(lane, std::move(owned));
    } else {
      // The ring holds the pointer now; drain() takes ownership.
      static_cast<void>(owned.release());
    }
    wake();
  }

  /// Adds an event unless the overflow list of the lane is full, or the lane holds events and would hold more than
  /// twice its bytes.
  /// @return false when the event was refused
  bool pushUnlessFull(std::size_t aLane, Event aEvent, std::size_t aBytes = 0)
  {
    const auto& lane = *mLanes[aLane];
    const auto held = lane.bytes.load(std::memory_order_relaxed);
    if (lane.overflowSize.load(std::memory_order_relaxed) >= mOverflowLimit ||
        (held > 0 && held + aBytes > 2 * mByteLimit)) {
      mRefused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    push(aLane, std::move(aEvent), aBytes);
    return true;
  }

  /// @return whether the lane overflows or holds too many bytes; its producer should stop reading from sockets
  bool congested(std::size_t aLane) const noexcept
  {
    const auto& lane = *mLanes[aLane];
    return lane.overflowing.load(std::memory_order_relaxed) || lane.bytes.load(std::memory_order_relaxed) >= mByteLimit;
  }

  /// Takes all events that are there now, in the order of each lane.
  /// @return number of events taken
  template<typename Handler>
  std::size_t drain(Handler&& aHandler)
  {
    mWakePending.store(false, std::memory_order_seq_cst);
    std::size_t taken = 0;
    for (auto& lane : mLanes) {
      taken += drainRing(*lane, aHandler);
      if (lane->overflowing.load(std::memory_order_acquire)) {
        taken += drainOverflow(*lane, aHandler);
      }
    }
    return taken;
  }

  /// @return events that wait now
  std::size_t depth() const noexcept
  {
    std::size_t waiting = 0;
    for (const auto& lane : mLanes) {
      waiting += lane->ring.read_available() + lane->overflowSize.load(std::memory_order_relaxed);
    }
    return waiting;
  }

  /// @return bytes that the waiting events stated
  std::size_t bytes() const noexcept
  {
    std::size_t held = 0;
    for (const auto& lane : mLanes) {
      held += lane->bytes.load(std::memory_order_relaxed);
    }
    return held;
  }

  /// @return events refused by pushUnlessFull()
  std::size_t refused() const noexcept { return mRefused.load(std::memory_order_relaxed); }

private:
  struct Item
  {
    Event event;
    std::size_t bytes = 0;
  };

  struct Lane
  {
    explicit Lane(std::size_t aCapacity)
      : ring(aCapacity)
    {
    }

    // Holds owned pointers, because spsc_queue of this Boost version copies on push.
    boost::lockfree::spsc_queue<Item*> ring;
    std::atomic<bool> overflowing{ false };
    std::atomic<std::size_t> overflowSize{ 0 };
    std::mutex mutex;
    std::deque<std::unique_ptr<Item>> overflow;
    std::atomic<std::size_t> bytes{ 0 };
  };

  template<typename Handler>
  static void take(Lane& aLane, Item& aItem, Handler& aHandler)
  {
    aLane.bytes.fetch_sub(aItem.bytes, std::memory_order_relaxed);
    aHandler(std::move(aItem.event));
  }

  void pushOverflow(Lane& aLane, std::unique_ptr<Item> aEvent)
  {
    const std::scoped_lock lock(aLane.mutex);
    // The reader may have taken the overflow list since the check, in which case the ring has room again.
    if (!aLane.overflowing.load(std::memory_order_relaxed) && aLane.ring.push(aEvent.get())) {
      static_cast<void>(aEvent.release());
      return;
    }
    aLane.overflow.push_back(std::move(aEvent));
    aLane.overflowSize.store(aLane.overflow.size(), std::memory_order_relaxed);
    aLane.overflowing.store(true, std::memory_order_release);
  }

  template<typename Handler>
  std::size_t drainRing(Lane& aLane, Handler& aHandler)
  {
    return aLane.ring.consume_all([&aLane, &aHandler](Item* aItem) {
      const std::unique_ptr<Item> owned(aItem);
      take(aLane, *owned, aHandler);
    });
  }

  template<typename Handler>
  std::size_t drainOverflow(Lane& aLane, Handler& aHandler)
  {
    std::deque<std::unique_ptr<Item>> taken;
    {
      const std::scoped_lock lock(aLane.mutex);
      // While `overflowing` is set the producer leaves the ring alone, so all of it is older than the list.
      aLane.ring.consume_all([&taken](Item* aItem) { taken.emplace_back(aItem); });
      std::ranges::move(aLane.overflow, std::back_inserter(taken));
      aLane.overflow.clear();
      aLane.overflowSize.store(0, std::memory_order_relaxed);
      aLane.overflowing.store(false, std::memory_order_release);
    }
    // Handled without the lock, since a handler may push to this lane.
    for (auto& item : taken) {
      take(aLane, *item, aHandler);
    }
    return taken.size();
  }

  void wake()
  {
    if (!mWakePending.exchange(true, std::memory_order_seq_cst)) {
      mWake();
    }
  }

  std::size_t mOverflowLimit;
  std::size_t mByteLimit;
  std::function<void()> mWake;
  std::vector<std::unique_ptr<Lane>> mLanes;
  std::atomic<bool> mWakePending{ false };
  std::atomic<std::size_t> mRefused{ 0 };
};

} // namespace rhubarbarch::net
