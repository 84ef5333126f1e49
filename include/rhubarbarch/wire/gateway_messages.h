#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"
#include "rhubarbarch/wire/rollouts.h"
#include "rhubarbarch/wire/routing.h"
#include "rhubarbarch/wire/routing_delta.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// A gateway's use of one plan. The counters only grow, so that a repeated or late report changes nothing.
struct PlanUse
{
  PlanId plan;
  Tokens returned = 0;  ///< of all tokens issued to this session, those given back
  Tokens spent = 0;     ///< charged to requests that ended
  Tokens reserved = 0;  ///< by requests in progress
  Tokens target = 0;    ///< tokens that the gateway wants to hold, `spent` and `reserved` included
  Tokens waiting = 0;   ///< part of `target` that requests wait for now
  Tokens issued = 0;    ///< to this session, as the gateway knows; an answer names only what is news to it
  Tokens committed = 0; ///< what open requests may still cost beyond `spent` and `reserved`
};

/// A gateway's requests at one upstream.
struct UpstreamUse
{
  std::string id;
  std::int64_t running = 0;       ///< requests whose answer has not ended
  std::int64_t prefillTokens = 0; ///< of those without a first event
};

/// What a gateway knows of the rate limit of an upstream, and the calls that it wants to make there.
struct LimitReport
{
  std::string upstream;
  double callsPerSecond = 0;      ///< last named by the upstream
  std::int64_t namedAgeMs = -1;   ///< since an answer named it; negative: no answer did
  std::int64_t unnamedAgeMs = -1; ///< since an answer named no limit; negative: no answer since it was limited
  std::int64_t wanted = 0;        ///< calls beyond those that are permitted
};

/// Calls that a gateway may make to an upstream whose rate is limited. They expire some time after the poll was sent.
struct CallPermit
{
  std::string upstream;
  double callsPerSecond = 0; ///< limit in force, for the calls of all gateways together
  std::int64_t calls = 0;
};

/// An answer that its upstream broke off before the first event, as an upstream does that crashes.
struct BrokenAnswer
{
  std::string request; ///< digest of the request; equal for repeats of it under another id
  std::string upstream;
  std::vector<std::string> subjects; ///< what the request shares with others and may have crashed the upstream
  std::int64_t ageMs = 0;
};

/// What a gateway knows of a subject that the leader has asked for or quarantined.
struct SubjectReport
{
  std::string subject;
  std::int64_t soundAgeMs = -1;   ///< since an answer to a request with it got past its first event; negative: never
  std::int64_t refusedAgeMs = -1; ///< since a request was refused because of it; negative: never
};

/// Report of a gateway, repeated all the time; also its heartbeat.
struct GatewayPoll
{
  InstanceId instance;
  Boot boot{};
  SessionId session{};        ///< zero: asks for one
  std::uint64_t number = 0;   ///< grows with each poll of this boot
  std::string endpoint;       ///< `ip:port` of its peer listener
  std::uint64_t answered = 0; ///< highest number of a poll of this boot whose answer has arrived
  std::int64_t routingVersion = 0;
  bool routingRejected = false; ///< changes have arrived that are for another version than this one
  std::uint64_t upstreamsRevision = 0;
  bool leaving = false; ///< shuts down; gives all free tokens back
  bool partial = false; ///< only plans that changed and cannot wait; nothing on upstreams
  std::vector<PlanUse> plans;
  std::vector<UpstreamUse> upstreams;
  std::vector<LimitReport> limits; ///< of upstreams whose rate is limited
  std::uint64_t quarantineRevision = 0;
  std::vector<BrokenAnswer> broken; ///< lately; the same ones in each poll, as answers may be lost
  std::vector<SubjectReport> subjects;
};

/// What the leader knows of one plan.
struct PlanAllowance
{
  PlanId plan;
  Tokens issued = 0;    ///< to this session, ever
  Tokens remaining = 0; ///< of the budget, after all that gateways reported as spent, reserved or committed
  bool recall = false;  ///< give back what no request needs: other gateways wait for tokens
  Tokens counted = -1;  ///< of this session, in `remaining`; negative: not told, by a leader without commitments
};

/// Answer to GatewayPoll, read at a quorum-confirmed index.
struct GatewayState
{
  InstanceId instance; ///< of the gateway
  Boot boot{};
  std::uint64_t number = 0; ///< of the poll
  SessionId session{};
  bool superseded = false; ///< a later boot of the instance has registered: stop
  bool hasRouting = false;
  RoutingTable routing;
  bool hasRoutingDelta = false;
  RoutingDelta routingDelta;       ///< for a gateway that holds the version `routingDelta.base`
  std::int64_t routingVersion = 0; ///< in force; zero: none yet
  /// Latest poll of this session that had arrived when the quorum was asked whether the answering controller leads, so
  /// `routingVersion` was in force at some time after that poll; zero: none.
  std::uint64_t confirmedPoll = 0;
  bool hasUpstreams = false;
  std::uint64_t upstreamsRevision = 0;
  std::int64_t upstreamsAgeMs = -1; ///< since the platform's list was read; negative: never
  std::vector<UpstreamEntry> upstreams;
  bool hasOthersUse = true;
  std::vector<UpstreamUse> othersUse;   ///< sums over all other gateways
  std::vector<PlanAllowance> plans;     ///< those with news for this gateway
  std::vector<std::string> controllers; ///< endpoints of the members
  std::uint32_t gateways = 1;           ///< heard lately
  bool hasPermits = false;
  bool hasQuarantine = false;
  std::uint64_t evacuationsRevision = 0; ///< log index of the last change of `evacuated`
  std::vector<DataCentre> evacuated;     ///< data centres whose upstreams get no new work
  std::uint64_t rolloutsRevision = 0;    ///< log index of the last change of `rollouts`
  std::vector<RolloutRule> rollouts;     ///< the newest of each service that was ever ordered one
  std::vector<CallPermit> permits;       ///< all upstreams whose rate is limited
  std::vector<std::string> suspects;     ///< subjects of broken answers; the gateway reports what it knows of them
  std::uint64_t quarantineRevision = 0;  ///< log index of the last change of `quarantined`
  std::vector<std::string> quarantined;  ///< requests with one of these subjects must not reach an upstream
};

RHUBARBARCH_DECLARE_FIELDS(PlanUse)
RHUBARBARCH_DECLARE_FIELDS(UpstreamUse)
RHUBARBARCH_DECLARE_FIELDS(LimitReport)
RHUBARBARCH_DECLARE_FIELDS(CallPermit)
RHUBARBARCH_DECLARE_FIELDS(BrokenAnswer)
RHUBARBARCH_DECLARE_FIELDS(SubjectReport)
RHUBARBARCH_DECLARE_FIELDS(GatewayPoll)
RHUBARBARCH_DECLARE_FIELDS(PlanAllowance)
RHUBARBARCH_DECLARE_FIELDS(GatewayState)

} // namespace rhubarbarch
