#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"
#include "rhubarbarch/wire/routing.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// Tokens of one plan that one gateway session may spend. All counters only grow.
struct Allowance
{
  Tokens issued = 0;
  Tokens returned = 0; ///< given back unspent
  Tokens spent = 0;    ///< as last reported; the session may have spent up to `issued - returned`
};

/// One run of a gateway process.
struct GatewaySession
{
  InstanceId instance;
  Boot boot{};
  std::map<PlanId, Allowance> allowances;
};

/// What ended sessions used of one plan.
struct ClosedUse
{
  Tokens spent = 0;   ///< reported
  Tokens inDoubt = 0; ///< issued, neither returned nor reported as spent; never spendable again
};

/// Budgets of gateways. A gateway calls upstreams itself, so nobody else can say what it spent: what a session held
/// when its process ended stays in doubt. Invariant for each plan: the sum of `closed` and of what all sessions hold
/// never grows beyond the prepaid budget.
struct Allowances
{
  std::map<SessionId, GatewaySession> sessions;
  std::map<PlanId, ClosedUse> closed;
  std::map<InstanceId, std::vector<Boot>> endedBoots; ///< the last few; a late message of one opens no session
};

/// Command: open a session for a boot. The instance's earlier session ends: a platform that starts an instance's
/// process anew has ended the one before.
struct OpenGateway
{
  InstanceId instance;
  Boot boot{};
};

/// One plan in a report.
struct AllowanceReport
{
  PlanId plan;
  Tokens returned = 0;
  Tokens spent = 0;
  Tokens hold = 0; ///< raise `issued` until the session holds this much, as far as the budget goes
};

/// Command: take a gateway's report and raise what it holds.
struct ReportAllowances
{
  SessionId session{};
  std::vector<AllowanceReport> plans;
};

/// Command: take the reports of several sessions, in order.
struct ReportBatch
{
  std::vector<ReportAllowances> reports;
};

/// Outcome of OpenGateway.
struct GatewayOutcome
{
  SessionId session{}; ///< zero: the boot has ended
};

/// @return the session of a boot; zero when it has none
SessionId
findGateway(const Allowances& aState, const InstanceId& aInstance, Boot aBoot);

/// What a session may still have spent or may spend, its reported spending included.
constexpr Tokens
held(const Allowance& aAllowance) noexcept
{
  return aAllowance.issued - aAllowance.returned;
}

/// @return the budget of a plan; zero when the table does not name it
Tokens
prepaid(const RoutingTable& aTable, const PlanId& aPlan);

/// Tokens of a plan that are neither closed nor held by a session.
Tokens
unissued(const Allowances& aState, const PlanId& aPlan, Tokens aPrepaid);

GatewayOutcome
open(Allowances& aState, const OpenGateway& aCommand, LogIndex aIndex);

/// @param aTable holds the budgets in force; a plan that it does not name has none
void
report(Allowances& aState, const ReportAllowances& aCommand, const RoutingTable& aTable);

RHUBARBARCH_DECLARE_FIELDS(Allowance)
RHUBARBARCH_DECLARE_FIELDS(GatewaySession)
RHUBARBARCH_DECLARE_FIELDS(ClosedUse)
RHUBARBARCH_DECLARE_FIELDS(Allowances)
RHUBARBARCH_DECLARE_FIELDS(OpenGateway)
RHUBARBARCH_DECLARE_FIELDS(AllowanceReport)
RHUBARBARCH_DECLARE_FIELDS(ReportAllowances)
RHUBARBARCH_DECLARE_FIELDS(ReportBatch)

} // namespace rhubarbarch::state
