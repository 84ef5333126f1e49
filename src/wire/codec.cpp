#include "rhubarbarch/wire/codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>

namespace rhubarbarch {

namespace {

constexpr std::size_t kMessageCount = std::variant_size_v<Message>;

// In the order of the alternatives of Message.
constexpr std::array<std::string_view, kMessageCount> kNames = {
  "VoteRequest",       "VoteReply",    "AppendRequest", "AppendReply",     "SnapshotChunk",
  "SnapshotReply",     "TimeoutNow",   "JoinRequest",   "NotLeader",       "RegisterSession",
  "SessionRegistered", "ConfigPoll",   "ConfigState",   "GrantRequest",    "GrantReply",
  "GrantCallback",     "GrantReturn",  "GrantReturned", "ChargeBatch",     "ChargeAck",
  "CloseGrant",        "GrantClosed",  "ClaimRequest",  "ClaimReply",      "ClaimUpdate",
  "BrakeReport",       "FenceSession", "SessionFenced", "Order",           "OrderReply",
  "ExplainQuery",      "ExplainReply", "Dispatch",      "DispatchRefused", "RunHead",
  "StreamChunk",       "RunDone",      "RunDoneAck",    "Credit",          "CancelRun",
  "RunQuery",          "RunStatus",    "Attach",        "ChargeSettled",   "AgentStatus",
  "GatewayPoll",       "GatewayState"
};

using BodyDecoder = Message (*)(const nlohmann::json&);

template<typename T>
Message
decodeBody(const nlohmann::json& aBody)
{
  return aBody.template get<T>();
}

template<std::size_t... Indices>
std::unordered_map<std::string_view, BodyDecoder>
makeDecoders(std::index_sequence<Indices...> /*unused*/)
{
  return { { kNames[Indices], &decodeBody<std::variant_alternative_t<Indices, Message>> }... };
}

const std::unordered_map<std::string_view, BodyDecoder>&
decoders()
{
  static const auto kDecoders = makeDecoders(std::make_index_sequence<kMessageCount>{});
  return kDecoders;
}

nlohmann::json
encodeAddress(const Address& aAddress)
{
  return nlohmann::json::array({ aAddress.instance, aAddress.role });
}

Address
decodeAddress(const nlohmann::json& aJson)
{
  return { aJson.at(0).get<InstanceId>(), aJson.at(1).get<Role>() };
}

} // namespace

std::string_view
messageName(const Message& aMessage) noexcept
{
  return kNames[aMessage.index()];
}

std::string
encodeFrame(const Envelope& aEnvelope)
{
  nlohmann::json frame;
  frame["t"] = messageName(aEnvelope.message);
  frame["from"] = encodeAddress(aEnvelope.from);
  frame["to"] = encodeAddress(aEnvelope.to);
  frame["b"] = std::visit([](const auto& aBody) { return nlohmann::json(aBody); }, aEnvelope.message);
  std::string bytes;
  nlohmann::json::to_cbor(frame, bytes);
  return bytes;
}

Result<Envelope>
decodeFrame(std::string_view aFrame)
{
  if (aFrame.size() > kMaxFrameBytes) {
    return failure(ErrorCode::kTooLarge, "frame of " + std::to_string(aFrame.size()) + " bytes");
  }
  try {
    const auto frame = nlohmann::json::from_cbor(aFrame.begin(), aFrame.end());
    const auto& name = frame.at("t").get_ref<const std::string&>();
    const auto decoder = decoders().find(name);
    if (decoder == decoders().end()) {
      return failure(ErrorCode::kParse, "unknown message type '" + name + "'");
    }
    return Envelope{ decodeAddress(frame.at("from")), decodeAddress(frame.at("to")), decoder->second(frame.at("b")) };
  } catch (const nlohmann::json::exception& error) {
    return failure(ErrorCode::kParse, error.what());
  }
}

} // namespace rhubarbarch
