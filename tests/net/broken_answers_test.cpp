#include "net_support.h"
#include "rhubarbarch/net/http_exchange.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

namespace {

/// More than the socket buffers of both ends hold, so that a server that reads nothing keeps the caller writing.
constexpr std::size_t kLongUpload = std::size_t{ 64 } * 1024 * 1024;

struct Seen
{
  int heads = 0;
  std::int32_t status = 0;
  std::string data;
  bool ended = false;
  bool failed = false;
};

std::string
withStatus(const std::string& aStatus, const std::string& aRest)
{
  return "HTTP/1.1 " + aStatus + " Trouble\r\n" + aRest;
}

} // namespace

// A stand-in for an upstream in trouble, on real sockets.
TEST_GROUP(BrokenAnswers)
{
  LoopThread loop;
  RawListener listener;
  Watched<Seen> seen;
  std::shared_ptr<HttpPool> pool;
  std::shared_ptr<HttpExchange> exchange;
  bool pausesAtHead = false;
  bool repeatable = false;

  void setup() override
  {
    pool = std::make_shared<HttpPool>(HttpPool{ loop.context, { "127.0.0.1", listener.port() }, {}, 4 });
  }

  void teardown() override
  {
    loop.run([&] {
      exchange->cancel();
      exchange.reset();
      pool->idle.clear();
    });
    loop.stop();
  }

  void start(std::size_t aUploadBytes)
  {
    seen.change([](Seen& aSeen) { aSeen = {}; });
    HttpCall call;
    call.method = "POST";
    call.body = std::make_shared<const std::string>(aUploadBytes, 'u');
    call.keep = true;
    call.repeatable = repeatable;
    HttpCallEvents events;
    events.head = [this](const HttpAnswerHead& aHead) {
      if (pausesAtHead) {
        exchange->pause();
      }
      seen.change([&](Seen& aSeen) {
        ++aSeen.heads;
        aSeen.status = aHead.status;
      });
    };
    events.data = [this](std::string&& aData) { seen.change([&](Seen& aSeen) { aSeen.data += aData; }); };
    events.end = [this] { seen.change([](Seen& aSeen) { aSeen.ended = true; }); };
    events.error = [this](const HttpFailure&) { seen.change([](Seen& aSeen) { aSeen.failed = true; }); };
    loop.run([&] { exchange = startHttpExchange(pool, std::move(call), std::move(events)); });
  }

  /// Accepts the connection of the exchange and reads the head of its request.
  std::unique_ptr<RawSocket> acceptCall()
  {
    auto upstream = std::make_unique<RawSocket>(listener.acceptor);
    upstream->readUntil("\r\n\r\n");
    return upstream;
  }

  /// Waits for the last event of the exchange.
  Seen outcome()
  {
    CHECK(seen.wait([](const Seen& aSeen) { return aSeen.ended || aSeen.failed; }));
    return seen.copy();
  }

  std::size_t keptConnections()
  {
    std::size_t kept = 0;
    loop.run([&] { kept = pool->idle.size(); });
    return kept;
  }
};

// Guards against the part of an answer without length that came before a reset being taken for the whole answer: the
// failed write of the upload takes the reset from the socket, which then reads as closed.
TEST(BrokenAnswers, aResetDuringTheUploadEndsNoAnswer)
{
  for (const std::size_t partBytes : { 0, 10, 16 * 1024, 100'000 }) {
    for (const bool closesFirst : { false, true }) {
      start(kLongUpload);
      const auto upstream = acceptCall();
      upstream->send("HTTP/1.1 200 OK\r\n\r\n" + std::string(partBytes, 'p'));
      if (closesFirst) {
        upstream->closeSending();
      }
      upstream->reset();
      const auto answer = outcome();
      CHECK(answer.failed);
      CHECK_FALSE(answer.ended);
      CHECK_EQUAL(0, keptConnections());
    }
  }
}

// Guards against the same where the system has taken the whole upload and the reset comes behind a close.
TEST(BrokenAnswers, aResetBehindACloseEndsNoAnswer)
{
  pausesAtHead = true;
  start(std::size_t{ 256 } * 1024);
  const auto upstream = acceptCall();
  upstream->send("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(seen.wait([](const Seen& aSeen) { return aSeen.heads == 1; }));
  upstream->closeSending();
  upstream->reset();
  loop.run([&] { exchange->resume(); });
  const auto answer = outcome();
  CHECK(answer.failed);
  CHECK_FALSE(answer.ended);
}

// Guards against an answer without length being taken for broken although its upstream closes it properly and reads the
// rest of the upload.
TEST(BrokenAnswers, anEarlyAnswerEndsWithItsConnection)
{
  start(kLongUpload);
  const auto upstream = acceptCall();
  upstream->send("HTTP/1.1 200 OK\r\n\r\nwhole");
  upstream->closeSending();
  CHECK_EQUAL(kLongUpload, upstream->readAll().size());
  const auto answer = outcome();
  CHECK(answer.ended);
  STRCMP_EQUAL("whole", answer.data.c_str());
  CHECK_EQUAL(0, keptConnections());
}

// Guards against an early refusal that is whole by its length or its chunks being lost with the rest of the upload, and
// against its connection being used again.
TEST(BrokenAnswers, aResetLeavesAnAnswerWithLengthWhole)
{
  for (const std::string rest :
       { "Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }) {
    start(kLongUpload);
    const auto upstream = acceptCall();
    upstream->send("HTTP/1.1 413 Payload Too Large\r\n" + rest);
    upstream->reset();
    const auto answer = outcome();
    CHECK(answer.ended);
    CHECK_EQUAL(413, answer.status);
    STRCMP_EQUAL("whole", answer.data.c_str());
    CHECK_EQUAL(0, keptConnections());
  }
}

// Guards against a message whose status is none being passed on, or its body being read as the next answer.
TEST(BrokenAnswers, aStatusOutOfRangeIsNoAnswer)
{
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  const std::vector<std::string> rests = { "Content-Length: 4\r\n\r\nbody",
                                           "Content-Length: 0\r\n\r\n",
                                           "\r\n",
                                           "Content-Length: 0\r\n\r\n" + whole,
                                           "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole,
                                           "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                           "\r\nbody" };
  for (const std::string status : { "000", "001", "099", "600", "999", "0", "00", "0000", "-00", "" }) {
    for (const std::string interim : { "", "HTTP/1.1 100 Continue\r\n\r\n" }) {
      for (const auto& rest : rests) {
        start(0);
        const auto upstream = acceptCall();
        upstream->send(interim);
        upstream->send(withStatus(status, rest));
        const auto answer = outcome();
        CHECK(answer.failed);
        CHECK_EQUAL(0, answer.heads);
        CHECK(upstream->awaitClose());
      }
    }
  }
  CHECK_EQUAL(0, keptConnections());
}

// Guards against the check of the range refusing the statuses at its ends.
TEST(BrokenAnswers, statusesAtTheEndsOfTheRangeAreAnswers)
{
  for (const std::string interim : { "100", "199" }) {
    for (const std::string status : { "200", "599" }) {
      start(0);
      const auto upstream = acceptCall();
      upstream->send(withStatus(interim, "\r\n"));
      upstream->send(withStatus(status, "Content-Length: 4\r\n\r\nbody"));
      const auto answer = outcome();
      CHECK(answer.ended);
      CHECK_EQUAL(1, answer.heads);
      CHECK_EQUAL(std::stoi(status), answer.status);
      STRCMP_EQUAL("body", answer.data.c_str());
      loop.run([&] { pool->idle.clear(); });
    }
  }
}

// Guards against a call being sent again although its upstream had begun to answer it, where the answer breaks off
// exactly behind a line of its head.
TEST(BrokenAnswers, aHeadThatBreaksOffBehindALineHasBegun)
{
  repeatable = true;
  start(0);
  const auto upstream = acceptCall();
  upstream->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(outcome().ended);
  CHECK_EQUAL(1, keptConnections());
  start(0);
  upstream->readUntil("\r\n\r\n");
  upstream->send("HTTP/1.1 200 OK\r\n");
  upstream->closeSending();
  // A call that is sent again waits on a new connection, which nobody accepts, and never fails.
  CHECK(outcome().failed);
}

// Guards against a head in which the name of a field holds a blank or a control byte: its line is passed on, or left
// out where it says how the body ends.
TEST(BrokenAnswers, aFieldNameWithABlankOrControlByteIsNoAnswer)
{
  std::string bytes = " \x7f";
  for (char byte = 0; byte < ' '; ++byte) {
    bytes += byte;
  }
  for (const char byte : bytes) {
    for (const std::string name : { "X-Field", "Content-Length", "Connection" }) {
      for (const std::size_t place : { std::size_t{ 0 }, std::size_t{ 4 }, name.size() }) {
        auto line = name;
        line.insert(place, 1, byte);
        line += ": 4\r\n";
        for (const auto& fields : { line, line + "X-Other: y\r\n", "X-Other: y\r\n" + line }) {
          start(0);
          const auto upstream = acceptCall();
          upstream->send("HTTP/1.1 200 OK\r\n" + fields + "\r\nbody");
          upstream->closeSending();
          const auto answer = outcome();
          CHECK(answer.failed);
          CHECK_EQUAL(0, answer.heads);
          CHECK(upstream->awaitClose());
        }
      }
    }
  }
  CHECK_EQUAL(0, keptConnections());
}

// Guards against a long head that comes in many parts being lost or refused by the check of its lines.
TEST(BrokenAnswers, aHeadMayComeInParts)
{
  const auto bytes = "HTTP/1.1 200 OK\r\nX-Long: " + std::string(20'000, 'x') + "\r\nContent-Length: 5\r\n\r\n y: z";
  for (const std::size_t part : { std::size_t{ 1 }, std::size_t{ 7 }, bytes.size() }) {
    start(0);
    const auto upstream = acceptCall();
    for (std::size_t from = 0; from < bytes.size(); from += part) {
      upstream->send(bytes.substr(from, part));
    }
    const auto answer = outcome();
    CHECK(answer.ended);
    STRCMP_EQUAL(" y: z", answer.data.c_str());
    CHECK_EQUAL(1, keptConnections());
    loop.run([&] { pool->idle.clear(); });
  }
}

// Guards against a line that begins with a blank being missed where the bytes come in two parts.
TEST(BrokenAnswers, aLineWithABlankIsFoundInParts)
{
  constexpr int kTurns = 3;
  const std::string bytes = "HTTP/1.1 200 OK\r\nX-Other: y\r\n Content-Length: 4\r\n\r\nbody";
  for (std::size_t first = 1; first < bytes.size(); ++first) {
    start(0);
    const auto upstream = acceptCall();
    upstream->send(bytes.substr(0, first));
    // Lets the loop read the first part by itself.
    for (int turn = 0; turn < kTurns; ++turn) {
      loop.run([] {});
    }
    upstream->send(bytes.substr(first));
    const auto answer = outcome();
    CHECK(answer.failed);
    CHECK_EQUAL(0, answer.heads);
  }
}
