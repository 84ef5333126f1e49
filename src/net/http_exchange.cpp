#include "rhubarbarch/net/http_exchange.h"

#include "ignore_error.h"
#include "rhubarbarch/base/http_status.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace rhubarbarch::net {

namespace {

namespace http = boost::beast::http;
using agent::ExchangeFailure;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Parser = http::response_parser<http::buffer_body>;

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
constexpr std::uint32_t kMaxHeadBytes = 32 * 1024;
/// Bytes that are read and not yet parsed. Beast has no limit of its own for the headers of chunks and for trailers.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 64 } * 1024;
/// Interim answers (status 1xx) before the final one.
constexpr int kMaxInterimAnswers = 16;
// Connections whose server states no time-out are kept for this long; common servers close them after 5 s.
constexpr std::chrono::seconds kDefaultKeepAlive{ 4 };
// A kept connection is not used in the last part of its server's time-out, when a close may be on its way.
constexpr std::chrono::milliseconds kKeepAliveMargin{ 500 };
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using PendingError = boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;
constexpr Duration kCongestedRetry{ 10 };

std::string
requestText(const HttpCall& aCall, const settings::Endpoint& aEndpoint)
{
  const auto host = aCall.host.empty() ? settings::toString(aEndpoint) : aCall.host;
  std::string text = aCall.method + " " + aCall.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : aCall.fields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aCall.keep) {
    text += "Connection: close\r\n";
  }
  const auto size = aCall.body ? aCall.body->size() : 0;
  // A length of zero on a GET is allowed but unusual; some servers refuse it.
  if (size > 0 || aCall.method != "GET") {
    text += "Content-Length: " + std::to_string(size) + "\r\n";
  }
  return text + "\r\n";
}

/// Seconds that a `Keep-Alive: timeout=N` field states.
std::optional<std::chrono::seconds>
statedTimeout(std::string_view aField)
{
  constexpr std::string_view kName = "timeout=";
  const auto begin = aField.find(kName);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const auto digits = aField.substr(begin + kName.size());
  int seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return parsed.ec == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

/// Whether a kept connection is still silent: closed by the other end or with bytes that nobody asked for, it must not
/// carry another request.
bool
stillQuiet(tcp::socket& aSocket)
{
  error_code error;
  char byte = 0;
  if (aSocket.non_blocking(true, error)) {
    return false;
  }
  aSocket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == boost::asio::error::would_block;
}

/// @return whether a line of the head begins with a space or a tab. The parser joins such a line to the value before it
/// (line folding, RFC 9112, section 5.2): a field in it, such as a length, would be lost and passed on in another one.
bool
hasFoldedLine(std::string_view aHead)
{
  return aHead.find("\r\n ") != std::string_view::npos || aHead.find("\r\n\t") != std::string_view::npos;
}

/// @return the error that no read or write has reported yet; a read that finds a close reports no reset behind it
error_code
pendingError(const tcp::socket& aSocket)
{
  PendingError pending;
  error_code error;
  ignoreError(aSocket.get_option(pending, error));
  return error ? error : error_code(pending.value(), boost::system::system_category());
}

class Exchange
  : public HttpExchange
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<HttpPool> aPool, HttpCall aCall, HttpCallEvents aEvents)
    : mPool(std::move(aPool))
    , mCall(std::move(aCall))
    , mEvents(std::move(aEvents))
    , mText(requestText(mCall, mPool->endpoint))
    , mSocket(mPool->context)
    , mTimer(mPool->context)
    , mBuffer(kMaxUnparsedBytes)
  {
  }

  void start();
  void pause() override { mPaused = true; }
  void resume() override;
  void cancel() override;

private:
  void connect();
  void connected(const error_code& aError);
  void send();
  void sent(const error_code& aError, std::size_t aBytes);
  void prepareParser();
  void readHead();
  void receiveHead();
  void headReceived(const error_code& aError, std::size_t aBytes);
  void parseHead();
  void headRead(const error_code& aError);
  void readBody();
  void bodyRead(const error_code& aError);
  void deliver(std::string aData);
  error_code connectionError() const;
  void finish();
  void failed(const std::string& aDetail, bool aSilent = false);
  void armTimer(Duration aTimeout, const char* aWhat);
  bool retryOnNewConnection();
  bool takeKept();
  void keepConnection();
  void close();

  std::shared_ptr<HttpPool> mPool;
  HttpCall mCall;
  HttpCallEvents mEvents;
  std::string mText;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<Parser> mParser;
  std::vector<char> mChunk; ///< empty until the answer's body is read, since most calls wait for long
  std::string mHeld;        ///< read before a pause took effect
  bool mMayBeSent = false;  ///< a write was begun and did not end with zero bytes written
  error_code mSendError;    ///< of a request that was sent in part
  int mInterimAnswers = 0;
  bool mReused = false;
  bool mAnswered = false; ///< a byte of the answer was read
  bool mPaused = false;
  bool mReading = false;
  bool mOver = false;
};

void
Exchange::start()
{
  if (!mCall.fresh && takeKept()) {
    mReused = true;
    send();
    return;
  }
  connect();
}

/// Takes the connection that was kept last, if it may carry this call.
bool
Exchange::takeKept()
{
  const auto now = std::chrono::steady_clock::now();
  while (!mPool->idle.empty()) {
    auto& last = mPool->idle.back();
    if (now < last.until && !mCall.repeatable && now - last.since >= mCall.freshIdle) {
      return false;
    }
    auto connection = std::move(last);
    mPool->idle.pop_back();
    if (now < connection.until && stillQuiet(connection.socket)) {
      mSocket = std::move(connection.socket);
      return true;
    }
  }
  return false;
}

void
Exchange::connect()
{
  error_code error;
  const auto address = boost::asio::ip::make_address(mPool->endpoint.address, error);
  if (error) {
    boost::asio::post(mPool->context, [self = shared_from_this(), error] { self->connected(error); });
    return;
  }
  armTimer(mCall.connectTimeout, "connecting");
  mSocket.async_connect({ address, mPool->endpoint.port },
                        [self = shared_from_this()](const error_code& aError) { self->connected(aError); });
}

void
Exchange::connected(const error_code& aError)
{
  if (mOver) {
    return;
  }
  if (aError) {
    failed("connect: " + aError.message());
    return;
  }
  error_code ignored;
  ignoreError(mSocket.set_option(tcp::no_delay(true), ignored));
  if (mCall.unackedTimeout > Duration{ 0 }) {
    ignoreError(mSocket.set_option(UserTimeout(static_cast<int>(mCall.unackedTimeout.count())), ignored));
    ignoreError(mSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored));
    ignoreError(mSocket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(1), ignored));
    ignoreError(
      mSocket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(1), ignored));
  }
  send();
}

void
Exchange::send()
{
  armTimer(mCall.timeout, "sending");
  // Until the write is over nobody knows how much of it the operating system took.
  mMayBeSent = true;
  static const std::string kNoBody;
  const std::array<boost::asio::const_buffer, 2> parts{ boost::asio::buffer(mText),
                                                        boost::asio::buffer(mCall.body ? *mCall.body : kNoBody) };
  boost::asio::async_write(mSocket, parts, [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
    self->sent(aError, aBytes);
  });
}

void
Exchange::sent(const error_code& aError, std::size_t aBytes)
{
  if (mOver) {
    return;
  }
  mMayBeSent = aBytes > 0;
  // An upstream that refuses a request early answers and closes while the rest is still being sent.
  if (aError && (!mMayBeSent || mReused)) {
    if (!retryOnNewConnection()) {
      failed("send: " + aError.message());
    }
    return;
  }
  mSendError = aError;
  prepareParser();
  readHead();
}

void
Exchange::prepareParser()
{
  mParser = std::make_unique<Parser>();
  mParser->header_limit(kMaxHeadBytes);
  // Without a limit, Beast of Boost 1.74 refuses every answer with a length.
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  mParser->skip(mCall.method == "HEAD");
}

void
Exchange::readHead()
{
  armTimer(mCall.timeout, "waiting for the answer");
  parseHead();
}

void
Exchange::receiveHead()
{
  const auto space = mBuffer.prepare(boost::beast::read_size(mBuffer, kReadBytes));
  mSocket.async_read_some(space, [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
    self->headReceived(aError, aBytes);
  });
}

void
Exchange::headReceived(const error_code& aError, std::size_t aBytes)
{
  if (mOver) {
    return;
  }
  mAnswered = mAnswered || aBytes > 0;
  mBuffer.commit(aBytes);
  if (!aError) {
    parseHead();
  } else if (aError == boost::asio::error::eof) {
    headRead(mParser->got_some() ? http::error::partial_message : http::error::end_of_stream);
  } else {
    headRead(aError);
  }
}

/// Parses what has come of the head. The parser takes a field together with the lines that are folded into it.
void
Exchange::parseHead()
{
  error_code error;
  const auto received = mBuffer.data();
  const auto taken = mParser->put(received, error);
  if (error && error != http::error::need_more) {
    headRead(error);
    return;
  }
  if (hasFoldedLine({ static_cast<const char*>(received.data()), taken })) {
    headRead(http::error::bad_field);
    return;
  }
  mBuffer.consume(taken);
  if (error) {
    receiveHead();
  } else {
    headRead({});
  }
}

void
Exchange::headRead(const error_code& aError)
{
  if (mOver) {
    return;
  }
  if (aError) {
    if (!retryOnNewConnection()) {
      failed("answer: " + aError.message());
    }
    return;
  }
  const auto status = mParser->get().result_int();
  if (!isHttpStatus(status)) {
    failed("answer: status " + std::to_string(status) + " is out of range");
    return;
  }
  if (status < 200) {
    if (++mInterimAnswers > kMaxInterimAnswers) {
      failed("answer: too many interim answers");
      return;
    }
    prepareParser();
    readHead();
    return;
  }
  HttpAnswerHead head;
  head.status = static_cast<std::int32_t>(status);
  head.contentType = std::string(mParser->get()[http::field::content_type]);
  for (const auto& field : mParser->get()) {
    head.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  head.untilClose = mParser->need_eof();
  head.kept = mReused;
  const auto self = shared_from_this();
  mEvents.head(head);
  readBody();
}

void
Exchange::readBody()
{
  if (mOver || mReading || mPaused) {
    return;
  }
  if (mParser->is_done()) {
    finish();
    return;
  }
  mReading = true;
  if (mEvents.congested && mEvents.congested()) {
    mTimer.expires_after(kCongestedRetry);
    mTimer.async_wait([self = shared_from_this()](const error_code&) {
      self->mReading = false;
      self->readBody();
    });
    return;
  }
  armTimer(mCall.timeout, "reading the answer");
  mChunk.resize(kReadBytes);
  auto& body = mParser->get().body();
  body.data = mChunk.data();
  body.size = mChunk.size();
  http::async_read_some(mSocket, mBuffer, *mParser, [self = shared_from_this()](const error_code& aError, std::size_t) {
    self->mReading = false;
    self->bodyRead(aError == http::error::need_buffer ? error_code() : aError);
  });
}

void
Exchange::bodyRead(const error_code& aError)
{
  if (mOver) {
    return;
  }
  mTimer.cancel();
  const auto got = mChunk.size() - mParser->get().body().size;
  if (got > 0) {
    deliver(std::string(mChunk.data(), got));
  }
  if (aError) {
    failed("answer: " + aError.message());
    return;
  }
  readBody();
}

void
Exchange::deliver(std::string aData)
{
  if (mPaused) {
    mHeld += aData;
  } else if (!mOver) {
    mEvents.data(std::move(aData));
  }
}

void
Exchange::resume()
{
  if (!mPaused || mOver) {
    return;
  }
  mPaused = false;
  const auto self = shared_from_this();
  if (!mHeld.empty()) {
    mEvents.data(std::exchange(mHeld, {}));
  }
  if (mParser && mParser->is_header_done()) {
    readBody();
  }
}

/// @return why the connection failed, or nothing; a failed write takes the error from the socket, which then reads as
/// closed
error_code
Exchange::connectionError() const
{
  return mSendError ? mSendError : pendingError(mSocket);
}

void
Exchange::finish()
{
  // The end of the connection is the end of an answer without length only if the connection did not fail.
  if (const auto error = mParser->need_eof() ? connectionError() : error_code()) {
    failed("answer without length: " + error.message());
    return;
  }
  const auto self = shared_from_this();
  mOver = true;
  mTimer.cancel();
  if (mCall.keep && mParser->keep_alive() && mBuffer.size() == 0 && !mSendError) {
    keepConnection();
  }
  close();
  mEvents.end();
}

void
Exchange::keepConnection()
{
  const auto now = std::chrono::steady_clock::now();
  const auto field = mParser->get()[http::field::keep_alive];
  const auto stated = statedTimeout({ field.data(), field.size() });
  const auto until = now + stated.value_or(kDefaultKeepAlive) - kKeepAliveMargin;
  if (until > now && mPool->idle.size() < mPool->maxIdle) {
    mPool->idle.push_back({ std::move(mSocket), now, until });
  }
}

bool
Exchange::retryOnNewConnection()
{
  const bool mayResend = mCall.repeatable && mCall.resend;
  if (!mReused || mAnswered || (mMayBeSent && !mayResend)) {
    return false;
  }
  // The kept connection had been closed by the upstream; the request may be sent again.
  mReused = false;
  mMayBeSent = false;
  mBuffer.clear();
  close();
  mSocket = tcp::socket(mPool->context);
  connect();
  return true;
}

void
Exchange::failed(const std::string& aDetail, bool aSilent)
{
  const auto self = shared_from_this();
  mOver = true;
  // While an answer is held back by a pause, the failure must not overtake it.
  if (!mHeld.empty()) {
    mEvents.data(std::exchange(mHeld, {}));
  }
  close();
  const bool kept = mReused && !mAnswered && !aSilent;
  mEvents.error({ mMayBeSent ? ExchangeFailure::kBroken : ExchangeFailure::kNotSent, aSilent, kept, aDetail });
}

void
Exchange::cancel()
{
  mOver = true;
  close();
}

void
Exchange::close()
{
  error_code ignored;
  mTimer.cancel();
  ignoreError(mSocket.close(ignored));
}

void
Exchange::armTimer(Duration aTimeout, const char* aWhat)
{
  if (aTimeout <= Duration{ 0 }) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = shared_from_this(), aTimeout, aWhat](const error_code& aError) {
    if (aError || self->mOver || self->mTimer.expiry() > std::chrono::steady_clock::now()) {
      return;
    }
    self->failed(std::string("no progress for ") + std::to_string(aTimeout.count()) + " ms while " + aWhat, true);
  });
}

} // namespace

void
pruneIdle(HttpPool& aPool)
{
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(aPool.idle, [now](const IdleConnection& aEach) { return now >= aEach.until; });
}

std::shared_ptr<HttpExchange>
startHttpExchange(std::shared_ptr<HttpPool> aPool, HttpCall aCall, HttpCallEvents aEvents)
{
  auto exchange = std::make_shared<Exchange>(std::move(aPool), std::move(aCall), std::move(aEvents));
  exchange->start();
  return exchange;
}

} // namespace rhubarbarch::net
