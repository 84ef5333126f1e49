#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// How often a request of a route may run.
enum class CallKind : std::uint8_t
{
  kIdempotent, ///< any number of times
  kOnce,       ///< at most once
  kStream      ///< a stream of events; at most once, unless the route is resumable
};

/// Part of a route's traffic that goes to one service.
struct ServiceShare
{
  std::string service;
  double weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// A place that callers may ask for, and how its requests are treated.
struct Route
{
  std::string name;
  std::string host;       ///< without port, lower case
  std::string pathPrefix; ///< begins and ends with a slash
  CallKind kind = CallKind::kIdempotent;
  std::vector<ServiceShare> services;
  std::int64_t timeoutMs = 0;       ///< longest time that a request is kept
  std::int64_t targetLatencyMs = 0; ///< time to the answer, of streams to the first event, that the operator aims at
  std::int64_t targetGapMs = 0;     ///< streams: longest pause between events that the operator aims at
  std::int32_t priority = 0;        ///< 0 is the most urgent
  std::int32_t maxAttempts = 1;     ///< upstreams that may run one request
  bool isPublic = false;            ///< needs no API key
  bool sharesPrompts = false;       ///< requests say which parts of their prompts they share
  bool resumable = false;           ///< streams: another upstream may go on after an event

  bool operator==(const Route&) const = default;
};

/// What is known of the model engines of a service.
struct EngineLimits
{
  std::int64_t slots = 0;       ///< requests that run at once
  std::int64_t kvTokens = 0;    ///< tokens that its memory holds
  std::int64_t eventTokens = 1; ///< most output tokens of one event

  bool operator==(const EngineLimits&) const = default;
};

/// A set of upstreams that are alike.
struct Service
{
  std::string name;
  std::string healthPath;
  std::int64_t maxConnections = 0; ///< of one upstream, from all callers
  bool isEngine = false;
  EngineLimits engine;           ///< engines only
  double coldCallsPerSecond = 0; ///< calls that one upstream bears from all callers while it is cold; zero: no limit

  bool operator==(const Service&) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::int64_t maxHeaderBytes = 0;
  std::int64_t maxBodyBytes = 0;
  std::int64_t headerTimeoutMs = 0;
  std::int64_t idleTimeoutMs = 0;

  bool operator==(const CallerLimits&) const = default;
};

/// A plan, its keys and its prepaid budget.
struct PlanAccess
{
  PlanId plan;
  std::vector<std::string> keys;
  std::int32_t priority = -1; ///< goes before the route's; negative: none
  Tokens prepaid = -1;        ///< total paid; negative: not limited

  bool operator==(const PlanAccess&) const = default;
};

/// Everything that operators set, as one document. Routers take it as a whole.
struct RoutingTable
{
  std::int64_t version = 0; ///< chosen by the operator; the highest is in force
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<PlanAccess> plans;
  CallerLimits limits;

  bool operator==(const RoutingTable&) const = default;
};

/// One upstream in the platform's list.
struct UpstreamEntry
{
  std::string id; ///< of one run of the upstream
  std::string service;
  std::string endpoint; ///< `ip:port`
  DataCentre dataCentre;
  VersionName version;
  std::int64_t slots = 0;
  std::int64_t coldMs = 0; ///< how much longer it is slow after its start
  bool leaving = false;

  bool operator==(const UpstreamEntry&) const = default;
};

RHUBARBARCH_DECLARE_FIELDS(ServiceShare)
RHUBARBARCH_DECLARE_FIELDS(Route)
RHUBARBARCH_DECLARE_FIELDS(EngineLimits)
RHUBARBARCH_DECLARE_FIELDS(Service)
RHUBARBARCH_DECLARE_FIELDS(CallerLimits)
RHUBARBARCH_DECLARE_FIELDS(PlanAccess)
RHUBARBARCH_DECLARE_FIELDS(RoutingTable)
RHUBARBARCH_DECLARE_FIELDS(UpstreamEntry)

} // namespace rhubarbarch
