#include "rhubarbarch/wire/gateway_messages.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(PlanUse, plan, returned, spent, reserved, target, waiting, issued, committed)
RHUBARBARCH_DEFINE_FIELDS(UpstreamUse, id, running, prefillTokens)
RHUBARBARCH_DEFINE_FIELDS(LimitReport, upstream, callsPerSecond, namedAgeMs, unnamedAgeMs, wanted)
RHUBARBARCH_DEFINE_FIELDS(CallPermit, upstream, callsPerSecond, calls)
RHUBARBARCH_DEFINE_FIELDS(BrokenAnswer, request, upstream, subjects, ageMs)
RHUBARBARCH_DEFINE_FIELDS(SubjectReport, subject, soundAgeMs, refusedAgeMs)
RHUBARBARCH_DEFINE_FIELDS(GatewayPoll,
                          instance,
                          boot,
                          session,
                          number,
                          endpoint,
                          answered,
                          routingVersion,
                          routingRejected,
                          upstreamsRevision,
                          leaving,
                          partial,
                          plans,
                          upstreams,
                          limits,
                          quarantineRevision,
                          broken,
                          subjects)
RHUBARBARCH_DEFINE_FIELDS(PlanAllowance, plan, issued, remaining, recall, counted)
RHUBARBARCH_DEFINE_FIELDS(GatewayState,
                          instance,
                          boot,
                          number,
                          session,
                          superseded,
                          hasRouting,
                          routing,
                          hasRoutingDelta,
                          routingDelta,
                          routingVersion,
                          confirmedPoll,
                          hasUpstreams,
                          upstreamsRevision,
                          upstreamsAgeMs,
                          upstreams,
                          hasOthersUse,
                          othersUse,
                          plans,
                          controllers,
                          gateways,
                          evacuationsRevision,
                          evacuated,
                          rolloutsRevision,
                          rollouts,
                          hasPermits,
                          permits,
                          suspects,
                          hasQuarantine,
                          quarantineRevision,
                          quarantined)

} // namespace rhubarbarch
