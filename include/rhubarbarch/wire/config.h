#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// Priority of a plan's requests at the upstreams.
enum class Priority : std::uint8_t
{
  kChat,  ///< interactive; served first
  kReview ///< long work; served with ageing so that it does not starve
};

/// One entry of the plans list.
struct PlanEntry
{
  PlanId plan;
  WorkspaceId workspace;
  std::vector<std::string> keyHashes; ///< lower-case hex SHA-256 of the API keys
  Priority priority = Priority::kChat;

  bool operator==(const PlanEntry&) const = default;
};

/// The versions of one model that a plan may use; an empty list allows every version.
struct ModelUse
{
  ModelName model;
  std::vector<VersionName> versions;

  bool operator==(const ModelUse&) const = default;
};

/// One entry of the uses list: what a plan may use.
struct UseEntry
{
  PlanId plan;
  std::vector<std::string> services; ///< names of plain services
  std::vector<ModelUse> models;
  Tokens budgetTokens = 0; ///< total ever paid, in tokens

  bool operator==(const UseEntry&) const = default;
};

/// A path that callers may ask for.
struct RouteEntry
{
  std::string path;       ///< exact path, or a prefix that ends in `/`
  std::string service;    ///< plain service name; empty for a model route
  bool idempotent = true; ///< false: needs an idempotency key and runs at most once
  Tokens flatTokens = 0;  ///< cost of one call of a plain service, in tokens

  bool operator==(const RouteEntry&) const = default;
};

/// Both lists in force. Routes are part of the uses list.
struct Lists
{
  Revision plansRevision{};
  std::vector<PlanEntry> plans;
  Revision usesRevision{};
  std::vector<UseEntry> uses;
  std::vector<RouteEntry> routes;

  bool operator==(const Lists&) const = default;
};

/// What an agent's upstream is.
struct UpstreamInfo
{
  std::string name;                 ///< name of the upstream instance
  std::string service;              ///< plain service name; empty for a model engine
  bool checksFence = false;         ///< the upstream refuses orders with an old fencing number
  std::int64_t kvCapacityBytes = 0; ///< memory for KV cache, in bytes

  bool operator==(const UpstreamInfo&) const = default;
};

/// A model version that an upstream has loaded.
struct LoadedVersion
{
  ModelName model;
  VersionName version;

  auto operator<=>(const LoadedVersion&) const = default;
};

/// One live agent, as routers see it.
struct AgentEntry
{
  InstanceId instance;
  SessionId session{};
  Boot boot{};
  DataCentre dataCentre;
  std::string endpoint; ///< `ip:port` of its peer listener
  UpstreamInfo upstream;
  bool leaving = false;

  bool operator==(const AgentEntry&) const = default;
};

/// State of a version move.
enum class MoveState : std::uint8_t
{
  kPlanned,
  kLoading,
  kStepping,
  kWatching,
  kDone,
  kTakenBack
};

/// Share of a model's traffic that each version gets.
struct VersionShare
{
  ModelName model;
  VersionName version;
  std::int32_t perMille = 0; ///< 0 to 1000; the shares of a model add up to 1000

  bool operator==(const VersionShare&) const = default;
};

/// One version move.
struct Move
{
  std::string id; ///< the operator's request id
  ModelName model;
  VersionName fromVersion;
  VersionName toVersion;
  std::int64_t requestedUnixMs = 0;
  std::int64_t deadlineUnixMs = 0;
  MoveState state = MoveState::kPlanned;
  std::int32_t perMille = 0;      ///< share of the new version
  std::string reason;             ///< why it was taken back
  std::int64_t changedUnixMs = 0; ///< when the state or share last changed

  bool operator==(const Move&) const = default;
};

RHUBARBARCH_DECLARE_FIELDS(PlanEntry)
RHUBARBARCH_DECLARE_FIELDS(ModelUse)
RHUBARBARCH_DECLARE_FIELDS(UseEntry)
RHUBARBARCH_DECLARE_FIELDS(RouteEntry)
RHUBARBARCH_DECLARE_FIELDS(Lists)
RHUBARBARCH_DECLARE_FIELDS(UpstreamInfo)
RHUBARBARCH_DECLARE_FIELDS(LoadedVersion)
RHUBARBARCH_DECLARE_FIELDS(AgentEntry)
RHUBARBARCH_DECLARE_FIELDS(VersionShare)
RHUBARBARCH_DECLARE_FIELDS(Move)

} // namespace rhubarbarch
