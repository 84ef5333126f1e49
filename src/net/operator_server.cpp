#include "rhubarbarch/net/operator_api.h"

#include "rhubarbarch/net/peer_handshake.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace rhubarbarch::net {

namespace {

using controller::OperatorId;
using router::CallerId;

constexpr Duration kAnswerLimit{ 30'000 };
constexpr Duration kCheckPeriod{ 1'000 };

TimePoint
now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

struct OperatorServer::State : std::enable_shared_from_this<OperatorServer::State>
{
  State(boost::asio::io_context& aContext, HttpServerOptions aOptions, std::string aToken, OperatorEvents aEvents)
    : token(std::move(aToken))
    , events(std::move(aEvents))
    , timer(aContext)
    , server(aContext,
             std::move(aOptions),
             { [this](router::CallerRequest&& aRequest) { request(aRequest); },
               [](const router::CallerDrained&) {},
               [this](const router::CallerGone& aGone) { waiting.erase(static_cast<OperatorId>(aGone.caller)); },
               [this](LogLine&& aLine) { events.log(std::move(aLine)); },
               [] { return false; },
               {} })
  {
  }

  void request(const router::CallerRequest& aRequest)
  {
    if (!aRequest.path.starts_with("/v1/")) {
      answer(aRequest.caller, publicPage(aRequest));
    } else if (token.empty()) {
      answer(aRequest.caller,
             { 403,
               "application/json",
               R"({"error":"denied","detail":"no token is set"})"
               "\n" });
    } else if (!equalProofs(aRequest.apiKey, token)) {
      answer(aRequest.caller,
             { 401,
               "application/json",
               R"({"error":"denied","detail":"wrong token"})"
               "\n" });
    } else {
      operate(aRequest);
    }
  }

  OperatorAnswer publicPage(const router::CallerRequest& aRequest) const
  {
    constexpr const char* kText = "text/plain; charset=utf-8";
    if (aRequest.method != "GET" && aRequest.method != "HEAD") {
      return { 405, kText, "method not allowed\n" };
    }
    if (aRequest.path == "/healthz") {
      return { 200, kText, "ok\n" };
    }
    if (aRequest.path == "/readyz") {
      return events.ready() ? OperatorAnswer{ 200, kText, "ready\n" } : OperatorAnswer{ 503, kText, "not ready\n" };
    }
    if (aRequest.path == "/metrics") {
      return { 200, "text/plain; version=0.0.4; charset=utf-8", metricsPage(events.metrics()) };
    }
    return { 404, kText, "not found\n" };
  }

  void operate(const router::CallerRequest& aRequest)
  {
    auto parsed = parseOperation(aRequest);
    if (const auto* refusal = std::get_if<OperatorAnswer>(&parsed)) {
      answer(aRequest.caller, *refusal);
      return;
    }
    const auto id = static_cast<OperatorId>(toNumber(aRequest.caller));
    waiting[id] = now() + kAnswerLimit;
    if (!events.request({ id, std::move(std::get<controller::Operation>(parsed)) })) {
      waiting.erase(id);
      answer(aRequest.caller,
             { 503,
               "application/json",
               R"({"error":"unavailable","detail":"no controller in this process"})"
               "\n" });
    }
  }

  void answer(CallerId aCaller, const OperatorAnswer& aAnswer)
  {
    router::ReplyHead head;
    head.caller = aCaller;
    head.httpStatus = aAnswer.status;
    head.contentType = aAnswer.contentType;
    head.contentLength = aAnswer.body.size();
    server.reply(head);
    server.reply(router::ReplyBody{ aCaller, aAnswer.body });
    server.reply(router::ReplyEnd{ aCaller });
  }

  void check()
  {
    timer.expires_after(kCheckPeriod);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->answerOverdue();
        self->check();
      }
    });
  }

  void answerOverdue()
  {
    std::vector<OperatorId> overdue;
    for (const auto& [id, limit] : waiting) {
      if (limit <= now()) {
        overdue.push_back(id);
      }
    }
    for (const auto id : overdue) {
      waiting.erase(id);
      answer(static_cast<CallerId>(toNumber(id)),
             { 504,
               "application/json",
               R"({"error":"unknown","detail":"outcome unknown; send the same request id again"})"
               "\n" });
    }
  }

  std::string token;
  OperatorEvents events;
  boost::asio::steady_timer timer;
  std::map<OperatorId, TimePoint> waiting;
  HttpServer server;
};

OperatorServer::OperatorServer(boost::asio::io_context& aContext,
                               HttpServerOptions aOptions,
                               std::string aToken,
                               OperatorEvents aEvents)
  : mState(std::make_shared<State>(aContext, std::move(aOptions), std::move(aToken), std::move(aEvents)))
{
}

OperatorServer::~OperatorServer() = default;

Result<void>
OperatorServer::listen()
{
  mState->check();
  return mState->server.listen();
}

std::uint16_t
OperatorServer::port() const
{
  return mState->server.port();
}

void
OperatorServer::reply(const controller::OperatorReply& aReply)
{
  if (mState->waiting.erase(aReply.id) > 0) {
    mState->answer(static_cast<CallerId>(toNumber(aReply.id)),
                   { aReply.httpStatus, "application/json", aReply.body.dump() + "\n" });
  }
}

void
OperatorServer::stop()
{
  mState->server.stop();
}

std::size_t
OperatorServer::answersInProgress() const noexcept
{
  return mState->server.answersInProgress();
}

Metrics
OperatorServer::metrics() const
{
  return mState->server.metrics();
}

} // namespace rhubarbarch::net
