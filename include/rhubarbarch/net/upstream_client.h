#pragma once

#include "rhubarbarch/agent/events.h"
#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rhubarbarch::net {

/// Settings of the client of one upstream.
struct UpstreamOptions
{
  settings::Endpoint endpoint;
  bool modelEngine = true; ///< false: plain service, not polled
  Duration connectTimeout{ 1000 };
  Duration pollPeriod{ 500 };
  Duration pollTimeout{ 2000 };
  Duration orderTimeout{ 5000 }; ///< for cancels, which no state machine waits for
};

/// Callbacks, all on the thread of the event loop.
struct UpstreamEvents
{
  std::function<void(agent::Event&&)> event;
  std::function<void(LogLine&&)> log;
  std::function<bool()> congested; ///< true: stop reading answers now
};

/// HTTP/1.1 client of the agent's upstream. Requests under `/engine/` may be sent again and reuse connections; each run
/// has a connection of its own, so that `kNotSent` is certain. All calls on the thread of the event loop, except
/// metrics().
///
/// `UpstreamStart::timeout` limits the time without any progress: connecting, sending, or a byte of the answer. The
/// time in which reading is paused does not count.
class UpstreamClient
{
public:
  UpstreamClient(boost::asio::io_context& aContext, UpstreamOptions aOptions, UpstreamEvents aEvents);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Begins to poll load and cache events of a model engine.
  void startPolls();
  void handle(const agent::UpstreamStart& aStart);
  void handle(const agent::UpstreamPause& aPause);
  void handle(const agent::UpstreamContinue& aContinue);
  void handle(const agent::UpstreamCancel& aCancel);
  /// Process figures; callable from any thread.
  Metrics metrics() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace rhubarbarch::net
