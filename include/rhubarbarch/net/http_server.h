#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/net/memory_account.h"
#include "rhubarbarch/router/events.h"
#include "rhubarbarch/settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbarch::net {

/// Limits of an HTTP server.
struct HttpServerOptions
{
  std::string name; ///< in metrics and log lines, for example `caller`
  settings::Endpoint listen;
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  std::size_t maxConnections = 4096;                        ///< beyond it: 503 with `Retry-After`
  std::size_t maxPipelinedBytes = std::size_t{ 64 } * 1024; ///< of later requests, read ahead during an answer
  Duration receiveTimeout{ 10'000 };                        ///< for a header, and for progress of a body; then 408
  Duration idleTimeout{ 60'000 };                           ///< between two requests
  Duration writeTimeout{ 600'000 };                         ///< without a byte taken by the caller
  bool passFields = false;                                  ///< requests carry their target and all header fields
  std::size_t openRequestBytes = 0;       ///< charged for a request that was passed on, besides head and body
  std::shared_ptr<MemoryAccount> account; ///< shared by the servers of a process; null: no bound
};

/// Callbacks, all on the thread of the event loop.
struct HttpServerEvents
{
  std::function<void(router::CallerRequest&&)> request;
  std::function<void(const router::CallerDrained&)> drained; ///< counts bytes of ReplyBody only
  std::function<void(const router::CallerGone&)> gone;
  std::function<void(LogLine&&)> log;
  std::function<bool()> congested; ///< true: hold new requests back
  /// Gets requests whose callers closed the connection before they were read; without it these are passed on, too.
  std::function<void(router::CallerRequest&&)> abandoned;
};

/// HTTP/1.1 server with keep-alive. Pipelined requests are handled one at a time, in order. All calls on the thread of
/// the event loop, except metrics() and answersInProgress().
///
/// Usage: construct, listen(), then answer each `request` with reply(ReplyHead), reply(ReplyBody)..., reply(ReplyEnd).
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext, HttpServerOptions aOptions, HttpServerEvents aEvents);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return kIo when the port cannot be used
  Result<void> listen();
  std::uint16_t port() const;

  /// Answers to callers that are gone have no effect.
  void reply(const router::ReplyHead& aHead);
  void reply(router::ReplyBody aBody);
  void reply(const router::ReplyEnd& aEnd);
  void reply(const router::ReplyAbort& aAbort);

  /// Changes what callers may send and how long they may take; applies to requests that begin later.
  void limit(std::size_t aHeaderBytes, std::size_t aBodyBytes, Duration aReceiveTimeout, Duration aIdleTimeout);
  /// Serves on, but closes each connection after its next answer.
  void drain();
  /// Accepts no more connections and closes the present ones after their answers.
  void stop();
  /// @return requests that were passed on and whose answer is not yet fully taken by the caller; any thread
  std::size_t answersInProgress() const noexcept;
  /// Process figures; callable from any thread.
  Metrics metrics() const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace rhubarbarch::net
