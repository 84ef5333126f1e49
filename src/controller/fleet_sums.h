#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::controller {

/// Tokens of one plan held and used by one session or by all sessions.
struct PlanSum
{
  Tokens held = 0;      ///< issued and not returned
  Tokens used = 0;      ///< spent or reserved, according to the latest report that the leader has
  Tokens committed = 0; ///< what open requests may still cost beyond `used`
};

/// Running sums over all gateway sessions. Answers to gateways use them instead of a loop over all sessions, so the
/// cost of an answer does not grow with the fleet.
struct FleetSums
{
  std::map<PlanId, PlanSum> plans;
  std::map<SessionId, std::map<PlanId, PlanSum>> plansBySession;
  std::map<std::string, UpstreamUse> upstreams;
  std::map<SessionId, std::vector<UpstreamUse>> upstreamsBySession;
};

/// Replaces a session's part in the sums of a plan.
void
updatePlanSum(FleetSums& aSums, SessionId aSession, const PlanId& aPlan, const PlanSum& aPart);

/// Replaces a session's part in the sums of all upstreams.
void
updateUpstreamSums(FleetSums& aSums, SessionId aSession, std::vector<UpstreamUse> aUses);

/// Removes a session from all sums.
void
removeSession(FleetSums& aSums, SessionId aSession);

/// @return the sum over all sessions; zero for a plan that no session has used
PlanSum
planSum(const FleetSums& aSums, const PlanId& aPlan);

/// @return the sums of all upstreams without one session's part
std::vector<UpstreamUse>
othersUse(const FleetSums& aSums, SessionId aSession);

} // namespace rhubarbarch::controller
