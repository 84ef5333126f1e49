#include "crash_evidence.h"

#include "rhubarbarch/router/hash.h"

#include <algorithm>
#include <iterator>

namespace rhubarbarch::gateway {

namespace {

/// Broken calls are repeated in polls for this long, so that a new leader learns of them, too.
constexpr Duration kReportTime{ 30'000 };
/// Limit on the broken calls in a poll. Older ones were in many polls before.
constexpr std::size_t kMaxBroken = 32;
/// Limit on the subjects whose sound answers are remembered.
constexpr std::size_t kMaxSound = 8192;
/// When there are more, those without a sound answer for this long are forgotten.
constexpr Duration kSoundTime{ 10'000 };
/// Refusals are reported for this long, over a few polls.
constexpr Duration kRefusalReportTime{ 2000 };
/// Parts of one prompt that count; callers choose their number.
constexpr std::size_t kMaxSubjects = 64;
constexpr std::string_view kRequestPrefix = "request/";

bool
isRequest(const std::string& aSubject)
{
  return aSubject.starts_with(kRequestPrefix);
}

std::int64_t
ageMs(TimePoint aTime, TimePoint aNow)
{
  return (aNow - aTime).count();
}

std::string
digest(const CallerCall& aCall)
{
  const std::string fields = aCall.key + '\n' + aCall.method + '\n' + aCall.host + '\n' + aCall.target + '\n';
  return router::sha256Hex(fields + *aCall.body).substr(0, 32);
}

} // namespace

std::vector<std::string>
subjectsOf(const CallerCall& aCall)
{
  std::vector<std::string> subjects;
  const auto shared = aCall.prompt.empty() ? 0 : std::min(aCall.prompt.size() - 1, kMaxSubjects);
  std::transform(aCall.prompt.begin(),
                 aCall.prompt.begin() + static_cast<std::ptrdiff_t>(shared),
                 std::back_inserter(subjects),
                 [](const PromptPart& aPart) { return "part/" + aPart.id; });
  return subjects;
}

std::string
requestSubject(const CallerCall& aCall)
{
  return std::string(kRequestPrefix) + digest(aCall);
}

void
recordBroken(CrashEvidence& aEvidence, const CallerCall& aCall, const std::string& aUpstream, TimePoint aNow)
{
  aEvidence.broken.push_back({ digest(aCall), aUpstream, subjectsOf(aCall), aNow });
  if (aEvidence.broken.size() > kMaxBroken) {
    aEvidence.broken.pop_front();
  }
}

void
recordSound(CrashEvidence& aEvidence, const CallerCall& aCall, TimePoint aNow)
{
  auto& soundAt = aEvidence.soundAt;
  for (auto& subject : subjectsOf(aCall)) {
    soundAt.insert_or_assign(std::move(subject), aNow);
  }
  // Only requests that are suspected, or may be soon, are worth a digest of their body.
  if (!aEvidence.broken.empty() || std::ranges::any_of(aEvidence.suspects, isRequest)) {
    soundAt.insert_or_assign(requestSubject(aCall), aNow);
  }
  if (soundAt.size() > kMaxSound) {
    std::erase_if(soundAt, [&](const auto& aItem) { return aNow - aItem.second >= kSoundTime; });
  }
  if (soundAt.size() > kMaxSound) {
    soundAt.clear();
  }
}

std::string
quarantinedSubject(const CrashEvidence& aEvidence, const CallerCall& aCall)
{
  if (aEvidence.quarantined.empty()) {
    return {};
  }
  const auto subjects = subjectsOf(aCall);
  const auto found =
    std::ranges::find_if(subjects, [&](const std::string& aEach) { return aEvidence.quarantined.contains(aEach); });
  if (found != subjects.end()) {
    return *found;
  }
  if (aEvidence.hasRequests) {
    const auto request = requestSubject(aCall);
    return aEvidence.quarantined.contains(request) ? request : std::string{};
  }
  return {};
}

bool
isSuspect(const CrashEvidence& aEvidence, const CallerCall& aCall, TimePoint aNow)
{
  if (aEvidence.suspects.empty()) {
    return false;
  }
  auto subjects = subjectsOf(aCall);
  subjects.push_back(requestSubject(aCall));
  return std::ranges::any_of(subjects, [&](const std::string& aEach) {
    const auto sound = aEvidence.soundAt.find(aEach);
    const bool recent = sound != aEvidence.soundAt.end() && aNow - sound->second < kSoundTime;
    return aEvidence.suspects.contains(aEach) && !recent;
  });
}

bool
applySuspects(CrashEvidence& aEvidence, const GatewayState& aAnswer)
{
  const auto isNews = [&](const std::string& aEach) {
    return !aEvidence.suspects.contains(aEach) && aEvidence.soundAt.contains(aEach);
  };
  const bool news = std::ranges::any_of(aAnswer.suspects, isNews);
  aEvidence.suspects = { aAnswer.suspects.begin(), aAnswer.suspects.end() };
  return news;
}

bool
applyQuarantine(CrashEvidence& aEvidence, const GatewayState& aAnswer)
{
  if (!aAnswer.hasQuarantine || aAnswer.quarantineRevision <= aEvidence.quarantineRevision) {
    return false;
  }
  aEvidence.quarantineRevision = aAnswer.quarantineRevision;
  aEvidence.quarantined = { aAnswer.quarantined.begin(), aAnswer.quarantined.end() };
  aEvidence.hasRequests = std::ranges::any_of(aAnswer.quarantined, isRequest);
  std::erase_if(aEvidence.refusedAt, [&](const auto& aItem) { return !aEvidence.quarantined.contains(aItem.first); });
  return true;
}

void
reportEvidence(CrashEvidence& aEvidence, GatewayPoll& aPoll, TimePoint aNow)
{
  std::erase_if(aEvidence.broken, [&](const BrokenCall& aEach) { return aNow - aEach.at >= kReportTime; });
  aPoll.quarantineRevision = aEvidence.quarantineRevision;
  std::ranges::transform(aEvidence.broken, std::back_inserter(aPoll.broken), [&](const BrokenCall& aEach) {
    return BrokenAnswer{ aEach.request, aEach.upstream, aEach.subjects, ageMs(aEach.at, aNow) };
  });
  for (const auto& subject : aEvidence.suspects) {
    if (const auto sound = aEvidence.soundAt.find(subject); sound != aEvidence.soundAt.end()) {
      aPoll.subjects.push_back({ subject, ageMs(sound->second, aNow), -1 });
    }
  }
  for (const auto& [subject, at] : aEvidence.refusedAt) {
    if (aNow - at < kRefusalReportTime) {
      aPoll.subjects.push_back({ subject, -1, ageMs(at, aNow) });
    }
  }
}

} // namespace rhubarbarch::gateway
