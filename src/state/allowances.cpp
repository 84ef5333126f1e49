#include "rhubarbarch/state/allowances.h"

#include "rhubarbarch/wire/define_fields.h"

#include <algorithm>
#include <numeric>

namespace rhubarbarch::state {

namespace {

// Ended boots recorded per instance. A delayed message opens a session for an ended boot only after more restarts of
// its instance than this.
constexpr std::size_t kMaxEndedBoots = 4;

void
closeSession(Allowances& aState, SessionId aSession)
{
  const auto session = aState.sessions.extract(aSession);
  if (session.empty()) {
    return;
  }
  for (const auto& [plan, allowance] : session.mapped().allowances) {
    auto& closed = aState.closed[plan];
    closed.spent += allowance.spent;
    closed.inDoubt += held(allowance) - allowance.spent;
  }
}

void
apply(Allowances& aState, Allowance& aAllowance, const AllowanceReport& aReport, Tokens aPrepaid)
{
  // Limits the reported totals: a session cannot return tokens that it was not issued, nor spend tokens that it has
  // returned.
  aAllowance.returned =
    std::clamp(aReport.returned, aAllowance.returned, std::max(aAllowance.returned, aAllowance.issued));
  aAllowance.spent = std::clamp(aReport.spent, aAllowance.spent, std::max(aAllowance.spent, held(aAllowance)));
  aAllowance.committed = std::max<Tokens>(aReport.committed, 0);
  const auto free = unissued(aState, aReport.plan, aPrepaid);
  const auto raise = std::min(aReport.hold - held(aAllowance), free);
  aAllowance.issued += std::max<Tokens>(raise, 0);
}

} // namespace

RHUBARBARCH_DEFINE_FIELDS(Allowance, issued, returned, spent, committed)
RHUBARBARCH_DEFINE_FIELDS(GatewaySession, instance, boot, allowances)
RHUBARBARCH_DEFINE_FIELDS(ClosedUsage, spent, inDoubt)
RHUBARBARCH_DEFINE_FIELDS(Allowances, sessions, closed, endedBoots)
RHUBARBARCH_DEFINE_FIELDS(OpenGateway, instance, boot)
RHUBARBARCH_DEFINE_FIELDS(AllowanceReport, plan, returned, spent, hold, committed)
RHUBARBARCH_DEFINE_FIELDS(ReportAllowances, session, plans)
RHUBARBARCH_DEFINE_FIELDS(ReportBatch, reports)

SessionId
findGatewaySession(const Allowances& aState, const InstanceId& aInstance, Boot aBoot)
{
  const auto found = std::ranges::find_if(aState.sessions, [&](const auto& aItem) {
    return aItem.second.instance == aInstance && aItem.second.boot == aBoot;
  });
  return found == aState.sessions.end() ? SessionId{} : found->first;
}

Tokens
prepaid(const RoutingTable& aTable, const PlanId& aPlan)
{
  const auto found = std::ranges::find(aTable.plans, aPlan, &PlanAccess::plan);
  return found == aTable.plans.end() ? 0 : std::max<Tokens>(found->prepaid, 0);
}

Tokens
unissued(const Allowances& aState, const PlanId& aPlan, Tokens aPrepaid)
{
  const auto closed = aState.closed.find(aPlan);
  const auto used = closed == aState.closed.end() ? 0 : closed->second.spent + closed->second.inDoubt;
  return std::accumulate(
    aState.sessions.begin(), aState.sessions.end(), aPrepaid - used, [&](Tokens aRemaining, const auto& aItem) {
      const auto found = aItem.second.allowances.find(aPlan);
      return found == aItem.second.allowances.end() ? aRemaining : aRemaining - held(found->second);
    });
}

GatewayOutcome
openGateway(Allowances& aState, const OpenGateway& aCommand, LogIndex aIndex)
{
  if (const auto existing = findGatewaySession(aState, aCommand.instance, aCommand.boot); existing != SessionId{}) {
    return { existing };
  }
  auto& ended = aState.endedBoots[aCommand.instance];
  if (std::ranges::find(ended, aCommand.boot) != ended.end()) {
    return {};
  }
  const auto earlier = std::ranges::find_if(
    aState.sessions, [&](const auto& aItem) { return aItem.second.instance == aCommand.instance; });
  if (earlier != aState.sessions.end()) {
    ended.push_back(earlier->second.boot);
    if (ended.size() > kMaxEndedBoots) {
      ended.erase(ended.begin());
    }
    closeSession(aState, earlier->first);
  }
  const SessionId session{ toNumber(aIndex) };
  aState.sessions[session] = { aCommand.instance, aCommand.boot, {} };
  return { session };
}

void
applyReport(Allowances& aState, const ReportAllowances& aCommand, const RoutingTable& aTable)
{
  const auto session = aState.sessions.find(aCommand.session);
  if (session == aState.sessions.end()) {
    return;
  }
  for (const auto& plan : aCommand.plans) {
    apply(aState, session->second.allowances[plan.plan], plan, prepaid(aTable, plan.plan));
  }
}

} // namespace rhubarbarch::state
