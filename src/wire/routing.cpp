#include "rhubarbarch/wire/routing.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(ServiceShare, service, weight)
namespace {

/// The form of routes in logs of earlier versions.
void
readNamed(const nlohmann::json& aJson, Route& aRoute)
{
  aRoute.name = aJson.value("name", aRoute.name);
  aRoute.host = aJson.value("host", aRoute.host);
  aRoute.pathPrefix = aJson.value("pathPrefix", aRoute.pathPrefix);
  aRoute.kind = aJson.value("kind", aRoute.kind);
  aRoute.services = aJson.value("services", aRoute.services);
  aRoute.timeoutMs = aJson.value("timeoutMs", aRoute.timeoutMs);
  aRoute.targetLatencyMs = aJson.value("targetLatencyMs", aRoute.targetLatencyMs);
  aRoute.targetGapMs = aJson.value("targetGapMs", aRoute.targetGapMs);
  aRoute.priority = aJson.value("priority", aRoute.priority);
  aRoute.maxAttempts = aJson.value("maxAttempts", aRoute.maxAttempts);
  aRoute.isPublic = aJson.value("isPublic", aRoute.isPublic);
  aRoute.sharesPrompts = aJson.value("sharesPrompts", aRoute.sharesPrompts);
  aRoute.resumable = aJson.value("resumable", aRoute.resumable);
}

} // namespace

/// An array in the order of the members: documents hold some thousand routes, whose names of members would be most of
/// their size.
void
to_json(nlohmann::json& aJson, const Route& aRoute)
{
  aJson = nlohmann::json::array({ aRoute.name,
                                  aRoute.host,
                                  aRoute.pathPrefix,
                                  aRoute.kind,
                                  aRoute.services,
                                  aRoute.timeoutMs,
                                  aRoute.targetLatencyMs,
                                  aRoute.targetGapMs,
                                  aRoute.priority,
                                  aRoute.maxAttempts,
                                  aRoute.isPublic,
                                  aRoute.sharesPrompts,
                                  aRoute.resumable });
}

void
from_json(const nlohmann::json& aJson, Route& aRoute)
{
  if (!aJson.is_array()) {
    readNamed(aJson, aRoute);
    return;
  }
  std::size_t next = 0;
  const auto read = [&](auto& aMember) {
    if (next < aJson.size()) {
      aJson[next].get_to(aMember);
    }
    ++next;
  };
  read(aRoute.name);
  read(aRoute.host);
  read(aRoute.pathPrefix);
  read(aRoute.kind);
  read(aRoute.services);
  read(aRoute.timeoutMs);
  read(aRoute.targetLatencyMs);
  read(aRoute.targetGapMs);
  read(aRoute.priority);
  read(aRoute.maxAttempts);
  read(aRoute.isPublic);
  read(aRoute.sharesPrompts);
  read(aRoute.resumable);
}

RHUBARBARCH_DEFINE_FIELDS(EngineLimits, slots, kvTokens, eventTokens)
RHUBARBARCH_DEFINE_FIELDS(Service, name, healthPath, maxConnections, isEngine, engine, coldCallsPerSecond)
RHUBARBARCH_DEFINE_FIELDS(CallerLimits, maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs)
RHUBARBARCH_DEFINE_FIELDS(PlanAccess, plan, keys, priority, prepaid)
RHUBARBARCH_DEFINE_FIELDS(RoutingTable, version, routes, services, plans, limits)
RHUBARBARCH_DEFINE_FIELDS(UpstreamEntry, id, service, endpoint, dataCentre, version, slots, coldMs, leaving)

} // namespace rhubarbarch
