#pragma once

#include "rhubarbarch/agent/events.h"
#include "rhubarbarch/base/http_field.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/settings/settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::net {

/// One HTTP request to send.
struct HttpCall
{
  std::string method = "GET";
  std::string target = "/";
  std::string host; ///< value of the Host field; empty: the endpoint
  std::vector<std::pair<std::string, std::string>> fields;
  std::shared_ptr<const std::string> body; ///< null: empty
  Duration connectTimeout{ 1000 };
  Duration timeout{ 0 };        ///< without progress; zero: none
  Duration unackedTimeout{ 0 }; ///< bytes that the other end does not acknowledge break the connection; zero: never
  bool repeatable = false;      ///< may be sent again, so it may use a connection kept for any time
  bool resend = true;           ///< repeatable calls: send again by itself when a kept connection closes
  bool fresh = false;           ///< use no kept connection
  bool keep = false;            ///< keep the connection for later calls
  Duration freshIdle{ 0 };      ///< a call that may not be sent again uses connections kept for less than this
};

/// Head of an answer.
struct HttpAnswerHead
{
  std::int32_t status = 0;
  std::string contentType;
  HttpFields fields;       ///< all of them
  bool kept = false;       ///< on a connection that has carried other calls, whose answers may be sent again
  bool untilClose = false; ///< the answer has no length and ends with its connection
};

/// Why an exchange failed.
struct HttpFailure
{
  agent::ExchangeFailure kind = agent::ExchangeFailure::kBroken;
  bool silent = false; ///< a time-out, not a refusal or reset
  bool kept = false;   ///< a kept connection closed before the first byte of the answer
  std::string detail;
};

/// Callbacks of one exchange. The last one is either `end` or `error`; none follow cancel().
struct HttpCallEvents
{
  std::function<void(const HttpAnswerHead&)> head;
  std::function<void(std::string&&)> data;
  std::function<void()> end;
  std::function<void(const HttpFailure&)> error;
  std::function<bool()> congested; ///< may be empty
};

/// A connection without a request.
struct IdleConnection
{
  boost::asio::ip::tcp::socket socket;
  std::chrono::steady_clock::time_point since;
  std::chrono::steady_clock::time_point until; ///< the server may close it then
};

/// Kept connections to one endpoint.
struct HttpPool
{
  boost::asio::io_context& context;
  settings::Endpoint endpoint;
  std::vector<IdleConnection> idle;
  std::size_t maxIdle = 4;
};

/// Closes kept connections that the server is about to close.
void
pruneIdle(HttpPool& aPool);

/// One HTTP/1.1 request and its answer.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  /// Stops reading from the socket.
  virtual void pause() = 0;
  virtual void resume() = 0;
  virtual void cancel() = 0;
};

/// Sends a request.
/// @param aPool connections to the endpoint; must live until the last callback or cancel()
std::shared_ptr<HttpExchange>
startHttpExchange(std::shared_ptr<HttpPool> aPool, HttpCall aCall, HttpCallEvents aEvents);

/// Sends a request and gathers its answer. An answer of more than 4 MiB, or one that takes longer than four times the
/// timeout of the call, fails.
/// @param aDone gets status and body; status 0 when the exchange failed, with the reason as body
std::shared_ptr<HttpExchange>
fetch(std::shared_ptr<HttpPool> aPool,
      HttpCall aCall,
      const std::function<void(std::int32_t, const std::string&)>& aDone);

} // namespace rhubarbarch::net
