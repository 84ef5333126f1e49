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
// Reads of one connection in one turn of the event loop, so that a caller that sends without pause delays the others by
// 64 KB at most.
constexpr int kReadsPerTurn = 4;
// Socket, timers and objects of a connection without a request, measured as 2.5 KB and rounded up.
constexpr std::size_t kConnectionBytes = std::size_t{ 4 } * 1024;
// Fields of a head are held as they came and as the request that is passed on.
constexpr std::size_t kHeadCopies = 2;
// Bytes of a body that must arrive in each period of the receive time-out. 16 KB in 3 s (5 KB/s) is well under the rate
// of the slowest links that callers use, and bounds the time for a body of 4 MiB to some minutes.
constexpr std::size_t kMinBodyProgress = std::size_t{ 16 } * 1024;
// Bytes that count as progress of a request when it is compared with others; one segment of a connection.
constexpr std::size_t kProgressStep = 1024;
constexpr Duration kShortRetryAfter{ 1000 };
// A closed connection discards what the caller still sends for this long, because closing with unread bytes resets the
// connection and the caller may lose the answer.
constexpr Duration kLinger{ 1000 };
constexpr Duration kCongestedRetry{ 10 };

// One line a second tells of all refusals.
constexpr Duration kRefusalLogPeriod{ 1000 };
// Requests are given up at most this often, and then for a sixteenth of the memory.
constexpr Duration kReliefPeriod{ 50 };
constexpr std::size_t kReliefDivisor = 16;

enum class Phase : std::uint8_t
{
  kIdle,      ///< between requests
  kReceiving, ///< part of a request has arrived
  kAnswering, ///< the request was passed on
  kClosing    ///< the last answer is being written, then what arrives is discarded
};

/// Bytes to write; `body` bytes are reported as drained.
struct Piece
{
  std::string data;
  bool body = false;
  std::size_t taken = 0; ///< bytes that the socket has taken
};

/// Limits of one request: those in force when its first byte was read.
struct RequestLimits
{
  std::size_t headerBytes = 0;
  std::size_t bodyBytes = 0;
  Duration receiveTimeout{ 0 };
};

TimePoint
now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

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
    , mCharge(mShared->account)
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
  std::optional<Receiving> receiving() const override;
  void giveUp() override;

private:
  void awaitRequest(Duration aTimeout);
  void beginRequest();
  void read();
  void readable(const error_code& aError);
  bool readOnce();
  bool discardOnce();
  std::size_t heldBytes() const;
  bool admit(std::size_t aBytes);
  void settleCharge() { mCharge.set(heldBytes()); }
  void releaseBuffer();
  void noteProgress();
  bool headRead();
  void feed();
  bool parseSome();
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
  MemoryCharge mCharge;
  boost::beast::flat_buffer mBuffer; ///< bounded by what is read, not by itself
  RequestLimits mLimits;
  std::unique_ptr<Parser> mParser; ///< of the request that is being received
  std::size_t mHeadBytes = 0;      ///< of the request that is being received
  std::size_t mAnnounced = 0;      ///< length of its body, if stated
  std::size_t mPassedBytes = 0;    ///< charged for the request that was passed on
  std::size_t mPending = 0;        ///< bytes in mOut
  std::size_t mWindowBody = 0;     ///< body bytes at the start of the period of the receive time-out
  std::size_t mProgressBytes = 0;  ///< at the last progress
  TimePoint mProgressAt;
  std::deque<Piece> mOut;
  Phase mPhase = Phase::kIdle;
  router::CallerId mCaller{};
  std::uint32_t mRequests = 0; ///< that were received whole
  bool mReading = false;
  bool mWriting = false;
  bool mOverloaded = false;
  bool mStarved = false; ///< reading has stopped for lack of memory
  bool mHeadRead = false;
  bool mCongested = false;
  bool mHeadOnly = false;   ///< the answer has no body on the wire
  bool mChunked = false;    ///< the answer is framed in chunks
  bool mUntilClose = false; ///< the answer ends with the connection
  bool mKeepAlive = false;  ///< after this answer
  bool mEnded = false;      ///< the whole answer is queued
  bool mHttp10 = false;
  std::uint64_t mBodyLeft = 0; ///< of an answer with a length
};

void
Connection::awaitRequest(Duration aTimeout)
{
  mPhase = Phase::kIdle;
  mPassedBytes = 0;
  settleCharge();
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
  mHeadRead = false;
  mHeadOnly = false;
  mUntilClose = false;
  mHeadBytes = 0;
  mAnnounced = 0;
  mWindowBody = 0;
  mProgressBytes = 0;
  mProgressAt = now();
  armTimer(mLimits.receiveTimeout);
}

std::optional<Receiving>
Connection::receiving() const
{
  if (mPhase != Phase::kReceiving) {
    return std::nullopt;
  }
  return Receiving{ 0, mCharge.bytes(), now() - mProgressAt };
}

void
Connection::giveUp()
{
  if (now() - mProgressAt >= kStallTime) {
    refuse({ 408, "request_stalled", kShortRetryAfter });
  } else {
    refuse({ 503, "memory_short", kShortRetryAfter });
  }
}

std::size_t
Connection::heldBytes() const
{
  auto bytes = kConnectionBytes + mBuffer.capacity() + mPending + mPassedBytes;
  if (mParser) {
    bytes += kHeadCopies * mHeadBytes + std::max(mAnnounced, mParser->get().body().size());
  }
  return bytes;
}

/// Charges the connection with aBytes, if need be after others have been given up.
bool
Connection::admit(std::size_t aBytes)
{
  const bool isSmall = aBytes <= kSmallRequestBytes;
  const auto keepFree = isSmall ? 0 : mShared->account->reserve();
  if (mCharge.trySet(aBytes, keepFree)) {
    return true;
  }
  relieve(*mShared, *this, aBytes - mCharge.bytes(), isSmall);
  return mCharge.trySet(aBytes, keepFree);
}

void
Connection::releaseBuffer()
{
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
  }
}

// Waits without a buffer, so that a connection without a request holds none.
void
Connection::read()
{
  const bool full = mPhase == Phase::kAnswering && mBuffer.size() >= mShared->options.maxPipelinedBytes;
  if (mReading || full || !mSocket.is_open()) {
    return;
  }
  mReading = true;
  mSocket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& aError) {
    self->mReading = false;
    self->readable(aError);
  });
}

void
Connection::readable(const error_code& aError)
{
  if (mShared->destroyed || !mSocket.is_open()) {
    return;
  }
  if (aError) {
    close();
    return;
  }
  int reads = 0;
  while (reads < kReadsPerTurn && (mPhase == Phase::kClosing ? discardOnce() : readOnce())) {
    ++reads;
  }
  releaseBuffer();
  settleCharge();
  if (!mStarved) {
    read();
  }
}

/// @return whether more may have arrived
bool
Connection::readOnce()
{
  if (mPhase == Phase::kAnswering && mBuffer.size() >= mShared->options.maxPipelinedBytes) {
    return false;
  }
  // What is read may be held twice: as it came, until it is parsed, and in the body.
  if (!admit(heldBytes() + 2 * kReadBytes)) {
    if (mPhase == Phase::kAnswering) {
      mStarved = true; // later requests wait in the operating system until this one is answered
    } else {
      refuse({ 503, "memory_short", kShortRetryAfter });
    }
    return false;
  }
  error_code error;
  const auto bytes = mSocket.read_some(mBuffer.prepare(kReadBytes), error);
  if (error == boost::asio::error::would_block) {
    return false;
  }
  if (error) {
    close();
    return false;
  }
  mBuffer.commit(bytes);
  if (mPhase != Phase::kAnswering) {
    feed();
  }
  return bytes == kReadBytes && mSocket.is_open();
}

bool
Connection::discardOnce()
{
  std::array<char, kReadBytes> discarded{};
  error_code error;
  const auto bytes = mSocket.read_some(boost::asio::buffer(discarded), error);
  if (error && error != boost::asio::error::would_block) {
    close();
  }
  return !error && bytes == kReadBytes;
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
  if (mPhase != Phase::kReceiving) {
    return;
  }
  noteProgress();
  if (mParser->is_done()) {
    dispatch();
  } else if (mBuffer.size() > mLimits.headerBytes) {
    // The parser waits for the end of a chunk's header or of the trailer, for which it has no limit.
    refuse({ 400, "malformed_request" });
  }
}

void
Connection::noteProgress()
{
  const auto bytes = mHeadRead ? mParser->get().body().size() : mBuffer.size();
  if (bytes >= mProgressBytes + kProgressStep) {
    mProgressBytes = bytes;
    mProgressAt = now();
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
  mHeadBytes += mHeadRead ? 0 : used;
  if (error && error != http::error::need_more) {
    refuseMalformed(error);
    return false;
  }
  if (!mHeadRead && mParser->is_header_done() && !headRead()) {
    return false;
  }
  return !error && used > 0;
}

/// Decides from the head whether the body may come.
/// @return false when the request was refused
bool
Connection::headRead()
{
  mHeadRead = true;
  mProgressBytes = 0;
  mProgressAt = now();
  // What the parser took beyond the head is part of the body.
  mHeadBytes -= std::min(mHeadBytes, mParser->get().body().size());
  if (mParser->is_done()) {
    return true;
  }
  const auto length = mParser->content_length();
  mAnnounced = length ? static_cast<std::size_t>(*length) : 0;
  if (!admit(heldBytes())) {
    refuse({ 503, "memory_short", kShortRetryAfter });
    return false;
  }
  armTimer(mLimits.receiveTimeout);
  if (boost::beast::iequals(mParser->get()[http::field::expect], "100-continue")) {
    queue("HTTP/1.1 100 Continue\r\n\r\n", false);
    write();
  }
  return true;
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
  ++mRequests;
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
  const auto passed = kHeadCopies * mHeadBytes + mParser->get().body().size() + mShared->options.openRequestBytes;
  if (!admit(kConnectionBytes + mBuffer.capacity() + mPending + passed)) {
    refuse({ 503, "memory_short", kShortRetryAfter });
    return;
  }
  mPassedBytes = passed;
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
  auto request = takeRequest();
  mParser.reset();
  mShared->events.request(std::move(request));
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
  passed.connectionRequest = mRequests;
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
  mUntilClose = aHead.chunked && !mChunked;
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
  mStarved = false;
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
  noteRefusal(*mShared, aRefusal);
  mPhase = Phase::kClosing;
  mKeepAlive = false;
  mBuffer.consume(mBuffer.size());
  mParser.reset();
  queue(refusalText(aRefusal, mHeadOnly), false);
  write();
  armTimer(mShared->options.receiveTimeout);
  settleCharge();
}

void
Connection::queue(std::string aData, bool aBody)
{
  mPending += aData.size();
  mOut.push_back({ std::move(aData), aBody, 0 });
  settleCharge();
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
      mPending -= piece.data.size();
      mOut.pop_front();
    }
  }
  settleCharge();
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
    const auto body = mHeadRead ? mParser->get().body().size() : 0;
    if (mHeadRead && body >= mWindowBody + kMinBodyProgress) {
      mWindowBody = body;
      armTimer(mLimits.receiveTimeout);
      return;
    }
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
  if (mPhase == Phase::kAnswering && mUntilClose) {
    // An answer that breaks off must not look whole: a reset instead of a close.
    ignoreError(mSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored));
  }
  ignoreError(mSocket.close(ignored));
  mTimer.cancel();
  mWriteTimer.cancel();
  if (mPhase == Phase::kAnswering) {
    leaveAnswer(true);
  }
  mPhase = Phase::kClosing;
}

void
logRefusals(HttpShared& aShared)
{
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& [reason, count] : aShared.refusals) {
    counts[reason] = count;
  }
  aShared.refusals.clear();
  aShared.nextRefusalLog = now() + kRefusalLogPeriod;
  aShared.events.log({ Severity::kInfo,
                       "http_requests_refused",
                       { { "server", aShared.options.name },
                         { "counts", std::move(counts) },
                         { "connections", aShared.open.load() },
                         { "charged_bytes", aShared.account->used() } } });
}

} // namespace

void
noteRefusal(HttpShared& aShared, const Refusal& aRefusal)
{
  ++aShared.refused;
  const bool first = aShared.refusals.empty();
  ++aShared.refusals[std::to_string(aRefusal.status) + " " + aRefusal.error];
  if (now() >= aShared.nextRefusalLog) {
    logRefusals(aShared);
  } else if (first) {
    aShared.refusalTimer.expires_after(aShared.nextRefusalLog - now());
    aShared.refusalTimer.async_wait([weak = aShared.weak_from_this()](const error_code& aError) {
      const auto shared = weak.lock();
      if (!aError && shared && !shared->destroyed && !shared->refusals.empty()) {
        logRefusals(*shared);
      }
    });
  }
}

void
relieve(HttpShared& aShared, const HttpConnection& aFor, std::size_t aBytes, bool aForSmall)
{
  // A look at all connections costs too much for each read under overload.
  if (now() < aShared.nextRelief) {
    return;
  }
  aShared.nextRelief = now() + kReliefPeriod;
  std::vector<std::shared_ptr<HttpConnection>> connections;
  std::vector<Receiving> requests;
  for (const auto& [key, connection] : aShared.connections) {
    auto held = connection.lock();
    auto request = held && key != &aFor ? held->receiving() : std::nullopt;
    if (request) {
      request->index = connections.size();
      requests.push_back(*request);
      connections.push_back(std::move(held));
    }
  }
  const auto wanted = aBytes + aShared.account->ceiling() / kReliefDivisor;
  for (const auto index : chooseEvictions(std::move(requests), wanted, aForSmall)) {
    ++aShared.evicted;
    connections[index]->giveUp();
  }
}

std::shared_ptr<HttpConnection>
makeHttpConnection(tcp::socket aSocket, std::shared_ptr<HttpShared> aShared)
{
  return std::make_shared<Connection>(std::move(aSocket), std::move(aShared));
}

} // namespace rhubarbarch::net
