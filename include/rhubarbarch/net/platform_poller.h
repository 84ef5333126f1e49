#pragma once

#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/controller/events.h"
#include "rhubarbarch/settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rhubarbarch::net {

/// Settings of the poller.
struct PlatformOptions
{
  settings::Endpoint endpoint;
  Duration period{ 1000 };
  Duration timeout{ 2000 };
};

/// Polls the platform's list of instances, `GET /instances`, for the controller.
///
/// Usage: `PlatformPoller poller(context, options, use, log)`; polls until destroyed.
class PlatformPoller
{
public:
  /// @param aUse gets each list that was read; a failed poll is logged and has no other effect
  PlatformPoller(boost::asio::io_context& aContext,
                 PlatformOptions aOptions,
                 std::function<void(controller::PlatformList&&)> aUse,
                 std::function<void(LogLine&&)> aLog);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace rhubarbarch::net
