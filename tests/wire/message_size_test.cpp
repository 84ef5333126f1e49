#include "rhubarbarch/wire/codec.h"
#include "rhubarbarch/wire/message_size.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;

namespace {

std::size_t
frameBytes(Message aMessage)
{
  return encodeFrame({ { "a", Role::kController }, { "b", Role::kController }, std::move(aMessage) }).size();
}

} // namespace

TEST_GROUP(MessageSize){};

// Guards against a queue that is bounded by bytes and holds more because an estimate leaves out what a message carries.
TEST(MessageSize, isNoLessThanTheFrameOfLargeMessages)
{
  AppendRequest append;
  append.entries.push_back({ Term{ 1 }, LogIndex{ 1 }, EntryKind::kCommand, { std::string(100'000, 'x') } });
  SnapshotChunk chunk;
  chunk.data.data = std::string(200'000, 'x');
  GatewayState state;
  state.upstreams.resize(52);
  for (auto& upstream : state.upstreams) {
    upstream = { "i-0123456789", "huvo11a", "10.128.0.9:8080", "zamalek", "v1", 64, 0, false };
  }
  GatewayPoll poll;
  poll.plans.resize(24);
  poll.upstreams.resize(52);
  for (const Message& message : { Message(append), Message(chunk), Message(state), Message(poll) }) {
    CHECK_COMPARE(approximateBytes(message), >=, frameBytes(message));
  }
}
