#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/controller/options.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::controller {

/// An answer that its upstream broke off, with the subjects that may be the cause.
struct Crash
{
  std::string request; ///< digest; a subject of its own, `request/DIGEST`
  std::string upstream;
  std::vector<std::string> subjects;
  TimePoint at;
  TimePoint reportedAt;
};

/// Crashes of upstreams that no quarantined subject explains, and what gateways know of their subjects.
struct CrashSuspects
{
  std::deque<Crash> crashes;                ///< in the order in which they were reported
  std::map<std::string, TimePoint> soundAt; ///< last sound answer to a request with a subject of `crashes`
  std::map<std::string, TimePoint>
    activeAt; ///< quarantined subjects: last request refused, or start of this leadership
};

/// Merges the broken answers that a gateway reports.
/// @return whether they have subjects that gateways have not been asked for yet
bool
recordCrashes(CrashSuspects& aSuspects, const std::vector<BrokenAnswer>& aReports, TimePoint aNow);

/// Merges what a gateway knows of subjects. A sound answer after a crash shows that the subject did not cause it.
void
recordSubjects(CrashSuspects& aSuspects, const std::vector<SubjectReport>& aReports, TimePoint aNow);

/// Forgets old crashes, and those that a quarantined part explains.
void
expireCrashes(CrashSuspects& aSuspects,
              const std::set<std::string>& aQuarantined,
              const GatewayOptions& aOptions,
              TimePoint aNow);

/// @return the subjects that gateways must report on: those of crashes within `suspectTime`, latest first, at most
/// `maxSuspects`
std::vector<std::string>
suspects(const CrashSuspects& aSuspects, const GatewayOptions& aOptions, TimePoint aNow);

/// Finds a subject that explains enough crashes and is not in quarantine: a request that was repeated, or a part of
/// different requests. Parts that sound requests share with the crashing ones have a later sound answer than the cause,
/// so each crash counts for its part with the oldest one.
/// @return empty if there is none, if gateways have not had the time to report sound answers, or if no crash was
/// reported within `suspectTime`
std::string
findCause(const CrashSuspects& aSuspects,
          const std::set<std::string>& aQuarantined,
          const GatewayOptions& aOptions,
          TimePoint aNow);

/// @return the quarantined subjects for which no request has come for `quarantineTime`
std::vector<std::string>
findInactive(CrashSuspects& aSuspects,
             const std::set<std::string>& aQuarantined,
             const GatewayOptions& aOptions,
             TimePoint aNow);

} // namespace rhubarbarch::controller
