#include "operator_part.h"

#include "role_options.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace rhubarbarch::daemon {

namespace {

net::HttpServerOptions
serverOptions(const Process& aProcess)
{
  auto options = operatorServerOptions(aProcess.settings);
  options.account = aProcess.memory;
  return options;
}

} // namespace

OperatorPart::OperatorPart(Process& aProcess, std::function<bool()> aReady, std::function<Metrics()> aMetrics)
  : mProcess(aProcess)
  , mServer(mThread.context,
            serverOptions(aProcess),
            aProcess.settings.operators.token,
            events(std::move(aReady), std::move(aMetrics)))
  , mReplies(kLaneCount, kRingEvents, kOverflowMessages, [this] {
    boost::asio::post(mThread.context, [this] {
      mReplies.drain([this](const controller::OperatorReply& aReply) { mServer.reply(aReply); });
    });
  })
{
}

OperatorPart::~OperatorPart()
{
  stop();
}

net::OperatorEvents
OperatorPart::events(std::function<bool()> aReady, std::function<Metrics()> aMetrics)
{
  net::OperatorEvents events;
  events.request = [this](controller::OperatorRequest&& aRequest) {
    auto* inbox = mProcess.dispatcher.controller;
    if (inbox != nullptr) {
      inbox->push(kFromOperators, std::move(aRequest));
    }
    return inbox != nullptr;
  };
  events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
  events.ready = std::move(aReady);
  events.metrics = std::move(aMetrics);
  return events;
}

Result<void>
OperatorPart::listen()
{
  // An agent may go without this server.
  if (mProcess.settings.operators.listen.address.empty()) {
    return boost::outcome_v2::success();
  }
  return mServer.listen();
}

void
OperatorPart::start()
{
  if (const auto& address = mProcess.settings.operators.listen.address; !address.empty()) {
    const auto endpoint = settings::toString({ address, mServer.port() });
    mProcess.log.write({ Severity::kInfo, "operators_listening", { { "endpoint", endpoint } } });
  }
  startPoller();
  mThread.start();
}

void
OperatorPart::startPoller()
{
  const auto& platform = mProcess.settings.controllerSettings.platformList;
  auto* inbox = mProcess.dispatcher.controller;
  if (!platform || inbox == nullptr) {
    return;
  }
  net::PlatformOptions options;
  options.endpoint = *platform;
  mPoller = std::make_unique<net::PlatformPoller>(
    mThread.context,
    options,
    [inbox](controller::PlatformList&& aList) { inbox->push(kFromOperators, std::move(aList)); },
    [this](const LogLine& aLine) { mProcess.log.write(aLine); });
}

void
OperatorPart::stop()
{
  mThread.stop();
}

void
OperatorPart::reply(controller::OperatorReply&& aReply)
{
  mReplies.push(kFromController, std::move(aReply));
}

Metrics
OperatorPart::metrics() const
{
  return mServer.metrics();
}

} // namespace rhubarbarch::daemon
