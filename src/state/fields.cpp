#include "rhubarbarch/state/replicated_state.h"
#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch::state {

RHUBARBARCH_DEFINE_FIELDS(SetPlans, requestId, expected, plans)
RHUBARBARCH_DEFINE_FIELDS(SetUses, requestId, expected, uses, routes)
RHUBARBARCH_DEFINE_FIELDS(ListOutcome, accepted, revision, code, detail)
RHUBARBARCH_DEFINE_FIELDS(RequestOutcome, requestId, outcome)
RHUBARBARCH_DEFINE_FIELDS(ListsState, lists, planOutcomes, useOutcomes)

RHUBARBARCH_DEFINE_FIELDS(Grant,
                          id,
                          plan,
                          holder,
                          number,
                          directory,
                          issued,
                          returnedTotal,
                          charged,
                          charges,
                          state,
                          unproved,
                          unprovedRest)
RHUBARBARCH_DEFINE_FIELDS(Ledger, accounts, grants)
RHUBARBARCH_DEFINE_FIELDS(IssueGrant, session, number, plan, tokens, minimum, directory)
RHUBARBARCH_DEFINE_FIELDS(ReturnGrant, grant, returnedTotal)
RHUBARBARCH_DEFINE_FIELDS(ChargeGrant, grant, charges)
RHUBARBARCH_DEFINE_FIELDS(SettleGrant, grant)

RHUBARBARCH_DEFINE_FIELDS(AgentFence, reported, open)
RHUBARBARCH_DEFINE_FIELDS(RouterSession,
                          id,
                          instance,
                          boot,
                          dataCentre,
                          endpoint,
                          settledDirectory,
                          fenced,
                          fenceIndex,
                          agents)
RHUBARBARCH_DEFINE_FIELDS(AgentSession, entry, drained)
RHUBARBARCH_DEFINE_FIELDS(Sessions,
                          routers,
                          agents,
                          supersededBoots,
                          lastAgentSuperseded,
                          lastAgentRemoved,
                          directoryRevision)
RHUBARBARCH_DEFINE_FIELDS(OpenSession, session)
RHUBARBARCH_DEFINE_FIELDS(FenceRouter, session)
RHUBARBARCH_DEFINE_FIELDS(ReportFence, report)
RHUBARBARCH_DEFINE_FIELDS(SetLeaving, leaving, present)
RHUBARBARCH_DEFINE_FIELDS(MarkDrained, session)
RHUBARBARCH_DEFINE_FIELDS(RemoveAgent, session)
RHUBARBARCH_DEFINE_FIELDS(MarkSettled, session, directory)

RHUBARBARCH_DEFINE_FIELDS(ClaimRecord, claim, finalUnixMs)
RHUBARBARCH_DEFINE_FIELDS(Claims, records)
RHUBARBARCH_DEFINE_FIELDS(TakeClaim, claim)
RHUBARBARCH_DEFINE_FIELDS(UpdateClaim, expectedAttempt, claim, nowUnixMs)
RHUBARBARCH_DEFINE_FIELDS(ExpireClaims, beforeUnixMs)

RHUBARBARCH_DEFINE_FIELDS(Moves, moves, shares, revision, fence)
RHUBARBARCH_DEFINE_FIELDS(AddMove, move)
RHUBARBARCH_DEFINE_FIELDS(StepMove, id, expectedState, expectedPerMille, state, perMille, reason, nowUnixMs)
RHUBARBARCH_DEFINE_FIELDS(RaiseFence, nowUnixMs)

// Encoded as an array without field names, to keep snapshots small: they contain up to 890,000 accounts, one per plan.
void
to_json(nlohmann::json& aJson, const Account& aValue)
{
  aJson = nlohmann::json::array({ aValue.budget, aValue.settled, aValue.inDoubt, aValue.listed });
}

void
from_json(const nlohmann::json& aJson, Account& aValue)
{
  aValue = Account{};
  aValue.budget = aJson.at(0).get<Tokens>();
  aValue.settled = aJson.at(1).get<Tokens>();
  aValue.inDoubt = aJson.at(2).get<Tokens>();
  aValue.listed = aJson.at(3).get<bool>();
}

} // namespace rhubarbarch::state
