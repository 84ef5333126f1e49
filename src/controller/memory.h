#pragma once

#include "call_limits.h"
#include "crash_suspects.h"
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

/// Data from the last poll of a session.
struct SessionMemory
{
  TimePoint lastSeen;
  TimePoint lastAgentContactAt; ///< routers only: when an agent last reported a connection to it
  Revision plansRevision{};
  Revision usesRevision{};
  Revision directoryRevision{};
  Revision movesRevision{};
  AgentLoad load;
  bool polled = false; ///< whether this leader has received a poll
};

/// Demand that one router reported for one plan.
struct DemandMemory
{
  Tokens tokensPerSecond = 0;
  Tokens reserved = 0;
  TimePoint at;
};

/// A recall of a grant's idle tokens.
struct Recall
{
  Tokens keep = 0;
  TimePoint sent;
  std::optional<TimePoint> answered;
};

/// A grant request that waits for tokens to be returned.
struct WaitingRequest
{
  Address from;
  GrantRequest request;
  TimePoint since;
};

/// Demand, recalls and waiting requests of a plan.
struct PlanMemory
{
  std::map<SessionId, DemandMemory> demand;
  Tokens largestWanted = 0; ///< largest request of the previous period
  Tokens largestWantedNow = 0;
  TimePoint wantedSince;
  Tokens proposed = 0; ///< tokens in proposals that are not yet committed
  std::set<std::pair<SessionId, std::uint64_t>> proposedRequests;
  std::map<GrantId, Recall> recalls;
  std::vector<WaitingRequest> waiting;
  TimePoint placedAt;
};

/// A complete document that was sent to a gateway. Until the gateway has had time to acknowledge it, further answers
/// do not include it.
struct SentDocument
{
  std::uint64_t revision = 0;
  std::uint64_t answer = 0; ///< number of the answer that included it
  Address to;
  TimePoint at;
};

/// Calls permitted in the answers to one poll. Each answer to the poll repeats them, so a lost answer or one that comes
/// both directly and through a relay permits nothing twice.
struct PermitBatch
{
  std::uint64_t poll = 0; ///< number of the poll
  std::vector<CallPermit> permits;
};

/// Data from the polls of a gateway session.
struct GatewayMemory
{
  Address from;                     ///< source of its last poll; a relay if the gateway has no direct connection
  std::set<Address> pendingReplyTo; ///< sources of polls that have not been answered yet
  TimePoint lastSeen;
  GatewayPoll poll;                       ///< last poll, without its plans and upstreams
  std::uint64_t confirmedPoll = 0;        ///< latest poll that came before a confirmed read or commit was asked for
  std::map<PlanId, PlanUse> uses;         ///< from the last full poll and the partial polls since then
  std::map<PlanId, TimePoint> recalledAt; ///< time of the last recall of each plan's tokens
  SentDocument routing;
  SentDocument upstreams;
  PermitBatch permits;
};

/// Reports of gateways that change the replicated budgets. They are proposed one batch at a time, so slow commits lead
/// to larger batches, not to more of them.
struct ReportQueue
{
  std::map<SessionId, bool> due;            ///< true: a poll of the session waits for an answer
  bool proposed = false;                    ///< a batch is proposed but not yet applied
  std::map<SessionId, std::uint64_t> polls; ///< latest poll of each session in the proposed batch
  TimePoint proposedAt;
  SessionId lastFirst{}; ///< first session of the last batch; the next batch starts after it
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

/// Polls and operator requests that one quorum-confirmed read answers.
struct PendingRead
{
  std::vector<PendingPoll> polls;
  std::vector<PendingGatewayPoll> gatewayPolls;
  std::vector<OperatorRequest> shows;
};

/// Traffic statistics of one version on one route.
struct RouteStatistics
{
  std::int64_t requests = 0;
  std::int64_t errors = 0;
  std::int64_t timed = 0; ///< requests with a latency
  double latencySum = 0;  ///< of log2 of the latency in ms
  double latencySquareSum = 0;
};

/// Traffic statistics of a move since its traffic share last changed.
struct MoveWindow
{
  std::int64_t changedUnixMs = 0;
  std::map<std::string, std::map<VersionName, RouteStatistics>> routes;
  std::map<std::string, RouteStatistics> baseline; ///< old version, from the last window with enough requests
  std::set<SessionId> brakeReporters;              ///< routers whose circuit breaker opened for the new version
  std::string brakeReason;
  bool stepProposed = false;
};

/// An order sent to an agent.
struct SentOrder
{
  std::uint64_t number = 0;
  TimePoint sent;
};

/// Agent session, kind, model, version.
using OrderKey = std::tuple<SessionId, OrderKind, ModelName, VersionName>;

/// An explain request that is waiting for answers.
struct PendingExplain
{
  OperatorId id{};
  RequestId request;
  TimePoint until;
  std::set<Address> awaiting; ///< instances that have not answered yet
  nlohmann::json answers = nlohmann::json::array();
};

/// State of the leader that is not replicated. A new leader rebuilds it from polls.
struct Memory
{
  TimePoint leaderSince;
  std::map<SessionId, SessionMemory> sessions;
  std::set<SessionId> proposedSessions; ///< sessions with a proposed change that is not yet committed
  std::map<SessionId, TimePoint> fencesSent;
  std::map<PlanId, PlanMemory> plans;
  PendingRead nextRead; ///< collected since the last read was requested
  std::map<std::uint64_t, PendingRead> reads;
  std::map<std::string, MoveWindow> windows; ///< by move id
  std::map<OrderKey, SentOrder> orders;
  std::uint64_t orderNumber = 0;
  std::map<std::uint64_t, PendingExplain> explains;
  std::map<SessionId, GatewayMemory> gateways;
  std::set<InstanceId> gatewaysOpening;                ///< gateways with a proposed session
  std::map<std::int64_t, RoutingTable> documents;      ///< latest documents, by version; deltas are computed from them
  std::map<std::int64_t, RoutingDelta> documentDeltas; ///< to the document in force, by the version they apply to
  FleetSums sums;
  CallLimits limits;
  CrashSuspects crashSuspects;
  TimePoint quarantineCheckedAt;
  bool quarantineProposed = false; ///< a change of the quarantine is proposed but not yet applied
  TimePoint rolloutsCheckedAt;
  ReportQueue reports;
  std::map<PlanId, std::map<SessionId, TimePoint>> waitingFor; ///< sessions with waiting requests, time of last report
  std::map<PlanId, TimePoint> recalledAt; ///< when the holders of a plan's tokens were last searched
  TimePoint upstreamsRequestedAt;
  TimePoint claimsExpiredAt;
  TimePoint sessionsChecked;
  TimePoint movesChecked;
  TimePoint ordersChecked;
  TimePoint plansChecked;
};

/// The platform's lists of instances and upstreams, retained across changes of leader.
struct PlatformMemory
{
  std::set<InstanceId> live;
  std::set<InstanceId> leaving;
  std::set<InstanceId> everSeen;
  bool received = false;
  std::vector<UpstreamEntry> upstreams; ///< as last read
  std::uint64_t upstreamsRevision = 0;  ///< hash of `upstreams`, so that all leaders give equal lists the same revision
  std::optional<TimePoint> upstreamsReadAt;
};

} // namespace rhubarbarch::controller
