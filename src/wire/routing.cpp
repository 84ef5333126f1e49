#include "rhubarbarch/wire/routing.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(ServiceShare, service, weight)
RHUBARBARCH_DEFINE_FIELDS(Route,
                          name,
                          host,
                          pathPrefix,
                          kind,
                          services,
                          timeoutMs,
                          targetLatencyMs,
                          targetGapMs,
                          priority,
                          maxAttempts,
                          isPublic,
                          sharesPrompts,
                          resumable)
RHUBARBARCH_DEFINE_FIELDS(EngineLimits, slots, kvTokens, eventTokens)
RHUBARBARCH_DEFINE_FIELDS(Service, name, healthPath, maxConnections, isEngine, engine)
RHUBARBARCH_DEFINE_FIELDS(CallerLimits, maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs)
RHUBARBARCH_DEFINE_FIELDS(PlanAccess, plan, keys, priority, prepaid)
RHUBARBARCH_DEFINE_FIELDS(RoutingTable, version, routes, services, plans, limits)
RHUBARBARCH_DEFINE_FIELDS(UpstreamEntry, id, service, endpoint, dataCentre, version, slots, coldMs, leaving)

} // namespace rhubarbarch
