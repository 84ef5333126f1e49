#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/gateway/events.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rhubarbarch::gateway {

/// An answer that its upstream broke off before the first event.
struct BrokenCall
{
  std::string request; ///< digest
  std::string upstream;
  std::vector<std::string> subjects;
  TimePoint at;
};

/// What this gateway knows of requests that may crash upstreams. A subject is something that requests have in common.
struct CrashEvidence
{
  std::deque<BrokenCall> broken;                      ///< lately, in order of time
  std::unordered_map<std::string, TimePoint> soundAt; ///< subject: last answer that got past its first event
  std::set<std::string> suspects;                     ///< the leader asks for these
  std::unordered_set<std::string> quarantined;        ///< requests with one of these must not reach an upstream
  bool hasRequests = false;                           ///< some of them are whole requests, not parts of prompts
  std::uint64_t quarantineRevision = 0;
  std::map<std::string, TimePoint> refusedAt; ///< quarantined subjects: last request refused
};

/// @return the subjects that a request may share with others: the first 64 parts of its prompt, without the last one
std::vector<std::string>
subjectsOf(const CallerCall& aCall);

/// @return the subject that stands for all repeats of a request by its caller, whatever their request ids are
std::string
requestSubject(const CallerCall& aCall);

/// Records that an upstream broke off a request's answer before the first event.
void
recordBroken(CrashEvidence& aEvidence, const CallerCall& aCall, const std::string& aUpstream, TimePoint aNow);

/// Records that an answer to a request got past its first event, or is complete.
void
recordSound(CrashEvidence& aEvidence, const CallerCall& aCall, TimePoint aNow);

/// @return the quarantined subject of a request; empty if it has none
std::string
quarantinedSubject(const CrashEvidence& aEvidence, const CallerCall& aCall);

/// @return whether the leader suspects a request or a part of it that has no recent sound answer
bool
isSuspect(const CrashEvidence& aEvidence, const CallerCall& aCall, TimePoint aNow);

/// Takes over the suspects and, unless it is older, the quarantine of an answer.
/// @return whether this gateway knows of a sound answer for a subject that was not suspected before
bool
applySuspects(CrashEvidence& aEvidence, const GatewayState& aAnswer);

/// @return whether the quarantine changed
bool
applyQuarantine(CrashEvidence& aEvidence, const GatewayState& aAnswer);

/// Adds the evidence to a poll and forgets what is too old.
void
reportEvidence(CrashEvidence& aEvidence, GatewayPoll& aPoll, TimePoint aNow);

} // namespace rhubarbarch::gateway
