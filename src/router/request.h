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

/// Progress of a request's idempotency claim.
enum class ClaimPhase : std::uint8_t
{
  kNone,      ///< not requested yet, or no claim is needed
  kRequested, ///< waiting for the answer to ClaimRequest or ClaimUpdate
  kWon,       ///< this request may dispatch the attempt that the claim names
  kQuerying,  ///< another request's run holds the claim; querying its agent
  kAttaching, ///< the run exists; reading its answer instead of running again
  kRebind,    ///< the claimed attempt is confirmed not to have run; a new one needs a ClaimUpdate
  kDetached   ///< the claimed run of an idempotent request has an unknown outcome; runs again without the claim
};

/// The caller's idempotency claim.
struct ClaimProgress
{
  ClaimPhase phase = ClaimPhase::kNone;
  Claim claim;                   ///< as committed, or as requested
  TimePoint since;               ///< start of the current wait
  TimePoint queryAt;             ///< next RunQuery
  bool outcomeSubmitted = false; ///< a ClaimUpdate with the outcome was submitted
  bool outcomeStored = false;    ///< that ClaimUpdate was answered
};

/// One attempt at one agent.
struct Run
{
  RunId id;
  InstanceId agent;
  Boot boot{};
  SessionId agentSession{};  ///< at the time of the dispatch
  SessionId routerSession{}; ///< at the time of the dispatch
  VersionName version;
  bool dispatched = false; ///< Dispatch or Attach was sent
  bool accepted = false;   ///< the agent has sent a message about the attempt
  bool attached = false;   ///< started by another router or request; not charged to this request
  TimePoint startedAt;
  TimePoint lastActivityAt; ///< time of the last message about this run
  TimePoint queryAt;        ///< time of the next RunQuery unless a message arrives
  bool firstBytes = false;
  bool cancelled = false;
  bool moved = false; ///< another router now reads the answer
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
  std::optional<CallerId> caller; ///< empty after the caller disconnected
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
  std::optional<Refusal> leaderRefusal; ///< the leader's refusal of the tokens for this request
  std::optional<Refusal> heldElsewhere; ///< refusal to send if the leader does not recall the tokens in time
  std::optional<Reservation> reservation;
  RequestId runRequest; ///< request id of the next attempt; differs from `id` after a charged attempt
  std::set<InstanceId> avoid;
  Run run;
  Stream stream;
  std::string answerCopy;    ///< for the stored outcome of a non-idempotent request
  std::size_t heldBytes = 0; ///< contribution to State::heldBytes

  std::uint32_t attempt = 1; ///< number of the next attempt under `runRequest`
  Stage stage = Stage::kIdentify;
  Priority priority = Priority::kChat;
  Ran earlierAttempts = Ran::kNo; ///< whether an earlier attempt ran
  bool demandNoted = false;
  bool headSent = false;
  bool answerCopyComplete = true; ///< false: the answer is too long to be stored
};

/// The request passed the filter.
struct Continue
{};
/// The request waits for a message or a timeout.
struct Wait
{};
/// The filter set the request back to an earlier stage, where the chain continues.
struct Rewind
{};
/// The request is complete or was handed over; it no longer exists.
struct Finished
{};
/// Outcome of one filter.
using Outcome = std::variant<Continue, Wait, Refusal, Rewind, Finished>;

/// @return true when the outcome is stored with the claim, so that a retry gets the same answer
inline bool
storesOutcome(const Request& aRequest) noexcept
{
  return !aRequest.route.idempotent;
}

/// @return true when the request needs a claim: required on non-idempotent routes, optional on all others
inline bool
claims(const Request& aRequest) noexcept
{
  return !aRequest.call.idempotencyKey.empty();
}

} // namespace rhubarbarch::router
