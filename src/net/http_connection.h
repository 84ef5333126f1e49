#pragma once

#include "rhubarbarch/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
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
};

/// What the connections of one server share.
struct HttpShared
{
  HttpServerOptions options;
  HttpServerEvents events;
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
  std::atomic<std::uint64_t> abandoned{ 0 }; ///< requests whose callers left before they were read
  std::atomic<std::uint64_t> writes{ 0 };
  std::atomic<std::uint64_t> bytesSent{ 0 };
};

std::shared_ptr<HttpConnection>
makeHttpConnection(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<HttpShared> aShared);

} // namespace rhubarbarch::net
