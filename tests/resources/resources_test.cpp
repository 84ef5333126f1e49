#include "platform_fleet.h"

#include "crowd.h"

#include <CppUTest/TestHarness.h>

namespace {

using rhubarbarch::testing::callHttp;
using rhubarbarch::testing::chunkedRequest;
using rhubarbarch::testing::Crowd;
using rhubarbarch::testing::FleetLimits;
using rhubarbarch::testing::headOf;
using rhubarbarch::testing::PartialRequest;
using rhubarbarch::testing::PlatformFleet;
using rhubarbarch::testing::waitUntil;

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;
constexpr std::size_t kLargeChunk = std::size_t{ 64 } * 1024;

/// Fields of 4,000 bytes each.
std::string
longFields(std::size_t aCount)
{
  std::string fields;
  for (std::size_t field = 0; field < aCount; ++field) {
    fields += "X-Context-" + std::to_string(field) + ": " + std::string(4000, 'c') + "\r\n";
  }
  return fields;
}

/// One keep-alive connection.
class Connection
{
public:
  explicit Connection(std::uint16_t aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const timeval limit{ rhubarbarch::testing::kWaitLimit.count(), 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      throw std::runtime_error("no connection");
    }
  }

  ~Connection() { ::close(mSocket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  /// Sends a request without a body.
  /// @return the status line and the fields of the answer; empty: the connection was closed
  std::string ask(const std::string& aFields) const
  {
    const auto text = headOf("/a/kept", "Content-Length: 0\r\n" + aFields);
    ::send(mSocket, text.data(), text.size(), MSG_NOSIGNAL);
    std::string answer;
    std::array<char, 4096> bytes{};
    while (answer.find("\r\n\r\ndone") == std::string::npos) {
      const auto got = ::recv(mSocket, bytes.data(), bytes.size(), 0);
      if (got <= 0) {
        break;
      }
      answer.append(bytes.data(), static_cast<std::size_t>(got));
    }
    return answer;
  }

private:
  int mSocket;
};

} // namespace

// Loads and bounds are fixed; they do not change with the product.
TEST_GROUP(Resources)
{
  std::unique_ptr<PlatformFleet> fleet;
  std::size_t mostDescriptors = 0;

  void start(const FleetLimits& aLimits)
  {
    mostDescriptors = 0;
    fleet = std::make_unique<PlatformFleet>(aLimits);
    if (!fleet->start()) {
      FAIL(("the fleet did not start\n" + fleet->logTails()).c_str());
    }
  }

  void teardown() override
  {
    fleet.reset();
  }

  void require(bool aCondition, const std::string& aWhat) const
  {
    if (!aCondition) {
      FAIL((aWhat + "\n" + fleet->logTails()).c_str());
    }
  }

  void press(Crowd & aCrowd, const std::string& aProcess)
  {
    aCrowd.send([&] { mostDescriptors = std::max(mostDescriptors, fleet->descriptors(aProcess)); });
  }

  /// Waits until the process has taken what was sent: its peak and the upstream's calls no longer rise.
  void settle(const std::string& aName)
  {
    constexpr int kQuietPolls = 25;
    std::pair<std::size_t, int> last;
    int quiet = 0;
    waitUntil([&] {
      mostDescriptors = std::max(mostDescriptors, fleet->descriptors(aName));
      const auto now = std::pair(fleet->peakBytes(aName), fleet->calls());
      quiet = now == last ? quiet + 1 : 0;
      last = now;
      return quiet >= kQuietPolls;
    });
  }

  /// The process lives, its memory and descriptors stay in their bounds, and it answers.
  void checkProcess(const std::string& aName, int aMemoryMb, int aMaxFds)
  {
    settle(aName);
    require(fleet->alive(aName), aName + " has ended");
    const bool answered =
      waitUntil([&] { return (aName == "gateway" ? fleet->ordinary() : fleet->operate()).status == 200; });
    require(answered, aName + " answers no ordinary request");
    require(fleet->alive(aName), aName + " has ended");
    const auto peak = fleet->peakBytes(aName);
    UT_PRINT((aName + ": peak of " + std::to_string(peak / kMegabyte) + " MB of " + std::to_string(aMemoryMb) + ", " +
              std::to_string(mostDescriptors) + " descriptors of " + std::to_string(aMaxFds))
               .c_str());
    require(peak <= static_cast<std::size_t>(aMemoryMb) * kMegabyte, aName + " exceeds its memory");
    require(mostDescriptors <= static_cast<std::size_t>(aMaxFds), aName + " exceeds its descriptors");
  }

  void checkGateway()
  {
    checkProcess("gateway", fleet->limits().gatewayMemoryMb, fleet->limits().gatewayMaxFds);
  }

  void checkController()
  {
    checkProcess("controller", fleet->limits().controllerMemoryMb, fleet->limits().controllerMaxFds);
  }

  void pressGateway(std::size_t aCallers, const PartialRequest& aRequest)
  {
    start({});
    Crowd crowd(fleet->frontPort(), aCallers, aRequest);
    press(crowd, "gateway");
    checkGateway();
  }
};

// Guards against bodies that are read although their announced length is far over the limit.
TEST(Resources, AnnouncedBodiesFarOverTheLimit)
{
  const std::string piece(kLargeChunk, 'x');
  pressGateway(100, { headOf("/a/x", "Content-Length: 33554432\r\n"), piece, 512, "" });
}

// Guards against bodies of unknown length that are held beyond the limit.
TEST(Resources, UnannouncedBodiesFarOverTheLimit)
{
  pressGateway(100, chunkedRequest("/a/x", 32 * kMegabyte, kLargeChunk));
}

// Guards against a process killed at its memory limit: bodies inside the limit that together exceed the memory and
// never end.
TEST(Resources, StalledBodiesInLargeChunks)
{
  pressGateway(160, chunkedRequest("/a/x", kMegabyte - kLargeChunk, kLargeChunk));
}

// Guards against the same with announced lengths, of which the last byte is missing.
TEST(Resources, StalledBodiesWithAnnouncedLength)
{
  const std::string piece(kLargeChunk, 'x');
  pressGateway(160, { headOf("/a/x", "Content-Length: 1048576\r\n"), piece, 15, std::string(kLargeChunk - 1, 'x') });
}

// Guards against chunks of one byte that cost more memory than their bytes.
TEST(Resources, StalledBodiesInChunksOfOneByte)
{
  pressGateway(300, chunkedRequest("/a/x", 40'000, 1));
}

// Guards against callers that stall inside a head and hold descriptors and buffers.
TEST(Resources, StalledHeads)
{
  const std::string head = "POST /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\n" + longFields(3);
  pressGateway(900, { head, "", 0, "" });
}

// Guards against operators' bodies that together exceed the memory of a controller.
TEST(Resources, StalledBodiesAtTheOperatorInterface)
{
  start({});
  Crowd crowd(fleet->controlPort(), 24, chunkedRequest("/-/config", 12 * kMegabyte, kLargeChunk));
  press(crowd, "controller");
  checkController();
}

// Guards against the same in chunks of one byte.
TEST(Resources, StalledBodiesInChunksOfOneByteAtTheOperatorInterface)
{
  start({});
  Crowd crowd(fleet->controlPort(), 60, chunkedRequest("/-/config", 200'000, 1));
  press(crowd, "controller");
  checkController();
}

// Guards against more open requests than the memory holds; their callers keep all limits.
TEST(Resources, ManyOpenRequests)
{
  FleetLimits limits;
  limits.gatewayMemoryMb = 32;
  limits.gatewayMaxFds = 2400;
  start(limits);
  const std::string body(3000, 'x');
  Crowd crowd(fleet->frontPort(), 900, { headOf("/a/hold", "Content-Length: 3000\r\n"), body, 1, "" });
  press(crowd, "gateway");
  checkGateway();
}

// Guards against a faulty upstream that sends bytes without end to many callers: the gateway kept them all, and the
// requests of other callers ended with the process.
TEST(Resources, AnswersWithoutEndToManyCallers)
{
  start({});
  Crowd crowd(fleet->frontPort(), 60, { headOf("/a/endless", "Content-Length: 0\r\n"), "", 0, "" });
  press(crowd, "gateway");
  checkGateway();
}

// Guards against a bound that refuses a caller inside the limits on the smallest machine.
TEST(Resources, LargestBodyOnTheSmallestMachine)
{
  FleetLimits limits;
  limits.gatewayMemoryMb = 110;
  limits.maxBodyBytes = 4 << 20;
  start(limits);
  const std::string body(4 * kMegabyte, 'x');
  LONGS_EQUAL(200, callHttp(fleet->frontPort(), { "POST", "/a/x", {}, {}, body }).status);
  checkGateway();
}

// Guards against the end of the process by a head that is longer than the limit was when its connection was opened.
TEST(Resources, HeaderLimitRaisedWhileAConnectionIsOpen)
{
  start({});
  const Connection before(fleet->frontPort());
  const Connection used(fleet->frontPort());
  for (const auto* each : { &before, &used }) {
    require(each->ask("").starts_with("HTTP/1.1 200"), "no answer before the change");
  }
  require(fleet->configure(2, 131'072), "the configuration was not accepted");
  const auto inForce = [&] { return Connection(fleet->frontPort()).ask(longFields(28)).starts_with("HTTP/1.1 200"); };
  require(waitUntil(inForce), "the limit was not raised");
  require(used.ask("").starts_with("HTTP/1.1 200"), "no answer after the change");
  used.ask(longFields(28));
  require(fleet->alive("gateway"), "gateway has ended");
  const auto answer = before.ask(longFields(28));
  require(answer.starts_with("HTTP/1.1 200"), "a head within the limit was refused: " + answer);
  checkGateway();
}

// Guards against the end of the process by a field that is longer than the HTTP library can hold.
TEST(Resources, FieldLongerThanTheLibraryHolds)
{
  FleetLimits limits;
  limits.maxHeaderBytes = 131'072;
  start(limits);
  const auto answer = Connection(fleet->frontPort()).ask("X-Context: " + std::string(70'000, 'c') + "\r\n");
  require(fleet->alive("gateway"), "gateway has ended");
  require(answer.starts_with("HTTP/1.1 431"), "not refused: " + answer);
  checkGateway();
}
