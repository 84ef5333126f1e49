#include "rhubarbarch/wire/message_size.h"

#include <variant>

namespace rhubarbarch {

namespace {

/// A message with its envelope and short texts.
constexpr std::size_t kMessageBytes = 1024;
/// One element of a list: a structure with a few texts of 16 to 64 characters.
constexpr std::size_t kElementBytes = 256;

std::size_t
tableBytes(const RoutingTable& aTable) noexcept
{
  return (aTable.routes.size() + aTable.services.size() + aTable.plans.size()) * 2 * kElementBytes;
}

std::size_t
partBytes(const AppendRequest& aMessage) noexcept
{
  std::size_t bytes = 0;
  for (const auto& entry : aMessage.entries) {
    bytes += sizeof(LogEntry) + entry.data.data.size();
  }
  return bytes;
}

std::size_t
partBytes(const SnapshotChunk& aMessage) noexcept
{
  return aMessage.data.data.size() + aMessage.members.size() * kElementBytes;
}

std::size_t
partBytes(const GatewayPoll& aMessage) noexcept
{
  const auto broken = aMessage.broken.size() * 4;
  return (aMessage.plans.size() + aMessage.upstreams.size() + aMessage.limits.size() + aMessage.subjects.size() +
          broken) *
         kElementBytes;
}

std::size_t
partBytes(const GatewayState& aMessage) noexcept
{
  const auto& delta = aMessage.routingDelta;
  const auto elements = aMessage.upstreams.size() + aMessage.othersUse.size() + aMessage.plans.size() +
                        aMessage.permits.size() + aMessage.suspects.size() + aMessage.quarantined.size() +
                        aMessage.rollouts.size() + 2 * (delta.changed.size() + delta.removed.size());
  return elements * kElementBytes + tableBytes(aMessage.routing) + tableBytes(delta.rest);
}

template<typename Other>
std::size_t
partBytes(const Other& aMessage) noexcept
{
  if constexpr (requires { aMessage.body.size(); }) {
    return aMessage.body.size();
  } else if constexpr (requires { aMessage.body.data.size(); }) {
    return aMessage.body.data.size();
  } else if constexpr (requires { aMessage.data.data.size(); }) {
    return aMessage.data.data.size();
  } else {
    return 0;
  }
}

} // namespace

std::size_t
approximateBytes(const Message& aMessage) noexcept
{
  return kMessageBytes + std::visit([](const auto& aTyped) { return partBytes(aTyped); }, aMessage);
}

} // namespace rhubarbarch
