#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/state/allowances.h"
#include "rhubarbarch/state/claims.h"
#include "rhubarbarch/state/evacuations.h"
#include "rhubarbarch/state/ledger.h"
#include "rhubarbarch/state/lists.h"
#include "rhubarbarch/state/moves.h"
#include "rhubarbarch/state/quarantine.h"
#include "rhubarbarch/state/rollouts.h"
#include "rhubarbarch/state/routing.h"
#include "rhubarbarch/state/sessions.h"

#include <string>
#include <string_view>
#include <variant>

namespace rhubarbarch::state {

/// The state that the controllers replicate.
struct ReplicatedState
{
  LogIndex applied{};
  ListsState lists;
  Ledger ledger;
  Sessions sessions;
  Claims claims;
  Moves moves;
  RoutingState routing;
  Allowances allowances;
  Evacuations evacuations;
  Quarantine quarantine;
  Rollouts rollouts;
};

/// Commands of the replicated log. Times are part of a command; applying one reads no clock.
using Command = std::variant<SetPlans,
                             SetUses,
                             OpenSession,
                             FenceRouter,
                             ReportFence,
                             SetLeaving,
                             MarkDrained,
                             RemoveAgent,
                             MarkSettled,
                             IssueGrant,
                             ReturnGrant,
                             ChargeGrant,
                             SettleGrant,
                             TakeClaim,
                             UpdateClaim,
                             ExpireClaims,
                             AddMove,
                             StepMove,
                             RaiseFence,
                             StoreRouting,
                             OpenGateway,
                             ReportAllowances,
                             ReportBatch,
                             SetEvacuation,
                             SetQuarantine,
                             OrderRollout,
                             StepRollout,
                             AllotExposure>;

/// Result of a command, for the answer to its sender.
using Outcome = std::variant<std::monostate,
                             ListOutcome,
                             SessionOutcome,
                             IssueOutcome,
                             LedgerOutcome,
                             ClaimOutcome,
                             MoveOutcome,
                             RoutingOutcome,
                             GatewayOutcome,
                             EvacuationOutcome,
                             QuarantineOutcome,
                             RolloutOutcome>;

/// Applies a committed command. The result depends only on the arguments.
/// @param aState state after all entries before `aIndex`
/// @param aCommand the command
/// @param aIndex index of its log entry
/// @return its outcome. Usage: `auto outcome = apply(state, command, entry.index)`.
Outcome
apply(ReplicatedState& aState, const Command& aCommand, LogIndex aIndex);

/// Encodes a command for the log, as CBOR.
std::string
encodeCommand(const Command& aCommand);

/// Decodes a command; kParse for bytes that are not a command.
Result<Command>
decodeCommand(std::string_view aBytes);

/// Encodes the complete state for a snapshot, as CBOR.
std::string
encode(const ReplicatedState& aState);

/// Decodes a snapshot; kCorrupt for bytes that are not a snapshot.
Result<ReplicatedState>
decode(std::string_view aBytes);

ListOutcome
apply(ReplicatedState& aState, const SetPlans& aCommand, LogIndex aIndex);
ListOutcome
apply(ReplicatedState& aState, const SetUses& aCommand, LogIndex aIndex);
SessionOutcome
apply(ReplicatedState& aState, const OpenSession& aCommand, LogIndex aIndex);
void
apply(ReplicatedState& aState, const FenceRouter& aCommand, LogIndex aIndex);
void
apply(ReplicatedState& aState, const ReportFence& aCommand, LogIndex aIndex);
void
apply(ReplicatedState& aState, const SetLeaving& aCommand, LogIndex aIndex);
void
apply(ReplicatedState& aState, const MarkDrained& aCommand, LogIndex aIndex);
void
apply(ReplicatedState& aState, const RemoveAgent& aCommand, LogIndex aIndex);
void
apply(ReplicatedState& aState, const MarkSettled& aCommand, LogIndex aIndex);
LedgerOutcome
apply(ReplicatedState& aState, const ReturnGrant& aCommand, LogIndex aIndex);
LedgerOutcome
apply(ReplicatedState& aState, const ChargeGrant& aCommand, LogIndex aIndex);
LedgerOutcome
apply(ReplicatedState& aState, const SettleGrant& aCommand, LogIndex aIndex);

} // namespace rhubarbarch::state
