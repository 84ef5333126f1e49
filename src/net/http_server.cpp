#include "rhubarbarch/net/http_server.h"

#include "http_connection.h"
#include "ignore_error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace rhubarbarch::net {

namespace {

using boost::asio::ip::tcp;

// Callers beyond maxConnections that get a 503; further ones are closed at once.
constexpr std::size_t kMaxOverloaded = 64;
// Pause after a failed accept, for example when the process is out of file descriptors.
constexpr Duration kAcceptRetry{ 100 };
// Connections that are accepted in one turn of the event loop; requests in progress go on in between.
constexpr std::size_t kMaxAcceptBatch = 64;
// Bytes that the operating system may hold unread for one connection (it doubles the number). Its own bound is 6 MB;
// 256 KB fill a link of 400 Mbit/s with a round trip of 5 ms.
constexpr int kReceiveBufferBytes = 128 * 1024;

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  State(boost::asio::io_context& aContext, HttpServerOptions aOptions, HttpServerEvents aEvents)
    : context(aContext)
    , acceptor(aContext)
    , retryTimer(aContext)
    , shared(std::make_shared<HttpShared>(aContext, std::move(aOptions), std::move(aEvents)))
  {
  }

  void accept()
  {
    acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (!self->acceptor.is_open()) {
        return;
      }
      if (aError) {
        self->retryAccept();
        return;
      }
      self->admit(std::move(aSocket));
      self->acceptWaiting();
      self->accept();
    });
  }

  /// Takes the other connections that wait: one for each turn of a busy event loop would be fewer than arrive.
  void acceptWaiting()
  {
    std::size_t waiting = 0;
    for (; waiting < kMaxAcceptBatch; ++waiting) {
      boost::system::error_code error;
      tcp::socket socket(context);
      if (acceptor.accept(socket, error)) {
        break;
      }
      admit(std::move(socket));
    }
    shared->acceptBatch = std::max(shared->acceptBatch.load(), waiting + 1);
  }

  void retryAccept()
  {
    retryTimer.expires_after(kAcceptRetry);
    retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->acceptor.is_open()) {
        self->accept();
      }
    });
  }

  void admit(tcp::socket aSocket)
  {
    const bool overloaded =
      shared->open.load() >= shared->options.maxConnections || shared->account->used() >= shared->account->ceiling();
    if (overloaded && shared->overloaded >= kMaxOverloaded) {
      return;
    }
    const auto connection = makeHttpConnection(std::move(aSocket), shared);
    if (overloaded) {
      connection->startOverloaded();
    } else {
      connection->start();
    }
  }

  std::shared_ptr<HttpConnection> find(router::CallerId aCaller) const
  {
    const auto found = shared->callers.find(aCaller);
    return found == shared->callers.end() ? nullptr : found->second;
  }

  boost::asio::io_context& context;
  tcp::acceptor acceptor;
  boost::asio::steady_timer retryTimer;
  std::shared_ptr<HttpShared> shared;
};

HttpServer::HttpServer(boost::asio::io_context& aContext, HttpServerOptions aOptions, HttpServerEvents aEvents)
  : mState(std::make_shared<State>(aContext, std::move(aOptions), std::move(aEvents)))
{
}

HttpServer::~HttpServer()
{
  boost::system::error_code ignored;
  ignoreError(mState->acceptor.close(ignored));
  mState->shared->destroyed = true;
  mState->shared->callers.clear();
}

Result<void>
HttpServer::listen()
{
  const auto& listen = mState->shared->options.listen;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(listen.address, error);
  const tcp::endpoint endpoint(address, listen.port);
  auto& acceptor = mState->acceptor;
  const bool listens =
    !error && !acceptor.open(endpoint.protocol(), error) &&
    !acceptor.set_option(tcp::acceptor::reuse_address(true), error) &&
    !acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error) &&
    !acceptor.bind(endpoint, error) && !acceptor.listen(boost::asio::socket_base::max_listen_connections, error) &&
    !acceptor.non_blocking(true, error);
  if (!listens) {
    const auto place = mState->shared->options.name + " listener " + settings::toString(listen);
    return failure(ErrorCode::kIo, place + ": " + error.message());
  }
  mState->accept();
  return boost::outcome_v2::success();
}

std::uint16_t
HttpServer::port() const
{
  boost::system::error_code ignored;
  return mState->acceptor.local_endpoint(ignored).port();
}

void
HttpServer::reply(const router::ReplyHead& aHead)
{
  if (const auto connection = mState->find(aHead.caller)) {
    connection->head(aHead);
  }
}

void
HttpServer::reply(router::ReplyBody aBody)
{
  if (const auto connection = mState->find(aBody.caller)) {
    connection->body(std::move(aBody.data));
  }
}

void
HttpServer::reply(const router::ReplyEnd& aEnd)
{
  if (const auto connection = mState->find(aEnd.caller)) {
    connection->end();
  }
}

void
HttpServer::reply(const router::ReplyAbort& aAbort)
{
  if (const auto connection = mState->find(aAbort.caller)) {
    connection->abort();
  }
}

void
HttpServer::limit(std::size_t aHeaderBytes, std::size_t aBodyBytes, Duration aReceiveTimeout, Duration aIdleTimeout)
{
  auto& options = mState->shared->options;
  options.maxHeaderBytes = aHeaderBytes;
  options.maxBodyBytes = aBodyBytes;
  options.receiveTimeout = aReceiveTimeout;
  options.idleTimeout = aIdleTimeout;
}

void
HttpServer::drain()
{
  mState->shared->stopping = true;
}

void
HttpServer::stop()
{
  boost::system::error_code ignored;
  ignoreError(mState->acceptor.close(ignored));
  mState->shared->stopping = true;
  std::vector<std::shared_ptr<HttpConnection>> open;
  for (const auto& [key, connection] : mState->shared->connections) {
    open.push_back(connection.lock());
  }
  for (const auto& connection : open) {
    if (connection) {
      connection->finish();
    }
  }
}

std::size_t
HttpServer::answersInProgress() const noexcept
{
  return mState->shared->answers.load();
}

Metrics
HttpServer::metrics() const
{
  const auto& shared = *mState->shared;
  const auto labels = "server=\"" + shared.options.name + "\"";
  return { { "rhubarbarch_http_connections", labels, static_cast<double>(shared.open.load()) },
           { "rhubarbarch_http_answers_in_progress", labels, static_cast<double>(shared.answers.load()) },
           { "rhubarbarch_http_requests_total", labels, static_cast<double>(shared.requests.load()) },
           { "rhubarbarch_http_refused_total", labels, static_cast<double>(shared.refused.load()) },
           { "rhubarbarch_http_evicted_total", labels, static_cast<double>(shared.evicted.load()) },
           { "rhubarbarch_http_accept_batch_max", labels, static_cast<double>(shared.acceptBatch.load()) },
           { "rhubarbarch_http_abandoned_total", labels, static_cast<double>(shared.abandoned.load()) },
           { "rhubarbarch_http_writes_total", labels, static_cast<double>(shared.writes.load()) },
           { "rhubarbarch_http_sent_bytes_total", labels, static_cast<double>(shared.bytesSent.load()) } };
}

} // namespace rhubarbarch::net
