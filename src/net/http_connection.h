#pragma once

#include "http_text.h"
#include "rhubarbarch/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace rhubarbarch::net {

/// One connection of an HttpServer.
class HttpConnection
{
public:
  virtual ~HttpConnection() = default;
  virtual void start() = 0;
  /// Answers 503 without reading a request.
  virtual void startOverloaded() = 0;
  virtual void head(const router::ReplyHead& aHead) = 0;
  virtual void body(std::string aData) = 0;
  virtual void end() = 0;
  virtual void abort() = 0;
  /// Closes now when idle, otherwise after the answer in progress.
  virtual void finish() = 0;
  /// What the request that is being received holds; nothing when there is none.
  virtual std::optional<Receiving> receiving() const = 0;
  /// Refuses the request that is being received.
  virtual void giveUp() = 0;
};

/// What the connections of one server share.
struct HttpShared : std::enable_shared_from_this<HttpShared>
{
  HttpShared(boost::asio::io_context& aContext, HttpServerOptions aOptions, HttpServerEvents aEvents)
    : options(std::move(aOptions))
    , events(std::move(aEvents))
    , account(options.account ? options.account : std::make_shared<MemoryAccount>())
    , refusalTimer(aContext)
  {
  }

  HttpServerOptions options;
  HttpServerEvents events;
  std::shared_ptr<MemoryAccount> account;
  boost::asio::steady_timer refusalTimer;
  std::map<std::string, std::uint64_t> refusals; ///< by reason, since the last log line
  TimePoint nextRefusalLog;
  TimePoint nextRelief;
  std::unordered_map<router::CallerId, std::shared_ptr<HttpConnection>> callers;
  std::unordered_map<HttpConnection*, std::weak_ptr<HttpConnection>> connections;
  std::uint64_t lastCaller = 0;
  std::size_t overloaded = 0; ///< connections that only get a 503
  bool stopping = false;
  bool destroyed = false;
  std::atomic<std::size_t> answers{ 0 };
  std::atomic<std::size_t> open{ 0 };
  std::atomic<std::size_t> acceptBatch{ 0 }; ///< most connections that were found waiting at once
  std::atomic<std::uint64_t> requests{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
  std::atomic<std::uint64_t> evicted{ 0 };   ///< requests given up because memory was short
  std::atomic<std::uint64_t> abandoned{ 0 }; ///< requests whose callers left before they were read
  std::atomic<std::uint64_t> writes{ 0 };
  std::atomic<std::uint64_t> bytesSent{ 0 };
};

/// Counts a refusal; all refusals of a second share one log line.
void
noteRefusal(HttpShared& aShared, const Refusal& aRefusal);

/// Gives up requests that are being received until about aBytes more are free.
/// @param aFor not given up itself
/// @param aForSmall also requests that make progress, when they are not small
void
relieve(HttpShared& aShared, const HttpConnection& aFor, std::size_t aBytes, bool aForSmall);

std::shared_ptr<HttpConnection>
makeHttpConnection(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<HttpShared> aShared);

} // namespace rhubarbarch::net
