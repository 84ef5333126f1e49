#include "crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace rhubarbarch::controller {

namespace {

/// Limit on the crashes that are remembered, and on the subjects of each.
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxSubjects = 64;
/// Crashes within this time of each other may have one cause, such as a machine or a network. Gateways notice a closed
/// connection within milliseconds. A request that crashes one upstream after the other takes longer from one to the
/// next: it must be sent again and begun.
constexpr Duration kTogetherTime{ 50 };
/// From this many upstreams on, crashes within that time are one event. Two are not, since two requests may crash
/// upstreams at the same time by chance.
constexpr std::size_t kTogetherUpstreams = 3;

/// @return time of the last sound answer; the earliest time if there was none
TimePoint
soundAt(const CrashSuspects& aSuspects, const std::string& aSubject)
{
  const auto found = aSuspects.soundAt.find(aSubject);
  return found == aSuspects.soundAt.end() ? TimePoint::min() : found->second;
}

/// @return the subject that stands for all repeats of a request
std::string
requestSubject(const std::string& aDigest)
{
  return "request/" + aDigest;
}

/// Calls `aCount` for each part that may have caused a crash: no sound answer since then, and no other part of the
/// request whose last sound answer is older.
template<typename Function>
void
forEachPartInDoubt(const CrashSuspects& aSuspects, const Crash& aCrash, Function&& aCount)
{
  auto oldest = TimePoint::max();
  for (const auto& subject : aCrash.subjects) {
    oldest = std::min(oldest, soundAt(aSuspects, subject));
  }
  if (oldest >= aCrash.at) {
    return;
  }
  for (const auto& subject : aCrash.subjects) {
    if (soundAt(aSuspects, subject) == oldest) {
      aCount(subject);
    }
  }
}

/// Crashes that a subject may have caused.
struct Explained
{
  std::set<std::string> upstreams;
  std::set<std::string> requests;
};

using ExplainedBySubject = std::map<std::string, Explained>;

/// Crashes within `kTogetherTime` after the first of them.
struct CrashEvent
{
  std::size_t number = 0;
  TimePoint from;
  std::set<std::string> upstreams;
};

/// @return the events in order of time, each with the crashes up to the next one
std::vector<CrashEvent>
findEvents(const std::deque<Crash>& aCrashes)
{
  std::vector<const Crash*> sorted;
  std::ranges::transform(aCrashes, std::back_inserter(sorted), [](const Crash& aEach) { return &aEach; });
  std::ranges::sort(sorted, {}, &Crash::at);
  std::vector<CrashEvent> events;
  for (const auto* crash : sorted) {
    if (events.empty() || crash->at - events.back().from >= kTogetherTime) {
      events.push_back({ events.size(), crash->at, {} });
    }
    events.back().upstreams.insert(crash->upstream);
  }
  return events;
}

/// Counts a crash for a subject. That a request was open on upstreams that crashed together is no proof against it:
/// they count like one upstream.
void
count(Explained& aExplained, const Crash& aCrash, const std::vector<CrashEvent>& aEvents)
{
  const auto next = std::ranges::upper_bound(aEvents, aCrash.at, {}, &CrashEvent::from);
  const auto& event = *std::prev(next);
  const bool together = event.upstreams.size() >= kTogetherUpstreams;
  const auto name = "event " + std::to_string(event.number);
  aExplained.upstreams.insert(together ? name : aCrash.upstream);
  aExplained.requests.insert(together ? name : aCrash.request);
}

/// @return the subject that explains crashes of the most upstreams; empty if fewer than `crashesToQuarantine`
template<typename Function>
std::string
strongestCause(const ExplainedBySubject& aExplained, const GatewayOptions& aOptions, Function&& aCount)
{
  const auto most = std::ranges::max_element(aExplained, {}, [&](const auto& aItem) { return aCount(aItem.second); });
  const bool enough = most != aExplained.end() && aCount(most->second) >= aOptions.crashesToQuarantine;
  return enough ? most->first : std::string{};
}

bool
isKnown(const CrashSuspects& aSuspects, const BrokenAnswer& aReport)
{
  return std::ranges::any_of(aSuspects.crashes, [&](const Crash& aEach) {
    return aEach.request == aReport.request && aEach.upstream == aReport.upstream;
  });
}

bool
isSuspect(const CrashSuspects& aSuspects, const std::string& aSubject)
{
  return std::ranges::any_of(aSuspects.crashes, [&](const Crash& aEach) {
    return requestSubject(aEach.request) == aSubject ||
           std::ranges::find(aEach.subjects, aSubject) != aEach.subjects.end();
  });
}

} // namespace

bool
recordCrashes(CrashSuspects& aSuspects, const std::vector<BrokenAnswer>& aReports, TimePoint aNow)
{
  bool added = false;
  for (const auto& report : aReports) {
    if (report.subjects.size() > kMaxSubjects || isKnown(aSuspects, report)) {
      continue;
    }
    added =
      added || !isSuspect(aSuspects, requestSubject(report.request)) ||
      std::ranges::any_of(report.subjects, [&](const std::string& aEach) { return !isSuspect(aSuspects, aEach); });
    const auto age = Duration(std::max<std::int64_t>(report.ageMs, 0));
    aSuspects.crashes.push_back({ report.request, report.upstream, report.subjects, aNow - age, aNow });
    if (aSuspects.crashes.size() > kMaxCrashes) {
      aSuspects.crashes.pop_front();
    }
  }
  return added;
}

void
recordSubjects(CrashSuspects& aSuspects, const std::vector<SubjectReport>& aReports, TimePoint aNow)
{
  for (const auto& report : aReports) {
    if (report.soundAgeMs >= 0 && isSuspect(aSuspects, report.subject)) {
      auto& at = aSuspects.soundAt.try_emplace(report.subject, TimePoint::min()).first->second;
      at = std::max(at, aNow - Duration(report.soundAgeMs));
    }
    if (report.refusedAgeMs >= 0) {
      if (const auto active = aSuspects.activeAt.find(report.subject); active != aSuspects.activeAt.end()) {
        active->second = std::max(active->second, aNow - Duration(report.refusedAgeMs));
      }
    }
  }
}

void
expireCrashes(CrashSuspects& aSuspects,
              const std::set<std::string>& aQuarantined,
              const GatewayOptions& aOptions,
              TimePoint aNow)
{
  std::erase_if(aSuspects.crashes, [&](const Crash& aEach) {
    return aNow - aEach.at >= aOptions.crashRetention ||
           std::ranges::any_of(aEach.subjects, [&](const auto& aSubject) { return aQuarantined.contains(aSubject); });
  });
  std::erase_if(aSuspects.soundAt, [&](const auto& aItem) { return !isSuspect(aSuspects, aItem.first); });
}

std::vector<std::string>
suspects(const CrashSuspects& aSuspects, const GatewayOptions& aOptions, TimePoint aNow)
{
  std::vector<std::string> found;
  const auto add = [&](const std::string& aSubject) {
    if (found.size() < aOptions.maxSuspects && std::ranges::find(found, aSubject) == found.end()) {
      found.push_back(aSubject);
    }
  };
  for (auto crash = aSuspects.crashes.rbegin();
       crash != aSuspects.crashes.rend() && aNow - crash->reportedAt < aOptions.suspectTime;
       ++crash) {
    std::ranges::for_each(crash->subjects, add);
    add(requestSubject(crash->request));
  }
  return found;
}

std::string
findCause(const CrashSuspects& aSuspects,
          const std::set<std::string>& aQuarantined,
          const GatewayOptions& aOptions,
          TimePoint aNow)
{
  // Only new crashes can make a subject a cause, and deciding costs time in proportion to all remembered ones.
  if (aSuspects.crashes.empty() || aNow - aSuspects.crashes.back().reportedAt >= aOptions.suspectTime) {
    return {};
  }
  const auto events = findEvents(aSuspects.crashes);
  ExplainedBySubject requests;
  ExplainedBySubject parts;
  for (const auto& crash : aSuspects.crashes) {
    if (aNow - crash.reportedAt < aOptions.crashSettleTime) {
      continue;
    }
    const auto request = requestSubject(crash.request);
    if (!aQuarantined.contains(request) && soundAt(aSuspects, request) < crash.at) {
      count(requests[request], crash, events);
    }
    forEachPartInDoubt(aSuspects, crash, [&](const std::string& aPart) { count(parts[aPart], crash, events); });
  }
  // Repeats of one request show that it crashes upstreams, but not which part of it does.
  const auto part = strongestCause(
    parts, aOptions, [](const Explained& aEach) { return std::min(aEach.upstreams.size(), aEach.requests.size()); });
  return !part.empty()
           ? part
           : strongestCause(requests, aOptions, [](const Explained& aEach) { return aEach.upstreams.size(); });
}

std::vector<std::string>
findInactive(CrashSuspects& aSuspects,
             const std::set<std::string>& aQuarantined,
             const GatewayOptions& aOptions,
             TimePoint aNow)
{
  std::erase_if(aSuspects.activeAt, [&](const auto& aItem) { return !aQuarantined.contains(aItem.first); });
  std::vector<std::string> inactive;
  for (const auto& subject : aQuarantined) {
    const auto& activeAt = aSuspects.activeAt.try_emplace(subject, aNow).first->second;
    if (aNow - activeAt >= aOptions.quarantineTime) {
      inactive.push_back(subject);
    }
  }
  return inactive;
}

} // namespace rhubarbarch::controller
