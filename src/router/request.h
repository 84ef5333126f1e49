#pragma once

#include "model_call.h"
#include "rhubarbarch/router/refusal.h"
#include "stream.h"

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/events.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/control_messages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace rhubarbarch::router {

/// Number of a request within this process, in order of arrival.
using RequestKey = std::uint64_t;

/// Position in the filter chain.
enum class Stage : std::uint8_t
{
  kIdentify,
  kAuthorise,
  kClaim,
  kReserve,
  kPlace,
  kDispatch,
  kSettle
};

/// Where a request stands with its claim.
enum class ClaimPhase : std::uint8_t
{
  kNone,      ///< not asked yet, or no claim is needed
  kAsked,     ///< waits for the answer to ClaimRequest or ClaimUpdate
  kWon,       ///< this request may dispatch the attempt that the claim names
  kQuerying,  ///< another request's run holds the claim; its agent is asked
  kAttaching, ///< the run exists; its answer is read instead of running again
  kRebind,    ///< the claim's run is proved not to have run; a new attempt needs a ClaimUpdate
  kDetached   ///< the claimed run of an idempotent request was lost; the request runs again without the claim
};

/// The caller's idempotency claim.
struct ClaimProgress
{
  ClaimPhase phase = ClaimPhase::kNone;
  Claim claim;                ///< as committed, or as asked for
  TimePoint since;            ///< start of the current wait
  TimePoint queryAt;          ///< next RunQuery
  bool outcomeAsked = false;  ///< a ClaimUpdate with the outcome is on its way or answered
  bool outcomeStored = false; ///< it was answered
};

/// One attempt at one agent.
struct Run
{
  RunId id;
  InstanceId agent;
  Boot boot{};
  SessionId agentSession{};  ///< at the dispatch
  SessionId routerSession{}; ///< at the dispatch
  VersionName version;
  bool dispatched = false; ///< Dispatch or Attach was sent
  bool accepted = false;   ///< the agent has shown that it knows the attempt
  bool attached = false;   ///< started by another router or request: its charge is not this request's business
  TimePoint startedAt;
  TimePoint newsAt;  ///< last message about this run
  TimePoint queryAt; ///< next RunQuery unless there is news
  bool firstBytes = false;
  bool cancelled = false;
  bool moved = false; ///< another router reads the answer now
  std::optional<RunDone> done;
};

/// Tokens reserved for a request.
struct Reservation
{
  GrantId grant{};
  Tokens tokens = 0;
};

/// One request of a caller.
struct Request
{
  RequestKey key = 0;
  RequestId id;
  std::optional<CallerId> caller; ///< empty when the caller has gone
  CallerRequest call;
  TimePoint arrivedAt;
  TimePoint deadline;
  std::optional<TimePoint> waitingSince; ///< start of the wait in the current stage

  PlanId plan;
  RouteEntry route;
  ModelCall model;
  Tokens worstCase = 0;
  std::vector<VersionName> allowedVersions;

  ClaimProgress claim;
  std::optional<Refusal> leaderRefusal; ///< the leader refused the tokens for this request
  std::optional<Refusal> heldElsewhere; ///< answer if the tokens are not called back in time
  std::optional<Reservation> reservation;
  RequestId runRequest; ///< request id of the next attempt; another one than `id` after a charged attempt
  std::set<InstanceId> avoid;
  Run run;
  Stream stream;
  std::string answerCopy;    ///< kept for the stored outcome of a non-idempotent request
  std::size_t heldBytes = 0; ///< part of the process's held bytes

  std::uint32_t attempt = 1; ///< number of the next attempt under `runRequest`
  Stage stage = Stage::kIdentify;
  Priority priority = Priority::kChat;
  Ran earlierAttempts = Ran::kNo; ///< whether an attempt before the current one ran
  bool demandNoted = false;
  bool headSent = false;
  bool answerCopyWhole = true; ///< false: the answer did not fit
};

/// The filter is passed.
struct GoOn
{};
/// The request waits for a message or for time.
struct Wait
{};
/// The stage was set back; the chain goes on from there.
struct Again
{};
/// The request is complete or has been handed over; it no longer exists.
struct Finished
{};
/// Outcome of one filter.
using Outcome = std::variant<GoOn, Wait, Refusal, Again, Finished>;

/// @return true when the outcome is stored with the claim, so that a retry gets the same answer
inline bool
storesOutcome(const Request& aRequest) noexcept
{
  return !aRequest.route.idempotent;
}

/// @return true when a claim is made: required on routes that are not idempotent, possible on all others
inline bool
claims(const Request& aRequest) noexcept
{
  return !aRequest.call.idempotencyKey.empty();
}

} // namespace rhubarbarch::router
