#include "http_connection.h"

#include "http_text.h"
#include "ignore_error.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <deque>
#include <limits>
#include <stdexcept>
#include <utility>

namespace rhubarbarch::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
constexpr std::size_t kMaxGather = 16;
// A closed connection discards what the caller still sends for this long, because closing with unread bytes resets the
// connection and the caller may lose the answer.
constexpr Duration kLinger{ 1000 };
constexpr Duration kCongestedRetry{ 10 };

enum class Phase : std::uint8_t
{
  kIdle,      ///< between requests
  kReceiving, ///< part of a request has arrived
  kAnswering, ///< the request was passed on
  kClosing    ///< the last answer is being written, then what arrives is discarded
};

/// Limits of one request: those in force when its first byte was read.
struct RequestLimits
{
  std::size_t headerBytes = 0;
  std::size_t bodyBytes = 0;
  Duration receiveTimeout{ 0 };
};

/// Bytes to write; `body` bytes are reported as drained.
struct Piece
{
  std::string data;
  bool body = false;
  std::size_t taken = 0; ///< bytes that the socket has taken
};

class Connection
  : public HttpConnection
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, std::shared_ptr<HttpShared> aShared)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
    , mWriteTimer(mSocket.get_executor())
    , mShared(std::move(aShared))
  {
    error_code ignored;
    ignoreError(mSocket.set_option(tcp::no_delay(true), ignored));
    ignoreError(mSocket.non_blocking(true, ignored));
  }

  ~Connection() override
  {
    mShared->connections.erase(this);
    if (mOverloaded) {
      --mShared->overloaded;
    } else {
      --mShared->open;
    }
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start() override
  {
    ++mShared->open;
    mShared->connections[this] = weak_from_this();
    awaitRequest(mShared->options.receiveTimeout);
  }

  void startOverloaded() override
  {
    ++mShared->overloaded;
    mOverloaded = true;
    refuse({ 503, "too_many_connections", Duration{ 1000 } });
    read();
  }

  void head(const router::ReplyHead& aHead) override;
  void body(std::string aData) override;
  void end() override;
  void abort() override
  {
    leaveAnswer(false);
    close();
  }
  void finish() override;

private:
  void awaitRequest(Duration aTimeout);
  void beginRequest();
  void read();
  void received(const error_code& aError, std::size_t aBytes);
  void feed();
  bool parseSome();
  void answerExpectation();
  void refuseMalformed(const error_code& aError);
  void dispatch();
  void passOn();
  bool callerLeft();
  router::CallerRequest takeRequest();
  void answerDone();

  void refuse(const Refusal& aRefusal);
  void queue(std::string aData, bool aBody);
  void write();
  void written(const error_code& aError, std::size_t aBytes);
  void queueEmpty();
  void armTimer(Duration aTimeout);
  void timedOut();
  void armWriteTimer();
  void leaveAnswer(bool aGone);
  void close();

  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mWriteTimer;
  std::shared_ptr<HttpShared> mShared;
  boost::beast::flat_buffer mBuffer; ///< bounded by what is read, not by itself
  RequestLimits mLimits;
  std::unique_ptr<Parser> mParser;
  std::deque<Piece> mOut;
  Phase mPhase = Phase::kIdle;
  router::CallerId mCaller{};
  bool mReading = false;
  bool mWriting = false;
  bool mOverloaded = false;
  bool mExpectationSeen = false;
  bool mCongested = false;
  bool mHeadOnly = false;  ///< the answer has no body on the wire
  bool mChunked = false;   ///< the answer is framed in chunks
  bool mKeepAlive = false; ///< after this answer
  bool mEnded = false;     ///< the whole answer is queued
  bool mHttp10 = false;
  std::uint64_t mBodyLeft = 0; ///< of an answer with a length
};

void
Connection::awaitRequest(Duration aTimeout)
{
  mPhase = Phase::kIdle;
  armTimer(aTimeout);
  if (mBuffer.size() > 0) {
    feed();
  }
  read();
}

// The limits may have changed since the connection was opened and since its last request.
void
Connection::beginRequest()
{
  const auto& options = mShared->options;
  mPhase = Phase::kReceiving;
  mLimits = { options.maxHeaderBytes, options.maxBodyBytes, options.receiveTimeout };
  mParser = std::make_unique<Parser>();
  mParser->header_limit(
    static_cast<std::uint32_t>(std::min<std::size_t>(mLimits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
  mParser->body_limit(mLimits.bodyBytes);
  mParser->eager(true);
  mExpectationSeen = false;
  mHeadOnly = false;
  armTimer(mLimits.receiveTimeout);
}

void
Connection::read()
{
  const bool full = mPhase == Phase::kAnswering && mBuffer.size() >= mShared->options.maxPipelinedBytes;
  if (mReading || full || !mSocket.is_open()) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(mBuffer.prepare(kReadBytes),
                          [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
                            self->mReading = false;
                            self->received(aError, aBytes);
                          });
}

void
Connection::received(const error_code& aError, std::size_t aBytes)
{
  if (mShared->destroyed || !mSocket.is_open()) {
    return;
  }
  if (aError) {
    close();
    return;
  }
  mBuffer.commit(aBytes);
  if (mPhase == Phase::kClosing) {
    mBuffer.consume(mBuffer.size());
  } else if (mPhase != Phase::kAnswering) {
    feed();
  }
  read();
}

// Gives the parser what has arrived, until the request is whole.
void
Connection::feed()
{
  if (mPhase == Phase::kIdle) {
    beginRequest();
  }
  while (mPhase == Phase::kReceiving && mBuffer.size() > 0 && !mParser->is_done() && parseSome()) {
  }
  if (mPhase == Phase::kReceiving && mParser->is_done()) {
    dispatch();
  } else if (mPhase == Phase::kReceiving && mBuffer.size() > mLimits.headerBytes) {
    // The parser waits for the end of a chunk's header or of the trailer, for which it has no limit.
    refuse({ 400, "malformed_request" });
  }
}

bool
Connection::parseSome()
{
  error_code error;
  std::size_t used = 0;
  try {
    used = mParser->put(mBuffer.data(), error);
  } catch (const std::length_error&) {
    // The library cannot hold a field of 64 KB or more, whatever the limit of the whole head.
    error = http::error::header_limit;
  }
  mBuffer.consume(used);
  if (error && error != http::error::need_more) {
    refuseMalformed(error);
    return false;
  }
  answerExpectation();
  return !error && used > 0;
}

void
Connection::answerExpectation()
{
  if (mExpectationSeen || !mParser->is_header_done()) {
    return;
  }
  mExpectationSeen = true;
  const auto expect = mParser->get()[http::field::expect];
  if (boost::beast::iequals(expect, "100-continue") && !mParser->is_done()) {
    queue("HTTP/1.1 100 Continue\r\n\r\n", false);
    write();
  }
}

void
Connection::refuseMalformed(const error_code& aError)
{
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    refuse({ 431, "header_too_large" });
  } else if (aError == http::error::body_limit) {
    refuse({ 413, "body_too_large" });
  } else {
    refuse({ 400, "malformed_request" });
  }
}

void
Connection::dispatch()
{
  const auto& request = mParser->get();
  mHttp10 = request.version() < 11;
  mKeepAlive = request.keep_alive() && !mShared->stopping;
  mHeadOnly = request.method() == http::verb::head;
  if (!allowedMethod(std::string_view(request.method_string().data(), request.method_string().size()))) {
    refuse({ 405, "method_not_allowed" });
    return;
  }
  if (request.target().empty() || request.target().front() != '/') {
    refuse({ 400, "malformed_target" });
    return;
  }
  if (mShared->events.abandoned && callerLeft()) {
    ++mShared->abandoned;
    mShared->events.abandoned(takeRequest());
    close();
    return;
  }
  mPhase = Phase::kAnswering;
  mCaller = static_cast<router::CallerId>(++mShared->lastCaller);
  mShared->callers[mCaller] = shared_from_this();
  ++mShared->answers;
  ++mShared->requests;
  mEnded = false;
  passOn();
}

void
Connection::passOn()
{
  mCongested = mShared->events.congested();
  if (mCongested) {
    armTimer(kCongestedRetry);
    return;
  }
  mTimer.cancel();
  mShared->events.request(takeRequest());
}

/// A close that arrived behind the request while both lay unread. The next read would tell, but only after the request
/// was passed on.
bool
Connection::callerLeft()
{
  error_code error;
  char byte = 0;
  mSocket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error && error != boost::asio::error::would_block;
}

/// Moves the parsed request out of the parser.
router::CallerRequest
Connection::takeRequest()
{
  auto& request = mParser->get();
  const auto text = [&request](auto aField) {
    const auto value = request[aField];
    return std::string(value.data(), value.size());
  };
  router::CallerRequest passed;
  passed.caller = mCaller;
  passed.method = std::string(request.method_string());
  passed.path = pathOfTarget(std::string(request.target()));
  passed.apiKey = bearerToken(text(http::field::authorization));
  passed.idempotencyKey = text("Idempotency-Key");
  passed.contentType = text(http::field::content_type);
  if (mShared->options.passFields) {
    passed.target = std::string(request.target());
    for (const auto& field : request) {
      passed.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
  }
  passed.body = std::move(request.body());
  return passed;
}

void
Connection::head(const router::ReplyHead& aHead)
{
  const bool bodyless = aHead.httpStatus == 204 || aHead.httpStatus == 304;
  mHeadOnly = mHeadOnly || bodyless;
  mChunked = aHead.chunked && !mHttp10;
  mKeepAlive = mKeepAlive && !mShared->stopping && (mChunked || !aHead.chunked);
  mBodyLeft = aHead.contentLength;
  queue(answerHead(aHead, { mChunked, mKeepAlive, bodyless }), false);
  // The body mostly follows at once, and one write then takes both.
  boost::asio::post(mSocket.get_executor(), [self = shared_from_this()] { self->write(); });
}

void
Connection::body(std::string aData)
{
  if (mEnded || aData.empty()) {
    return;
  }
  if (mHeadOnly) {
    mShared->events.drained({ mCaller, aData.size() });
    return;
  }
  if (mChunked) {
    queue(chunkStart(aData.size()), false);
    queue(std::move(aData), true);
    queue("\r\n", false);
    write();
    return;
  }
  mBodyLeft -= std::min<std::uint64_t>(mBodyLeft, aData.size());
  queue(std::move(aData), true);
  write();
}

void
Connection::end()
{
  if (mEnded) {
    return;
  }
  if (mChunked && !mHeadOnly) {
    queue("0\r\n\r\n", false);
  }
  write();
  // An answer shorter than its length must not be taken for a whole one.
  if (!mHeadOnly && mBodyLeft > 0 && !mChunked) {
    mKeepAlive = false;
  }
  mEnded = true;
  if (!mWriting && mOut.empty()) {
    queueEmpty();
  }
}

void
Connection::finish()
{
  if (mPhase == Phase::kIdle) {
    close();
  }
  mKeepAlive = false;
}

void
Connection::answerDone()
{
  leaveAnswer(false);
  if (!mKeepAlive || mShared->stopping) {
    mPhase = Phase::kClosing;
    queueEmpty();
    return;
  }
  awaitRequest(mShared->options.idleTimeout);
}

void
Connection::refuse(const Refusal& aRefusal)
{
  ++mShared->refused;
  mPhase = Phase::kClosing;
  mKeepAlive = false;
  mBuffer.consume(mBuffer.size());
  mShared->events.log(
    { Severity::kInfo,
      "http_request_refused",
      { { "server", mShared->options.name }, { "status", aRefusal.status }, { "error", aRefusal.error } } });
  queue(refusalText(aRefusal, mHeadOnly), false);
  write();
  armTimer(mShared->options.receiveTimeout);
}

void
Connection::queue(std::string aData, bool aBody)
{
  mOut.push_back({ std::move(aData), aBody, 0 });
}

void
Connection::write()
{
  if (mWriting || mOut.empty() || !mSocket.is_open()) {
    return;
  }
  std::vector<boost::asio::const_buffer> buffers;
  for (const auto& piece : mOut) {
    buffers.emplace_back(piece.data.data() + piece.taken, piece.data.size() - piece.taken);
    if (buffers.size() == kMaxGather) {
      break;
    }
  }
  mWriting = true;
  ++mShared->writes;
  armWriteTimer();
  mSocket.async_write_some(buffers, [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
    self->mWriting = false;
    self->written(aError, aBytes);
  });
}

void
Connection::written(const error_code& aError, std::size_t aBytes)
{
  mWriteTimer.cancel();
  if (mShared->destroyed || !mSocket.is_open()) {
    return;
  }
  if (aError) {
    close();
    return;
  }
  mShared->bytesSent += aBytes;
  std::uint64_t drained = 0;
  auto left = aBytes;
  while (left > 0) {
    auto& piece = mOut.front();
    const auto taken = std::min(left, piece.data.size() - piece.taken);
    drained += piece.body ? taken : 0;
    left -= taken;
    piece.taken += taken;
    if (piece.taken == piece.data.size()) {
      mOut.pop_front();
    }
  }
  if (drained > 0 && mPhase == Phase::kAnswering) {
    mShared->events.drained({ mCaller, drained });
  }
  if (mOut.empty()) {
    queueEmpty();
  } else {
    write();
  }
}

void
Connection::queueEmpty()
{
  if (mPhase == Phase::kAnswering && mEnded) {
    answerDone();
  } else if (mPhase == Phase::kClosing) {
    error_code ignored;
    ignoreError(mSocket.shutdown(tcp::socket::shutdown_send, ignored));
    armTimer(kLinger);
    read();
  }
}

void
Connection::armTimer(Duration aTimeout)
{
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    // A timer that was set again after it had expired still delivers the old expiry.
    if (!aError && self->mTimer.expiry() <= std::chrono::steady_clock::now() && !self->mShared->destroyed) {
      self->timedOut();
    }
  });
}

void
Connection::timedOut()
{
  if (mPhase == Phase::kReceiving) {
    refuse({ 408, "request_timeout" });
  } else if (mPhase == Phase::kAnswering) {
    if (mCongested) {
      passOn();
    }
  } else {
    close();
  }
}

void
Connection::armWriteTimer()
{
  mWriteTimer.expires_after(mShared->options.writeTimeout);
  mWriteTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError && self->mWriting && self->mWriteTimer.expiry() <= std::chrono::steady_clock::now()) {
      self->close();
    }
  });
}

void
Connection::leaveAnswer(bool aGone)
{
  const auto self = shared_from_this();
  if (mShared->callers.erase(mCaller) == 0) {
    return;
  }
  --mShared->answers;
  if (aGone && !mShared->destroyed && !mCongested) {
    mShared->events.gone({ mCaller });
  }
}

void
Connection::close()
{
  if (!mSocket.is_open()) {
    return;
  }
  error_code ignored;
  ignoreError(mSocket.close(ignored));
  mTimer.cancel();
  mWriteTimer.cancel();
  if (mPhase == Phase::kAnswering) {
    leaveAnswer(true);
  }
  mPhase = Phase::kClosing;
}

} // namespace

std::shared_ptr<HttpConnection>
makeHttpConnection(tcp::socket aSocket, std::shared_ptr<HttpShared> aShared)
{
  return std::make_shared<Connection>(std::move(aSocket), std::move(aShared));
}

} // namespace rhubarbarch::net
