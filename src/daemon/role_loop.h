#pragma once

#include "execute.h"
#include "lanes.h"
#include "loop_figures.h"
#include "rhubarbarch/base/time.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rhubarbarch::daemon {

/// The thread of one role: takes all events that wait, handles them, then executes the actions of the whole batch.
///
/// Usage: construct, start(), push events to inbox(), stop().
template<typename RoleClass, typename Event, typename Actions>
class RoleLoop
{
public:
  /// @param aName name in metrics
  /// @param aRole the state machine; used on the thread of the loop only
  /// @param aTick makes the tick event
  /// @param aExecute executes a batch of actions, which may be empty
  RoleLoop(std::string aName,
           std::unique_ptr<RoleClass> aRole,
           std::function<Event()> aTick,
           std::function<void(Actions&&)> aExecute)
    : mName(std::move(aName))
    , mRole(std::move(aRole))
    , mTick(std::move(aTick))
    , mExecute(std::move(aExecute))
    , mWork(boost::asio::make_work_guard(mContext))
    , mTimer(mContext)
    , mInbox(
        kLaneCount,
        kRingEvents,
        kOverflowMessages,
        [this] { boost::asio::post(mContext, [this] { step({}); }); },
        kInboxBytes)
  {
  }

  ~RoleLoop() { stop(); }
  RoleLoop(const RoleLoop&) = delete;
  RoleLoop& operator=(const RoleLoop&) = delete;

  net::Inbox<Event>& inbox() noexcept { return mInbox; }

  /// Starts the thread.
  /// @param aFirst actions to execute first
  void start(Actions aFirst)
  {
    boost::asio::post(mContext, [this, first = std::move(aFirst)]() mutable { step(std::move(first)); });
    awaitTick();
    mThread = std::thread([this] { mContext.run(); });
  }

  /// Ends the thread after the batch in progress.
  void stop()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /// @return what the role said after the last batch; any thread
  bool ready() const noexcept { return mReady.load(); }

  /// @return figures of the role and of the loop, at most half a second old; any thread
  Metrics metrics() const
  {
    Metrics metrics;
    {
      const std::scoped_lock lock(mMutex);
      metrics = mPublished;
    }
    const auto label = "role=\"" + mName + "\"";
    metrics.push_back({ "rhubarbarch_ring_events", label, static_cast<double>(mInbox.depth()) });
    metrics.push_back({ "rhubarbarch_ring_bytes", label, static_cast<double>(mInbox.bytes()) });
    metrics.push_back({ "rhubarbarch_ring_refused_total", label, static_cast<double>(mInbox.refused()) });
    return metrics;
  }

private:
  static constexpr Duration kPublishPeriod{ 500 };
  /// Events whose actions are executed together. After a pause thousands wait, and the answers to all of them take many
  /// times the memory of the events.
  static constexpr std::size_t kMaxBatch = 128;

  static TimePoint now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

  void awaitTick()
  {
    mTimer.expires_after(kTickPeriod);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        mTickDue = true;
        step({});
        awaitTick();
      }
    });
  }

  void step(Actions aBatch)
  {
    const auto started = std::chrono::steady_clock::now();
    // Taken first and handled afterwards, since handling may add events to the same inbox.
    std::vector<Event> events;
    mInbox.drain([&events](Event&& aEvent) { events.push_back(std::move(aEvent)); });
    if (std::exchange(mTickDue, false)) {
      events.push_back(mTick());
    }
    std::size_t handled = 0;
    for (auto& event : events) {
      auto actions = mRole->handle(std::exchange(event, Event{}), now());
      std::move(actions.begin(), actions.end(), std::back_inserter(aBatch));
      if (++handled % kMaxBatch == 0) {
        mExecute(std::exchange(aBatch, {}));
      }
    }
    mExecute(std::move(aBatch));
    const auto time = std::chrono::steady_clock::now() - started;
    mFigures.add(events.size(), std::chrono::duration_cast<std::chrono::microseconds>(time));
    publish();
  }

  void publish()
  {
    mReady = mRole->ready();
    if (now() < mNextPublish) {
      return;
    }
    mNextPublish = now() + kPublishPeriod;
    auto metrics = mRole->metrics();
    std::ranges::move(mFigures.take(mName), std::back_inserter(metrics));
    const std::scoped_lock lock(mMutex);
    mPublished = std::move(metrics);
  }

  std::string mName;
  std::unique_ptr<RoleClass> mRole;
  std::function<Event()> mTick;
  std::function<void(Actions&&)> mExecute;
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  boost::asio::steady_timer mTimer;
  net::Inbox<Event> mInbox;
  LoopFigures mFigures;
  bool mTickDue = false;
  TimePoint mNextPublish;
  std::atomic<bool> mReady{ false };
  mutable std::mutex mMutex;
  Metrics mPublished;
  std::thread mThread;
};

} // namespace rhubarbarch::daemon
