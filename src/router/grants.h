#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/options.h"
#include "rhubarbarch/wire/message.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::router {

/// A charge that the ledger has not acknowledged, and the agent that waits for the acknowledgement.
struct PendingCharge
{
  RunId run;
  Tokens tokens = 0;
  InstanceId agent;
  SessionId agentSession{}; ///< in which the run took place
};

/// A batch of charges sent to the leader and not yet acknowledged.
struct ChargesInFlight
{
  std::uint64_t number = 0;
  std::vector<PendingCharge> charges;
  TimePoint sendAt;
};

/// One grant held by this router. Free tokens are `issued - returned - reserved - charged`.
struct Grant
{
  GrantId id{};
  PlanId plan;
  Tokens issued = 0;
  Tokens returned = 0;              ///< returned to the leader, acknowledged or not
  Tokens returnAcknowledged = 0;    ///< returned and committed
  Tokens reserved = 0;              ///< by requests in progress
  Tokens charged = 0;               ///< settled, acknowledged or not
  std::size_t reservations = 0;     ///< requests in progress
  std::size_t charges = 0;          ///< charges so far; the ledger stores an entry for each
  bool live = true;                 ///< false: its session was fenced or the leader no longer lists it
  bool closing = false;             ///< accepts no more reservations
  std::uint64_t acceptedAtPoll = 0; ///< number of the last poll sent before the grant was accepted
  TimePoint usedAt;
  TimePoint sendAt; ///< time of the next return or close message
  std::deque<PendingCharge> queue;
  TimePoint queuedAt; ///< when the oldest charge in the queue was added
  std::optional<ChargesInFlight> inFlight;
};

/// A GrantRequest without an answer yet.
struct PendingGrantRequest
{
  std::uint64_t number = 0;
  Tokens wanted = 0;
  TimePoint sendAt;
};

/// The grants of one plan.
struct PlanAccount
{
  std::optional<PendingGrantRequest> pendingRequest;
  TimePoint nextRequestAt;      ///< earliest time of the next GrantRequest after a refusal
  double demandPerSecond = 0;   ///< recent rate of requested reservations, in tokens
  Tokens demandSinceUpdate = 0; ///< tokens requested since the last update of the rate
};

/// All grants of this router.
struct GrantPool
{
  std::map<GrantId, Grant> grants;
  std::map<PlanId, PlanAccount> plans;
  /// Closed grants, each with the last poll sent before the leader confirmed the close. An answer to that poll or an
  /// earlier one may still list the grant; accepting it again would spend its tokens a second time.
  std::map<GrantId, std::uint64_t> closed;
  std::uint64_t nextNumber = 1;
  TimePoint demandUpdatedAt;
};

/// @return tokens of `aGrant` that are neither charged, reserved nor returned
Tokens
freeTokens(const Grant& aGrant) noexcept;

/// Adds a grant to the pool unless the pool contains it already or it was closed. A fenced or closed grant stays
/// unusable.
/// @param aPoll number of the last poll sent
/// @return true when the grant was added
bool
acceptGrant(GrantPool& aPool, const GrantView& aView, std::uint64_t aPoll, TimePoint aNow);

/// Applies the leader's list of open grants: accepts new grants, and stops using grants that are missing from the list
/// although they were accepted before the answered poll was sent.
/// @param aAnswered number of the poll that the list answers
/// @param aPoll number of the last poll sent
void
applyGrantList(GrantPool& aPool,
               const std::vector<GrantView>& aViews,
               std::uint64_t aAnswered,
               std::uint64_t aPoll,
               TimePoint aNow);

/// Reserves the worst case of a request, in tokens.
/// @return the grant, or nothing when no usable grant of the plan covers `aTokens`
std::optional<GrantId>
reserveTokens(GrantPool& aPool, const PlanId& aPlan, Tokens aTokens, const RouterOptions& aOptions, TimePoint aNow);

/// Releases the reservation of a request that certainly did not run.
void
releaseTokens(GrantPool& aPool, GrantId aGrant, Tokens aReserved);

/// Turns a reservation into a charge and releases the remainder.
/// @return the tokens charged, never above the reservation
Tokens
settleTokens(GrantPool& aPool, GrantId aGrant, Tokens aReserved, PendingCharge aCharge, TimePoint aNow);

/// Adds to the demand of a plan. Each request counts once, whether served or refused.
void
noteDemand(GrantPool& aPool, const PlanId& aPlan, Tokens aTokens);

/// @return demand and balances of all plans for a poll
std::vector<PlanDemand>
planDemand(const GrantPool& aPool);

/// Returns unreserved tokens that the leader recalls.
/// @return the answer, also when there is nothing to return; nothing for an unknown grant
std::optional<GrantReturn>
returnOnCallback(GrantPool& aPool, const GrantCallback& aCallback, const RouterOptions& aOptions, TimePoint aNow);

/// Returns the free tokens of all grants of a plan, so that the leader can issue them as one grant.
void
returnFragments(GrantPool& aPool, const PlanId& aPlan);

/// Ends a fenced session: its grants serve no new work. Charges of runs in progress are still delivered.
void
endSession(GrantPool& aPool);

/// @return true when every charge without an acknowledgement satisfies the condition
bool
allPendingCharges(const GrantPool& aPool, const std::function<bool(const PendingCharge&)>& aCondition);

/// @return the charges that the ledger confirmed with this acknowledgement
std::vector<PendingCharge>
acknowledgeCharges(GrantPool& aPool, const ChargeAck& aAck);

void
acknowledgeReturn(GrantPool& aPool, const GrantReturned& aReturned);

/// @param aPoll number of the last poll sent
void
acknowledgeClose(GrantPool& aPool, const GrantClosed& aClosed, std::uint64_t aPoll);

/// Returns and closes idle or exhausted grants, and collects all messages that are due, including retransmissions.
/// @param aConnected false: idle grants are retained, since a disconnected router can spend no other tokens
/// @param aLeaving true: every grant without a request in progress is closed
/// @return messages for the leader
std::vector<Message>
dueGrantMessages(GrantPool& aPool,
                 SessionId aSession,
                 const RouterOptions& aOptions,
                 bool aConnected,
                 bool aLeaving,
                 TimePoint aNow);

} // namespace rhubarbarch::router
