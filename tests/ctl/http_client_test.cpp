// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "../net/net_support.h"
#include "http_client.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::ctl;

namespace {

std::string
withStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " X\r\nContent-Length: 2\r\n\r\n{}";
}

} // namespace

TEST_GROUP(OperatorCall)
{
  net::RawListener listener;

  Result<Reply> answered(const std::string& aBytes)
  {
    std::thread server([&] {
      net::RawSocket socket(listener.acceptor);
      socket.readUntil("\r\n\r\n");
      socket.send(aBytes);
    });
    auto reply = call({ "127.0.0.1", listener.port() }, "", { "GET", "/v1/lists", {} }, net::kTestLimit);
    server.join();
    return reply;
  }
};

// Guards against a message whose status is none being shown as an answer of the fleet.
TEST(OperatorCall, aStatusOutOfRangeIsNoAnswer)
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    const auto reply = answered(withStatus(status));
    CHECK_FALSE(reply.has_value());
    CHECK(reply.error().code == ErrorCode::kProtocol);
  }
  CHECK_EQUAL(200, answered(withStatus("200")).value().status);
}

// Guards against an answer that breaks off being shown as a whole one.
TEST(OperatorCall, anAnswerThatBreaksOffIsAnError)
{
  const auto reply = answered("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}");
  CHECK_FALSE(reply.has_value());
  CHECK(reply.error().code == ErrorCode::kIo);
}
