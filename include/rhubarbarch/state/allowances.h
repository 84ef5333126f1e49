#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"
#include "rhubarbarch/wire/routing.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// Tokens of one plan that one gateway session may spend. All counters but `committed` only grow.
struct Allowance
{
  Tokens issued = 0;
  Tokens returned = 0;  ///< returned unspent
  Tokens spent = 0;     ///< as last reported; the session may have spent up to `issued - returned`
  Tokens committed = 0; ///< as last reported: what open requests may still cost beyond this. It ends with the session
};

/// One run of a gateway process.
struct GatewaySession
{
  InstanceId instance;
  Boot boot{};
  std::map<PlanId, Allowance> allowances;
};

/// Usage of one plan by ended sessions.
struct ClosedUsage
{
  Tokens spent = 0;   ///< reported as spent
  Tokens inDoubt = 0; ///< issued, neither returned nor reported as spent; never spendable again
};

/// Budgets of gateways. A gateway calls upstreams directly, so no other process can report what it spent: unreported
/// tokens that a session held when its process ended stay in doubt. Invariant for each plan: the sum of `closed` and of
/// the tokens that all sessions hold never grows beyond the prepaid budget.
struct Allowances
{
  std::map<SessionId, GatewaySession> sessions;
  std::map<PlanId, ClosedUsage> closed;
  std::map<InstanceId, std::vector<Boot>> endedBoots; ///< most recent ones; a delayed message of one opens no session
};

/// Command: open a session for a boot. The instance's earlier session ends, because a platform ends the old process of
/// an instance before it starts a new one.
struct OpenGateway
{
  InstanceId instance;
  Boot boot{};
};

/// One plan in a gateway's report.
struct AllowanceReport
{
  PlanId plan;
  Tokens returned = 0;
  Tokens spent = 0;
  Tokens hold = 0;      ///< raise `issued` until the session holds this many tokens, within the budget
  Tokens committed = 0; ///< no permission to spend; known to a new leader before it hears the session
};

/// Command: apply a gateway's report and raise its allowances.
struct ReportAllowances
{
  SessionId session{};
  std::vector<AllowanceReport> plans;
};

/// Command: apply the reports of several sessions in order.
struct ReportBatch
{
  std::vector<ReportAllowances> reports;
};

/// Outcome of OpenGateway.
struct GatewayOutcome
{
  SessionId session{}; ///< zero: the boot has ended
};

/// @return the session of a boot; zero if it has none
SessionId
findGatewaySession(const Allowances& aState, const InstanceId& aInstance, Boot aBoot);

/// Tokens that a session holds: those reported as spent, and those that it may have spent or may still spend.
constexpr Tokens
held(const Allowance& aAllowance) noexcept
{
  return aAllowance.issued - aAllowance.returned;
}

/// @return the budget of a plan in tokens; zero if the table does not contain the plan
Tokens
prepaid(const RoutingTable& aTable, const PlanId& aPlan);

/// Tokens of a plan that are neither in `closed` nor held by a session; negative if the budget was lowered below them.
Tokens
unissued(const Allowances& aState, const PlanId& aPlan, Tokens aPrepaid);

GatewayOutcome
openGateway(Allowances& aState, const OpenGateway& aCommand, LogIndex aIndex);

/// @param aTable contains the budgets in force; a plan that is not in it has no budget
void
applyReport(Allowances& aState, const ReportAllowances& aCommand, const RoutingTable& aTable);

RHUBARBARCH_DECLARE_FIELDS(Allowance)
RHUBARBARCH_DECLARE_FIELDS(GatewaySession)
RHUBARBARCH_DECLARE_FIELDS(ClosedUsage)
RHUBARBARCH_DECLARE_FIELDS(Allowances)
RHUBARBARCH_DECLARE_FIELDS(OpenGateway)
RHUBARBARCH_DECLARE_FIELDS(AllowanceReport)
RHUBARBARCH_DECLARE_FIELDS(ReportAllowances)
RHUBARBARCH_DECLARE_FIELDS(ReportBatch)

} // namespace rhubarbarch::state
