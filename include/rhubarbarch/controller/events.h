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
  std::string requestId; ///< a repeat gets the first outcome
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

/// Ask for a version move.
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

/// Put a routing document in force if its version is the highest so far.
struct PutRouting
{
  RoutingTable table;
  std::string source; ///< as the operator sent it
  std::string digest; ///< of the content, independent of its layout
};

/// Read the routing document in force as its operator sent it.
struct ShowRouting
{};

/// Send no new work to the upstreams of a data centre, or take that back.
struct Evacuate
{
  DataCentre dataCentre;
  bool evacuated = true;
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
                               Evacuate>;

/// A parsed operator request.
struct OperatorRequest
{
  OperatorId id{};
  Operation operation;
};

/// The platform's list of instances; lags.
struct PlatformList
{
  std::vector<InstanceId> live;
  std::vector<InstanceId> leaving;
};

/// The upstreams in the platform's list, as an answer to ReadUpstreams.
struct UpstreamsRead
{
  std::vector<UpstreamEntry> upstreams;
};

/// The settings name other first contacts.
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
  std::string document; ///< sent in place of `body` when not empty
};

/// Write these records to the data folder and sync them before any Send or OperatorReply that follows, in this batch or
/// a later one.
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
