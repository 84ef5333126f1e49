#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::controller {

/// What one session, or all of them, have of one plan.
struct PlanSum
{
  Tokens held = 0; ///< issued and not given back
  Tokens used = 0; ///< spent or reserved, as far as the leader knows
};

/// Running sums over all gateway sessions. An answer to a gateway reads them in place of adding up all sessions, so its
/// cost does not grow with the fleet.
struct FleetSums
{
  std::map<PlanId, PlanSum> plans;
  std::map<SessionId, std::map<PlanId, PlanSum>> plansBySession;
  std::map<std::string, UpstreamUse> upstreams;
  std::map<SessionId, std::vector<UpstreamUse>> upstreamsBySession;
};

/// Replaces what a session counts for in the sums of a plan.
void
countPlan(FleetSums& aSums, SessionId aSession, const PlanId& aPlan, const PlanSum& aShare);

/// Replaces what a session counts for in the sums of all upstreams.
void
countUpstreams(FleetSums& aSums, SessionId aSession, std::vector<UpstreamUse> aUses);

/// Takes a session out of all sums.
void
dropSession(FleetSums& aSums, SessionId aSession);

/// @return the sum over all sessions; zero for a plan that none has used
PlanSum
planSum(const FleetSums& aSums, const PlanId& aPlan);

/// @return the sums of all upstreams without one session's part
std::vector<UpstreamUse>
othersUse(const FleetSums& aSums, SessionId aSession);

} // namespace rhubarbarch::controller
