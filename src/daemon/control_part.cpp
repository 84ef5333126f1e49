#include "control_part.h"

#include "role_options.h"

#include "../../platform/control_api.h"
#include "../../platform/instance_list.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbarch::daemon {

namespace {

/// A request that the controller has not answered by then, because its disk is silent, is answered with 504: the
/// longest time for which operators wait for an acknowledgement (`AckMs` of 5 s). Each open one takes one of few
/// connections.
constexpr Duration kAnswerLimit{ 5'000 };
constexpr Duration kCheckPeriod{ 500 };

TimePoint
now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

net::HttpServerOptions
serverOptions(const Process& aProcess)
{
  auto options = controlServerOptions(aProcess.settings);
  options.account = aProcess.memory;
  return options;
}

void
sendAnswer(net::HttpServer& aServer,
           router::CallerId aCaller,
           const net::OperatorAnswer& aAnswer,
           const std::string& aLocation)
{
  router::ReplyHead head;
  head.caller = aCaller;
  head.httpStatus = aAnswer.status;
  head.contentType = aAnswer.contentType;
  head.contentLength = aAnswer.body.size();
  if (!aLocation.empty()) {
    head.fields.push_back({ "Location", aLocation });
  }
  aServer.reply(head);
  aServer.reply(router::ReplyBody{ aCaller, aAnswer.body });
  aServer.reply(router::ReplyEnd{ aCaller });
}

} // namespace

ControlPart::ControlPart(Process& aProcess)
  : mProcess(aProcess)
  , mServer(mThread.context, serverOptions(aProcess), events())
  , mReplies(kLaneCount, kRingEvents, kOverflowMessages, [this] {
    boost::asio::post(mThread.context,
                      [this] { mReplies.drain([this](const controller::OperatorReply& aReply) { answer(aReply); }); });
  })
{
  std::ranges::transform(
    aProcess.settings.controllers, std::back_inserter(mContacts), &settings::ControllerPeer::instance);
  if (const auto& list = mProcess.settings.upstreamList) {
    mReader = std::make_unique<platform::InstanceListReader>(
      mThread.context,
      *list,
      [this](std::vector<UpstreamEntry>&& aList) {
        mProcess.dispatcher.controller->push(kFromOperators, controller::UpstreamsRead{ std::move(aList) });
      },
      [this](const LogLine& aLine) { mProcess.log.write(aLine); });
  }
}

ControlPart::~ControlPart()
{
  stop();
}

net::HttpServerEvents
ControlPart::events()
{
  net::HttpServerEvents events;
  events.request = [this](router::CallerRequest&& aRequest) { request(std::move(aRequest)); };
  events.drained = [](const router::CallerDrained&) {};
  events.gone = [this](const router::CallerGone& aGone) { mOpen.erase(aGone.caller); };
  events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
  events.congested = [] { return false; };
  return events;
}

Result<void>
ControlPart::listen()
{
  return mServer.listen();
}

void
ControlPart::start()
{
  awaitCheck();
  mThread.start();
}

void
ControlPart::stop()
{
  mThread.stop();
}

void
ControlPart::request(router::CallerRequest&& aRequest)
{
  auto operation = platform::decodeOperation(aRequest);
  if (const auto* refusal = std::get_if<net::OperatorAnswer>(&operation)) {
    mProcess.log.write(
      { Severity::kInfo,
        "order_refused",
        { { "target", aRequest.target }, { "status", refusal->status }, { "detail", refusal->body } } });
    sendAnswer(mServer, aRequest.caller, *refusal, "");
    return;
  }
  if (mProcess.dispatcher.controller == nullptr) {
    sendAnswer(mServer,
               aRequest.caller,
               { 307, "application/json", R"({"Error":"no controller in this process"})" },
               nextContact(aRequest.target));
    return;
  }
  mOpen[aRequest.caller] = { aRequest.target, now() + kAnswerLimit };
  const auto id = static_cast<controller::OperatorId>(toNumber(aRequest.caller));
  mProcess.dispatcher.controller->push(
    kFromOperators, controller::OperatorRequest{ id, std::move(std::get<controller::Operation>(operation)) });
}

/// A process without a disk serves operators, too, where the platform counts on it, and sends them on.
std::string
ControlPart::nextContact(const std::string& aTarget)
{
  const auto& own = mProcess.settings.controllerSettings.control;
  for (std::size_t i = 0; i < mContacts.size(); ++i) {
    const auto contact = settings::parseEndpoint(mContacts[mNextContact++ % mContacts.size()]);
    if (contact && contact.value().address != own.address) {
      return "http://" + settings::toString({ contact.value().address, own.port }) + aTarget;
    }
  }
  return {};
}

void
ControlPart::contacts(std::vector<std::string> aControllers)
{
  boost::asio::post(mThread.context,
                    [this, controllers = std::move(aControllers)]() mutable { mContacts = std::move(controllers); });
}

void
ControlPart::reply(controller::OperatorReply&& aReply)
{
  mReplies.push(kFromController, std::move(aReply));
}

void
ControlPart::answer(const controller::OperatorReply& aReply)
{
  const auto caller = static_cast<router::CallerId>(toNumber(aReply.id));
  const auto open = mOpen.extract(caller);
  if (open.empty()) {
    return; // the operator has gone, or was told that the outcome is unknown
  }
  std::string location;
  const auto port = mProcess.settings.controllerSettings.control.port;
  const auto encoded = platform::encodeAnswer(aReply, open.mapped().target, port, location);
  sendAnswer(mServer, caller, encoded, location);
}

void
ControlPart::awaitCheck()
{
  mTimer.expires_after(kCheckPeriod);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      answerOverdue();
      awaitCheck();
    }
  });
}

void
ControlPart::answerOverdue()
{
  std::vector<router::CallerId> overdue;
  for (const auto& [caller, open] : mOpen) {
    if (open.limit <= now()) {
      overdue.push_back(caller);
    }
  }
  for (const auto caller : overdue) {
    mProcess.log.write({ Severity::kWarning, "operator_not_answered", { { "target", mOpen.at(caller).target } } });
    mOpen.erase(caller);
    sendAnswer(mServer, caller, { 504, "application/json", R"({"Error":"outcome unknown; send it again"})" }, "");
  }
}

void
ControlPart::readUpstreams()
{
  boost::asio::post(mThread.context, [this] {
    if (mReader) {
      mReader->read();
    }
  });
}

} // namespace rhubarbarch::daemon
