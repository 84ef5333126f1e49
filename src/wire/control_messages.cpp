#include "rhubarbarch/wire/control_messages.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(NotLeader, leader)
RHUBARBARCH_DEFINE_FIELDS(RegisterSession, instance, boot, role, dataCentre, endpoint, upstream)
RHUBARBARCH_DEFINE_FIELDS(SessionRegistered, boot, session, readIndex, liveRouters)
RHUBARBARCH_DEFINE_FIELDS(PlanDemand, plan, tokensPerSecond, unreserved, reserved)
RHUBARBARCH_DEFINE_FIELDS(TrafficSample, model, version, route, requests, errors, latencyBuckets)
RHUBARBARCH_DEFINE_FIELDS(AgentLoad, loaded, reservedKvBytes, queueLength, runs, leaving, drained, heardRouters)
RHUBARBARCH_DEFINE_FIELDS(GrantView, grant, plan, issued, returnedTotal)
RHUBARBARCH_DEFINE_FIELDS(ConfigPoll,
                          instance,
                          role,
                          session,
                          number,
                          readIndex,
                          plansRevision,
                          usesRevision,
                          directoryRevision,
                          movesRevision,
                          demand,
                          samples,
                          load,
                          settledDirectory)
RHUBARBARCH_DEFINE_FIELDS(ConfigState,
                          number,
                          readIndex,
                          sessionLive,
                          hasLists,
                          lists,
                          hasDirectory,
                          directoryRevision,
                          agents,
                          hasMoves,
                          movesRevision,
                          shares,
                          moves,
                          grants,
                          session,
                          silentRouters)
RHUBARBARCH_DEFINE_FIELDS(GrantRequest, session, number, plan, wanted)
RHUBARBARCH_DEFINE_FIELDS(GrantReply, number, plan, status, grant, retryAfterMs)
RHUBARBARCH_DEFINE_FIELDS(GrantCallback, grant, plan, keep)
RHUBARBARCH_DEFINE_FIELDS(GrantReturn, grant, returnedTotal)
RHUBARBARCH_DEFINE_FIELDS(GrantReturned, grant, returnedTotal)
RHUBARBARCH_DEFINE_FIELDS(Charge, request, tokens)
RHUBARBARCH_DEFINE_FIELDS(ChargeBatch, number, grant, charges)
RHUBARBARCH_DEFINE_FIELDS(ChargeAck, number, grant)
RHUBARBARCH_DEFINE_FIELDS(CloseGrant, grant)
RHUBARBARCH_DEFINE_FIELDS(GrantClosed, grant)
RHUBARBARCH_DEFINE_FIELDS(StoredAnswer, httpStatus, contentType, body, bodyOmitted)
RHUBARBARCH_DEFINE_FIELDS(Claim, plan, key, bodyHash, request, attempt, agent, agentBoot, state, answer)
RHUBARBARCH_DEFINE_FIELDS(ClaimRequest, number, session, claim)
RHUBARBARCH_DEFINE_FIELDS(ClaimReply, number, status, claim)
RHUBARBARCH_DEFINE_FIELDS(ClaimUpdate, number, expectedAttempt, claim)
RHUBARBARCH_DEFINE_FIELDS(BrakeReport, session, model, version, route, reason)
RHUBARBARCH_DEFINE_FIELDS(FenceSession, fenceIndex, session)
RHUBARBARCH_DEFINE_FIELDS(GrantReport, grant, charges, openReserved)
RHUBARBARCH_DEFINE_FIELDS(SessionFenced, session, agentSession, grants)
RHUBARBARCH_DEFINE_FIELDS(Order, number, fence, kind, model, version)
RHUBARBARCH_DEFINE_FIELDS(OrderReply, number, accepted, detail)
RHUBARBARCH_DEFINE_FIELDS(ExplainQuery, number, request)
RHUBARBARCH_DEFINE_FIELDS(ExplainReply, number, decisions)

} // namespace rhubarbarch
