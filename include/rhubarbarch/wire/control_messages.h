#pragma once

#include "rhubarbarch/base/bytes.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// Answer of a controller that is not the leader. The sender repeats its message at the hint.
struct NotLeader
{
  InstanceId leader; ///< empty when unknown
};

/// Opens a session for one run of a router or agent. Repeated until answered; idempotent by (instance, boot, role).
struct RegisterSession
{
  InstanceId instance;
  Boot boot{};
  Role role = Role::kRouter;
  DataCentre dataCentre;
  std::string endpoint;  ///< `ip:port` of the peer listener
  UpstreamInfo upstream; ///< agents only
};

/// Answer to RegisterSession, sent after the registration is committed.
struct SessionRegistered
{
  Boot boot{};
  SessionId session{};
  LogIndex readIndex{};               ///< index of the state that this answer was read from
  std::vector<SessionId> liveRouters; ///< agents only: router sessions that were live at `readIndex`
};

/// Demand for one plan at one router.
struct PlanDemand
{
  PlanId plan;
  Tokens tokensPerSecond = 0; ///< recent rate of reservations, settled and refused ones included
  Tokens unreserved = 0;      ///< free tokens in the router's open grants
  Tokens reserved = 0;        ///< reserved by runs in progress
};

/// Traffic of one version on one route at one router since the last poll.
struct TrafficSample
{
  ModelName model;
  VersionName version;
  std::string route;
  std::int64_t requests = 0;
  std::int64_t errors = 0;
  std::vector<std::int64_t> latencyBuckets; ///< counts; bucket i holds first-token times in [2^i, 2^(i+1)) ms
};

/// Load of an agent's upstream.
struct AgentLoad
{
  std::vector<LoadedVersion> loaded;
  std::int64_t reservedKvBytes = 0;
  std::int64_t queueLength = 0;
  std::int64_t runs = 0;
  bool leaving = false;
  bool drained =
    false; ///< leaving, no run in progress and every charge acknowledged; stays true until the process ends
  std::vector<InstanceId> heardRouters; ///< of the routers that the leader asked after, those with a live connection
};

/// A grant as its holder sees it. Both totals only grow.
struct GrantView
{
  GrantId grant{};
  PlanId plan;
  Tokens issued = 0;
  Tokens returnedTotal = 0;

  bool operator==(const GrantView&) const = default;
};

/// Heartbeat of a router or agent to the leader, and request for newer configuration.
struct ConfigPoll
{
  InstanceId instance;
  Role role = Role::kRouter;
  SessionId session{};
  std::uint64_t number = 0;           ///< counts polls of this session
  LogIndex readIndex{};               ///< of the last ConfigState applied
  Revision plansRevision{};           ///< in force at the sender
  Revision usesRevision{};            ///< in force at the sender
  Revision directoryRevision{};       ///< held by the sender
  Revision movesRevision{};           ///< held by the sender
  std::vector<PlanDemand> demand;     ///< routers only
  std::vector<TrafficSample> samples; ///< routers only
  AgentLoad load;                     ///< agents only
  Revision settledDirectory{}; ///< routers only: every run at an agent session that is absent from the directory of
                               ///< this revision is charged and acknowledged; zero proves nothing
};

/// Answer to ConfigPoll, read at an index that a quorum confirmed. Parts are present only when newer than the poller's.
struct ConfigState
{
  std::uint64_t number = 0;
  LogIndex readIndex{};
  bool sessionLive = true; ///< false: the session was fenced; register again
  bool hasLists = false;
  Lists lists;
  bool hasDirectory = false;
  Revision directoryRevision{};
  std::vector<AgentEntry> agents;
  bool hasMoves = false;
  Revision movesRevision{};
  std::vector<VersionShare> shares;
  std::vector<Move> moves;
  std::vector<GrantView> grants;         ///< routers only: all open grants of the session
  SessionId session{};                   ///< of the poll; an answer to an earlier process of the instance is ignored
  std::vector<InstanceId> silentRouters; ///< agents only: routers that the leader does not hear; are they connected?
};

/// Asks for tokens of one plan. Idempotent by (session, number): a repeat gets the same grant.
struct GrantRequest
{
  SessionId session{};
  std::uint64_t number = 0;
  PlanId plan;
  Tokens wanted = 0;
};

/// Outcome of a GrantRequest.
enum class GrantStatus : std::uint8_t
{
  kGranted,
  kExhausted,      ///< the budget does not cover the request even when all runs settle at their least
  kReservedByRuns, ///< free again when runs in progress settle
  kHeldElsewhere,  ///< idle grants of other routers are being called back
  kNoSuchPlan
};

/// Answer to GrantRequest.
struct GrantReply
{
  std::uint64_t number = 0;
  PlanId plan;
  GrantStatus status = GrantStatus::kGranted;
  GrantView grant;               ///< when granted
  std::int64_t retryAfterMs = 0; ///< otherwise: when it is worth asking again
};

/// Leader to router: give back unreserved tokens of a grant, keeping at most `keep` unreserved.
struct GrantCallback
{
  GrantId grant{};
  PlanId plan;
  Tokens keep = 0;
};

/// Router to leader: total of tokens of this grant given back so far. Idempotent, the largest total counts.
struct GrantReturn
{
  GrantId grant{};
  Tokens returnedTotal = 0;
};

/// Leader to router: the return is committed.
struct GrantReturned
{
  GrantId grant{};
  Tokens returnedTotal = 0;
};

/// Spend of one request.
struct Charge
{
  RequestId request;
  Tokens tokens = 0;

  bool operator==(const Charge&) const = default;
};

/// Charges under one grant, from the router or the agent. Idempotent by request id.
struct ChargeBatch
{
  std::uint64_t number = 0;
  GrantId grant{};
  std::vector<Charge> charges;
};

/// The charges of a batch are committed, or the grant was closed with them in it.
struct ChargeAck
{
  std::uint64_t number = 0;
  GrantId grant{};
};

/// Holder to leader: every request of this grant is settled and acknowledged.
struct CloseGrant
{
  GrantId grant{};
};

/// The grant is closed; its rest is back in the budget.
struct GrantClosed
{
  GrantId grant{};
};

/// State of a claim.
enum class ClaimState : std::uint8_t
{
  kRunning,
  kDone,
  kUnknown ///< the run's outcome cannot be known; final
};

/// Stored outcome of a non-idempotent request.
struct StoredAnswer
{
  std::int32_t httpStatus = 0;
  std::string contentType;
  Bytes body;
  bool bodyOmitted = false; ///< the body was too large to be stored

  bool operator==(const StoredAnswer&) const = default;
};

/// The right to run one non-idempotent request.
struct Claim
{
  PlanId plan;
  std::string key;      ///< the caller's idempotency key
  std::string bodyHash; ///< lower-case hex SHA-256 of method, path and body
  RequestId request;
  std::uint32_t attempt = 1;
  InstanceId agent; ///< the agent that the current attempt is bound to
  Boot agentBoot{};
  ClaimState state = ClaimState::kRunning;
  StoredAnswer answer;

  bool operator==(const Claim&) const = default;
};

/// Router to leader: claim (plan, key) or tell who holds it. `claim.attempt` is 1.
struct ClaimRequest
{
  std::uint64_t number = 0;
  SessionId session{};
  Claim claim;
};

/// Outcome of a ClaimRequest.
enum class ClaimStatus : std::uint8_t
{
  kWon,     ///< this request id holds the claim; also for a repeat of the same request id
  kExists,  ///< another request id holds it; see `claim`
  kConflict ///< same key, other body
};

/// Answer to ClaimRequest and ClaimUpdate, with the claim as committed.
struct ClaimReply
{
  std::uint64_t number = 0;
  ClaimStatus status = ClaimStatus::kWon;
  Claim claim;
};

/// Router to leader: replaces the claim if its stored attempt is `expectedAttempt` and it is still running.
/// A larger `claim.attempt` rebinds after a proved "never ran"; a final state stores the outcome.
struct ClaimUpdate
{
  std::uint64_t number = 0;
  std::uint32_t expectedAttempt = 0;
  Claim claim;
};

/// Router to leader: stopped using a version locally.
struct BrakeReport
{
  SessionId session{};
  ModelName model;
  VersionName version;
  std::string route;
  std::string reason;
};

/// Leader to agent: refuse all work of this router session and report what ran. Repeated until all is settled.
struct FenceSession
{
  LogIndex fenceIndex{};
  SessionId session{};
};

/// What ran at one agent under one grant of a fenced session.
struct GrantReport
{
  GrantId grant{};
  std::vector<Charge> charges; ///< finished runs
  Tokens openReserved = 0;     ///< reservations of runs still in progress
};

/// Agent to leader: the session is fenced here.
struct SessionFenced
{
  SessionId session{};
  SessionId agentSession{};
  std::vector<GrantReport> grants;
};

/// Kind of an order to an upstream.
enum class OrderKind : std::uint8_t
{
  kLoadVersion,
  kUnloadVersion,
  kDrain
};

/// Leader to agent: an order for its upstream. The agent refuses a fencing number below the largest it has seen.
struct Order
{
  std::uint64_t number = 0;
  FenceNumber fence{};
  OrderKind kind = OrderKind::kLoadVersion;
  ModelName model;
  VersionName version;
};

/// Outcome of an order. `accepted` says that it was taken; loaded versions show in the agent's polls.
struct OrderReply
{
  std::uint64_t number = 0;
  bool accepted = false;
  std::string detail;
};

/// Asks a router or agent for the decisions it made on a request.
struct ExplainQuery
{
  std::uint64_t number = 0;
  RequestId request;
};

/// Decisions on one request, oldest first, each a JSON object as text.
struct ExplainReply
{
  std::uint64_t number = 0;
  std::vector<std::string> decisions;
};

RHUBARBARCH_DECLARE_FIELDS(NotLeader)
RHUBARBARCH_DECLARE_FIELDS(RegisterSession)
RHUBARBARCH_DECLARE_FIELDS(SessionRegistered)
RHUBARBARCH_DECLARE_FIELDS(PlanDemand)
RHUBARBARCH_DECLARE_FIELDS(TrafficSample)
RHUBARBARCH_DECLARE_FIELDS(AgentLoad)
RHUBARBARCH_DECLARE_FIELDS(GrantView)
RHUBARBARCH_DECLARE_FIELDS(ConfigPoll)
RHUBARBARCH_DECLARE_FIELDS(ConfigState)
RHUBARBARCH_DECLARE_FIELDS(GrantRequest)
RHUBARBARCH_DECLARE_FIELDS(GrantReply)
RHUBARBARCH_DECLARE_FIELDS(GrantCallback)
RHUBARBARCH_DECLARE_FIELDS(GrantReturn)
RHUBARBARCH_DECLARE_FIELDS(GrantReturned)
RHUBARBARCH_DECLARE_FIELDS(Charge)
RHUBARBARCH_DECLARE_FIELDS(ChargeBatch)
RHUBARBARCH_DECLARE_FIELDS(ChargeAck)
RHUBARBARCH_DECLARE_FIELDS(CloseGrant)
RHUBARBARCH_DECLARE_FIELDS(GrantClosed)
RHUBARBARCH_DECLARE_FIELDS(StoredAnswer)
RHUBARBARCH_DECLARE_FIELDS(Claim)
RHUBARBARCH_DECLARE_FIELDS(ClaimRequest)
RHUBARBARCH_DECLARE_FIELDS(ClaimReply)
RHUBARBARCH_DECLARE_FIELDS(ClaimUpdate)
RHUBARBARCH_DECLARE_FIELDS(BrakeReport)
RHUBARBARCH_DECLARE_FIELDS(FenceSession)
RHUBARBARCH_DECLARE_FIELDS(GrantReport)
RHUBARBARCH_DECLARE_FIELDS(SessionFenced)
RHUBARBARCH_DECLARE_FIELDS(Order)
RHUBARBARCH_DECLARE_FIELDS(OrderReply)
RHUBARBARCH_DECLARE_FIELDS(ExplainQuery)
RHUBARBARCH_DECLARE_FIELDS(ExplainReply)

} // namespace rhubarbarch
