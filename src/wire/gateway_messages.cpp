#include "rhubarbarch/wire/gateway_messages.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(PlanUse, plan, returned, spent, reserved, target, waiting, issued)
RHUBARBARCH_DEFINE_FIELDS(UpstreamUse, id, running, prefillTokens)
RHUBARBARCH_DEFINE_FIELDS(GatewayPoll,
                          instance,
                          boot,
                          session,
                          number,
                          endpoint,
                          routingVersion,
                          upstreamsRevision,
                          leaving,
                          partial,
                          plans,
                          upstreams)
RHUBARBARCH_DEFINE_FIELDS(PlanAllowance, plan, issued, remaining, recall)
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
                          evacuated)

} // namespace rhubarbarch
