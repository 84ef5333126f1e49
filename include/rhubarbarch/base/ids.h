#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <type_traits>

namespace rhubarbarch {

/// Name of an instance, unique in the fleet, taken from its settings.
using InstanceId = std::string;
/// Name of a data centre, taken from the settings.
using DataCentre = std::string;
/// Name of a plan.
using PlanId = std::string;
/// Name of a workspace; a workspace owns one or more plans.
using WorkspaceId = std::string;
/// Identifier of a request, `<instance>-<boot>-<counter>`, chosen by the router that first accepted it.
using RequestId = std::string;
/// Name of a model.
using ModelName = std::string;
/// Version of a model.
using VersionName = std::string;
/// Number of tokens.
using Tokens = std::int64_t;

/// Random number drawn at process start. Tells two runs of the same instance apart.
enum class Boot : std::uint64_t
{
};
/// Index of an entry in the replicated log. Zero is before the first entry.
enum class LogIndex : std::uint64_t
{
};
/// Election term of the replicated log.
enum class Term : std::uint64_t
{
};
/// Log index of the entry that registered a session. Later sessions have larger ids.
enum class SessionId : std::uint64_t
{
};
/// Log index of the entry that issued a grant.
enum class GrantId : std::uint64_t
{
};
/// Log index of the entry that last changed a part of the configuration.
enum class Revision : std::uint64_t
{
};
/// Fencing number of an order to an upstream. Larger numbers win.
enum class FenceNumber : std::uint64_t
{
};
/// Identity of a consensus replica; a replica that lost its disk gets a new one.
enum class ReplicaId : std::uint64_t
{
};

/// Which part a process plays. One process may have several roles.
enum class Role : std::uint8_t
{
  kRouter,
  kAgent,
  kController
};

/// Underlying number of a strong id.
/// @param aId any of the strong ids of this header
/// @return its integer value. Usage: `toNumber(grant.id)`.
template<typename Id>
constexpr auto
toNumber(Id aId) noexcept
{
  static_assert(std::is_enum_v<Id>);
  return static_cast<std::underlying_type_t<Id>>(aId);
}

/// The id that follows `aId`.
/// @param aId any of the strong ids of this header
/// @return the id one larger. Usage: `index = next(index)`.
template<typename Id>
constexpr Id
next(Id aId) noexcept
{
  return static_cast<Id>(toNumber(aId) + 1);
}

/// Where a message between processes goes: one role of one instance.
struct Address
{
  InstanceId instance;
  Role role = Role::kRouter;

  auto operator<=>(const Address&) const = default;
};

} // namespace rhubarbarch
