// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "../net/net_support.h"
#include "platform_fleet.h"

#include <CppUTest/TestHarness.h>

namespace {

using rhubarbarch::net::RawListener;
using rhubarbarch::net::RawSocket;
using rhubarbarch::testing::callHttp;
using rhubarbarch::testing::FleetLimits;
using rhubarbarch::testing::HttpAnswer;
using rhubarbarch::testing::PlatformFleet;

/// More than the socket buffers of both ends hold, so that a server that reads no body keeps the gateway writing.
constexpr std::size_t kLongUpload = std::size_t{ 16 } << 20U;
const std::string kSigned = "X-Response-Signature: signed\r\n";
const std::string kSound = "HTTP/1.1 200 OK\r\n" + kSigned + "Connection: close\r\nContent-Length: 4\r\n\r\ndone";

struct Answer
{
  std::string bytes;
  bool resets = false; ///< the connection is reset before the body was read, instead of closed after it
};

/// An upstream that sends given bytes to requests for `.../broken` and sound answers to all others.
class BrokenUpstream
{
public:
  BrokenUpstream()
    : mThread([this] { serve(); })
  {
  }

  ~BrokenUpstream()
  {
    mStops = true;
    RawSocket(port()).close();
    mThread.join();
  }
  BrokenUpstream(const BrokenUpstream&) = delete;
  BrokenUpstream& operator=(const BrokenUpstream&) = delete;
  BrokenUpstream(BrokenUpstream&&) = delete;
  BrokenUpstream& operator=(BrokenUpstream&&) = delete;

  std::uint16_t port() const { return mListener.port(); }

  /// Sets the bytes for requests that come later.
  void sendFromNowOn(Answer aAnswer)
  {
    const std::scoped_lock lock(mMutex);
    mAnswer = std::move(aAnswer);
  }

  /// Broken answers that were sent.
  int sent() const { return mSent; }

private:
  void serve()
  {
    while (!mStops) {
      RawSocket caller(mListener.acceptor);
      const auto head = caller.readUntil("\r\n\r\n");
      if (head.find("/broken ") == std::string::npos) {
        readBody(caller, head);
        caller.send(kSound);
      } else {
        sendBroken(caller, head, answer());
      }
    }
  }

  static void readBody(RawSocket& aCaller, const std::string& aHead)
  {
    const std::string name = "Content-Length: ";
    const auto length = aHead.find(name);
    aCaller.read(length == std::string::npos ? 0 : std::stoul(aHead.substr(length + name.size())));
  }

  void sendBroken(RawSocket& aCaller, const std::string& aHead, const Answer& aAnswer)
  {
    if (!aAnswer.resets) {
      readBody(aCaller, aHead);
    }
    ++mSent; // before the caller can have the answer
    aCaller.send(aAnswer.bytes);
    if (aAnswer.resets) {
      aCaller.reset();
    }
  }

  Answer answer()
  {
    const std::scoped_lock lock(mMutex);
    return mAnswer;
  }

  std::mutex mMutex;
  Answer mAnswer;
  std::atomic<bool> mStops{ false };
  std::atomic<int> mSent{ 0 };
  RawListener mListener;
  std::thread mThread;
};

/// A signed message with a length.
std::string
withStatus(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + kSigned + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// A signed message with the line behind its signature.
std::string
withLine(const std::string& aLine)
{
  return "HTTP/1.1 200 OK\r\n" + kSigned + aLine + "\r\n\r\nbody";
}

} // namespace

// Broken answers of an upstream as a caller of a real gateway sees them.
TEST_GROUP(Answers)
{
  BrokenUpstream upstream;
  std::unique_ptr<PlatformFleet> fleet;

  void setup() override
  {
    FleetLimits limits;
    limits.gatewayMemoryMb = 256;
    limits.maxBodyBytes = static_cast<int>(kLongUpload);
    fleet = std::make_unique<PlatformFleet>(
      limits,
      rhubarbarch::testing::FleetUpstream{ upstream.port(),
                                           { { "/a/", "safe" }, { "/once/", "unsafe" }, { "/s/", "streaming" } } });
    if (!fleet->start()) {
      FAIL(("the fleet did not start\n" + fleet->logTails()).c_str());
    }
  }

  void teardown() override
  {
    fleet.reset();
  }

  /// Sends a request that gets the broken answer, after a sound one, so that the gateway does not leave the upstream.
  HttpAnswer callBroken(const std::string& aPrefix, std::size_t aUploadBytes)
  {
    CHECK_EQUAL(200, fleet->ordinary().status);
    const auto before = upstream.sent();
    const auto answer =
      callHttp(fleet->frontPort(), { "POST", aPrefix + "broken", {}, {}, std::string(aUploadBytes, 'u') });
    CHECK_EQUAL(before + 1, upstream.sent());
    return answer;
  }
};

// Guards against callers getting the part of an answer that came before a reset as a whole one. The upstream may have
// run the request, so the refusal must not promise that it did not.
TEST(Answers, noPartOfAResetAnswerIsWhole)
{
  for (const std::size_t partBytes : { 0, 10, 100'000 }) {
    upstream.sendFromNowOn({ "HTTP/1.1 200 OK\r\n" + kSigned + "\r\n" + std::string(partBytes, 'p'), true });
    for (const std::string prefix : { "/a/", "/once/", "/s/" }) {
      CHECK_EQUAL(502, callBroken(prefix, kLongUpload).status);
    }
  }
}

// Guards against the same for a stream, of which callers have had the first events.
TEST(Answers, noPartOfAResetStreamIsWhole)
{
  for (const int events : { 0, 1, 50 }) {
    std::string bytes = "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Type: text/event-stream\r\n\r\n";
    for (int event = 1; event <= events; ++event) {
      bytes += "id: " + std::to_string(event) + "\ndata: x\n\n";
    }
    upstream.sendFromNowOn({ bytes, true });
    const auto answer = callBroken("/s/", kLongUpload);
    CHECK(!answer.whole || answer.status == 502);
  }
}

// Guards against callers getting a message whose status is none, or the bytes behind its head, as an answer.
TEST(Answers, noStatusOutOfRangeIsPassedOn)
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    for (const auto& body : { std::string("body"), kSound }) {
      upstream.sendFromNowOn({ withStatus(status, body) });
      for (const std::string prefix : { "/a/", "/once/", "/s/" }) {
        const auto answer = callBroken(prefix, 1);
        CHECK_EQUAL(502, answer.status);
        CHECK(answer.body.find("upstream_failed") != std::string::npos);
      }
    }
  }
}

// Guards against callers getting a line that is no field, or a body without the length that such a line stated.
TEST(Answers, noFieldNameWithABlankOrControlByteIsPassedOn)
{
  for (const std::string line : { " X-Other: y",
                                  "\tX-Other: y",
                                  "X Other: y",
                                  "X-Other : y",
                                  "X\x01Other: y",
                                  " Content-Length: 2",
                                  "\rX: y" }) {
    upstream.sendFromNowOn({ withLine(line) });
    for (const std::string prefix : { "/a/", "/once/", "/s/" }) {
      CHECK_EQUAL(502, callBroken(prefix, 1).status);
    }
  }
}
