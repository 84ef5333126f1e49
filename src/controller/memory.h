#pragma once

#include "fleet_sums.h"

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/controller/events.h"
#include "rhubarbarch/wire/control_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace rhubarbarch::controller {

/// What the leader knows of a session from its last poll.
struct SessionMemory
{
  TimePoint lastSeen;
  TimePoint heardByAgent; ///< routers only: an agent last said that it is connected
  Revision plansRevision{};
  Revision usesRevision{};
  Revision directoryRevision{};
  Revision movesRevision{};
  AgentLoad load;
  bool polled = false; ///< under this leader
};

/// Demand that one router reported for one plan.
struct DemandMemory
{
  Tokens tokensPerSecond = 0;
  Tokens reserved = 0;
  TimePoint at;
};

/// A grant whose idle tokens are asked back.
struct Recall
{
  Tokens keep = 0;
  TimePoint sent;
  std::optional<TimePoint> answered;
};

/// A grant request that waits for tokens to come back.
struct WaitingRequest
{
  Address from;
  GrantRequest request;
  TimePoint since;
};

/// What the leader knows of a plan's spending.
struct PlanMemory
{
  std::map<SessionId, DemandMemory> demand;
  Tokens largestWanted = 0; ///< of the requests of the last period and the one before
  Tokens largestWantedNow = 0;
  TimePoint wantedSince;
  Tokens proposed = 0; ///< tokens in proposals that are not committed yet
  std::set<std::pair<SessionId, std::uint64_t>> proposedRequests;
  std::map<GrantId, Recall> recalls;
  std::vector<WaitingRequest> waiting;
  TimePoint placed;
};

/// A whole document on its way to a gateway. Answers that leave before the gateway can have said that it holds it do
/// not carry it again.
struct SentDocument
{
  std::uint64_t revision = 0;
  Address to;
  TimePoint at;
};

/// What the leader knows of a gateway session from its last poll.
struct GatewayMemory
{
  Address from;           ///< where its last poll came from; a relay when it is cut off
  std::set<Address> owed; ///< where polls came from that an answer has not followed yet
  TimePoint lastSeen;
  GatewayPoll poll;                       ///< the last one, without its plans and upstreams
  std::map<PlanId, PlanUse> uses;         ///< by the last full poll and the partial ones since
  std::map<PlanId, TimePoint> recalledAt; ///< when tokens of a plan were last asked back
  SentDocument routing;
  SentDocument upstreams;
};

/// Reports of gateways that change the replicated budgets. They are proposed together, one batch at a time: while
/// commits are slow the batches grow and not their number.
struct ReportQueue
{
  std::map<SessionId, bool> due; ///< true: a poll of the session waits for its answer
  bool proposed = false;         ///< a batch is proposed and not applied yet
  TimePoint proposedAt;
  SessionId lastFirst{}; ///< whose report came first in the last batch; the next batch begins after it
};

struct PendingGatewayPoll
{
  Address from;
  GatewayPoll poll;
};

struct PendingPoll
{
  Address from;
  ConfigPoll poll;
};

/// What one quorum-confirmed read answers.
struct PendingRead
{
  std::vector<PendingPoll> polls;
  std::vector<PendingGatewayPoll> gatewayPolls;
  std::vector<OperatorRequest> shows;
};

/// Figures of one version on one route.
struct RouteFigures
{
  std::int64_t requests = 0;
  std::int64_t errors = 0;
  std::int64_t timed = 0; ///< requests with a latency
  double latencySum = 0;  ///< of the powers of two of the latency in ms
  double latencySquareSum = 0;
};

/// Figures of a move since its share last changed.
struct MoveWindow
{
  std::int64_t changedUnixMs = 0;
  std::map<std::string, std::map<VersionName, RouteFigures>> routes;
  std::map<std::string, RouteFigures> baseline; ///< old version, last window with enough requests
  std::set<SessionId> brakes;                   ///< routers that reported a brake
  std::string brakeReason;
  bool stepProposed = false;
};

/// An order that has been sent.
struct SentOrder
{
  std::uint64_t number = 0;
  TimePoint sent;
};

/// Agent session, kind, model, version.
using OrderKey = std::tuple<SessionId, OrderKind, ModelName, VersionName>;

/// An explain request that gathers answers.
struct PendingExplain
{
  OperatorId id{};
  RequestId request;
  TimePoint until;
  std::set<Address> asked; ///< those that have not answered yet
  nlohmann::json answers = nlohmann::json::array();
};

/// What the leader keeps in memory. Rebuilt from heartbeats after a change of leader.
struct Memory
{
  TimePoint leaderSince;
  std::map<SessionId, SessionMemory> sessions;
  std::set<SessionId> proposedSessions; ///< a change of these sessions is proposed
  std::map<SessionId, TimePoint> fencesSent;
  std::map<PlanId, PlanMemory> plans;
  PendingRead nextRead; ///< gathered since the last read was asked for
  std::map<std::uint64_t, PendingRead> reads;
  std::map<std::string, MoveWindow> windows; ///< by move id
  std::map<OrderKey, SentOrder> orders;
  std::uint64_t orderNumber = 0;
  std::map<std::uint64_t, PendingExplain> explains;
  std::map<SessionId, GatewayMemory> gateways;
  std::set<InstanceId> gatewaysOpening;                ///< a session is proposed for them
  std::map<std::int64_t, RoutingTable> documents;      ///< the last few in force, by version, to tell changes from
  std::map<std::int64_t, RoutingDelta> documentDeltas; ///< to the one in force, by the version they apply to
  FleetSums sums;
  ReportQueue reports;
  std::map<PlanId, std::map<SessionId, TimePoint>> waitingFor; ///< sessions with requests that wait, when last told
  std::map<PlanId, TimePoint> recalledAt;                      ///< when holders were last looked for
  TimePoint upstreamsAsked;
  TimePoint expired;
  TimePoint sessionsChecked;
  TimePoint movesChecked;
  TimePoint ordersChecked;
  TimePoint plansChecked;
};

/// The platform's list of instances, kept across changes of leader.
struct PlatformMemory
{
  std::set<InstanceId> live;
  std::set<InstanceId> leaving;
  std::set<InstanceId> everSeen;
  bool received = false;
  std::vector<UpstreamEntry> upstreams; ///< as last read
  std::uint64_t upstreamsRevision = 0;  ///< hash of `upstreams`, so that all leaders name equal lists alike
  std::optional<TimePoint> upstreamsReadAt;
};

} // namespace rhubarbarch::controller
