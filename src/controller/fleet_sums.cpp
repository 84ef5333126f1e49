#include "fleet_sums.h"

#include <utility>

namespace rhubarbarch::controller {

namespace {

void
add(FleetSums& aSums, const std::vector<UpstreamUse>& aUses, std::int64_t aSign)
{
  for (const auto& use : aUses) {
    auto& sum = aSums.upstreams[use.id];
    sum.id = use.id;
    sum.running += aSign * use.running;
    sum.prefillTokens += aSign * use.prefillTokens;
    if (sum.running == 0 && sum.prefillTokens == 0) {
      aSums.upstreams.erase(use.id);
    }
  }
}

} // namespace

void
updatePlanSum(FleetSums& aSums, SessionId aSession, const PlanId& aPlan, const PlanSum& aPart)
{
  auto& part = aSums.plansBySession[aSession][aPlan];
  auto& sum = aSums.plans[aPlan];
  sum.held += aPart.held - part.held;
  sum.used += aPart.used - part.used;
  sum.committed += aPart.committed - part.committed;
  part = aPart;
}

void
updateUpstreamSums(FleetSums& aSums, SessionId aSession, std::vector<UpstreamUse> aUses)
{
  auto& uses = aSums.upstreamsBySession[aSession];
  add(aSums, uses, -1);
  uses = std::move(aUses);
  add(aSums, uses, 1);
}

void
removeSession(FleetSums& aSums, SessionId aSession)
{
  if (const auto plans = aSums.plansBySession.find(aSession); plans != aSums.plansBySession.end()) {
    for (const auto& [plan, part] : plans->second) {
      aSums.plans[plan].held -= part.held;
      aSums.plans[plan].used -= part.used;
      aSums.plans[plan].committed -= part.committed;
    }
    aSums.plansBySession.erase(plans);
  }
  updateUpstreamSums(aSums, aSession, {});
  aSums.upstreamsBySession.erase(aSession);
}

PlanSum
planSum(const FleetSums& aSums, const PlanId& aPlan)
{
  const auto found = aSums.plans.find(aPlan);
  return found == aSums.plans.end() ? PlanSum{} : found->second;
}

std::vector<UpstreamUse>
othersUse(const FleetSums& aSums, SessionId aSession)
{
  std::map<std::string, UpstreamUse> sums = aSums.upstreams;
  if (const auto own = aSums.upstreamsBySession.find(aSession); own != aSums.upstreamsBySession.end()) {
    for (const auto& use : own->second) {
      sums[use.id].running -= use.running;
      sums[use.id].prefillTokens -= use.prefillTokens;
    }
  }
  std::vector<UpstreamUse> others;
  for (auto& [id, use] : sums) {
    if (use.running > 0 || use.prefillTokens > 0) {
      others.push_back(std::move(use));
    }
  }
  return others;
}

} // namespace rhubarbarch::controller
