#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/consensus/storage.h"
#include "rhubarbarch/wire/message.h"
#include "rhubarbarch/wire/role_events.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbarch::controller {

using roles::Log;
using roles::PeerDown;
using roles::PeerMessage;
using roles::PeerUp;
using roles::Send;
using roles::Shutdown;
using roles::Stopped;

/// Number of an operator's request within this process, chosen by the HTTP server.
enum class OperatorId : std::uint64_t
{
};

struct Tick
{
  WallTime wall; ///< calendar time, for deadlines of moves
};

/// Replace the plans list if its revision is `expected`.
struct ApplyPlans
{
  std::string requestId; ///< a repeated request gets the first outcome
  Revision expected{};
  std::vector<PlanEntry> plans;
};

/// Replace the uses list if its revision is `expected`.
struct ApplyUses
{
  std::string requestId;
  Revision expected{};
  std::vector<UseEntry> uses;
  std::vector<RouteEntry> routes;
};

struct ShowLists
{};

struct ShowInstances
{};

/// Request a version move.
struct RequestMove
{
  std::string requestId; ///< becomes the move's id
  ModelName model;
  VersionName toVersion;
  WallTime deadline;
};

struct ShowMoves
{};

struct ShowPlan
{
  PlanId plan;
};

struct ExplainRequest
{
  RequestId request;
};

/// Put a routing document in force if its version is higher than all earlier ones.
struct PutRouting
{
  RoutingTable table;
  std::string source; ///< text that the operator sent
  std::string digest; ///< digest of the content, independent of its formatting
};

/// Read the text of the routing document in force.
struct ShowRouting
{};

/// Stop or resume sending new work to the upstreams of a data centre.
struct Evacuate
{
  DataCentre dataCentre;
  bool evacuated = true;
};

/// Move a service's traffic to upstreams of a version.
struct OrderRollout
{
  std::string service;
  VersionName target;
  std::int64_t durationS = 0;
};

/// Read the state of a service's newest rollout.
struct ShowRollout
{
  std::string service;
};

using Operation = std::variant<ApplyPlans,
                               ApplyUses,
                               ShowLists,
                               ShowInstances,
                               RequestMove,
                               ShowMoves,
                               ShowPlan,
                               ExplainRequest,
                               PutRouting,
                               ShowRouting,
                               Evacuate,
                               OrderRollout,
                               ShowRollout>;

/// A parsed operator request.
struct OperatorRequest
{
  OperatorId id{};
  Operation operation;
};

/// The platform's list of instances; may be out of date.
struct PlatformList
{
  std::vector<InstanceId> live;
  std::vector<InstanceId> leaving;
};

/// The upstreams in the platform's list; the answer to ReadUpstreams.
struct UpstreamsRead
{
  std::vector<UpstreamEntry> upstreams;
};

/// The seed controllers in the settings have changed.
struct Contacts
{
  std::vector<InstanceId> controllers;
};

using Event =
  std::variant<PeerMessage, PeerUp, PeerDown, Tick, Shutdown, OperatorRequest, PlatformList, UpstreamsRead, Contacts>;

/// Answer an operator. `body` is a JSON object; errors hold `error` (snake_case code) and `detail`.
struct OperatorReply
{
  OperatorId id{};
  std::int32_t httpStatus = 200;
  nlohmann::json body;
  std::string document; ///< sent instead of `body` when not empty
};

/// Write these records to the data folder and sync them before executing any later Send or OperatorReply, in this batch
/// or a later one.
struct Persist
{
  std::vector<consensus::StorageRecord> records;
};

/// Connect to a controller whose instance name is its endpoint.
struct Connect
{
  InstanceId controller;
};

/// Read the platform's list of upstreams; UpstreamsRead follows unless the platform does not answer.
struct ReadUpstreams
{};

using Action = std::variant<Send, OperatorReply, Persist, Log, Stopped, Connect, ReadUpstreams>;
using Actions = std::vector<Action>;

} // namespace rhubarbarch::controller
