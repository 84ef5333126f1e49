#include "rhubarbarch/wire/config.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(PlanEntry, plan, workspace, keyHashes, priority)
RHUBARBARCH_DEFINE_FIELDS(ModelUse, model, versions)
RHUBARBARCH_DEFINE_FIELDS(UseEntry, plan, services, models, budgetTokens)
RHUBARBARCH_DEFINE_FIELDS(RouteEntry, path, service, idempotent, flatTokens)
RHUBARBARCH_DEFINE_FIELDS(Lists, plansRevision, plans, usesRevision, uses, routes)
RHUBARBARCH_DEFINE_FIELDS(UpstreamInfo, name, service, checksFence, kvCapacityBytes)
RHUBARBARCH_DEFINE_FIELDS(LoadedVersion, model, version)
RHUBARBARCH_DEFINE_FIELDS(AgentEntry, instance, session, boot, dataCentre, endpoint, upstream, leaving)
RHUBARBARCH_DEFINE_FIELDS(VersionShare, model, version, perMille)
RHUBARBARCH_DEFINE_FIELDS(Move,
                          id,
                          model,
                          fromVersion,
                          toVersion,
                          requestedUnixMs,
                          deadlineUnixMs,
                          state,
                          perMille,
                          reason,
                          changedUnixMs)

} // namespace rhubarbarch
