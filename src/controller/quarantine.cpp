#include "quarantine.h"
#include "controllers.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::controller {

namespace {

std::set<std::string>
quarantined(const Context& aContext)
{
  std::set<std::string> subjects;
  std::ranges::transform(
    aContext.state.quarantine.subjects, std::inserter(subjects, subjects.end()), &state::QuarantinedSubject::subject);
  return subjects;
}

void
proposeQuarantine(Context& aContext, const std::string& aSubject, bool aQuarantined)
{
  auto& memory = aContext.memory;
  if (memory.quarantineProposed) {
    return;
  }
  memory.quarantineProposed =
    propose(aContext,
            state::SetQuarantine{ aSubject, aQuarantined },
            [aSubject, aQuarantined](Context& aDone, const state::Outcome& /*aOutcome*/) {
              aDone.memory.quarantineProposed = false;
              log(aDone,
                  aQuarantined ? "subject_quarantined" : "subject_released",
                  { { "subject", aSubject }, { "in_quarantine", aDone.state.quarantine.subjects.size() } },
                  Severity::kWarning);
              announceToGateways(aDone);
            });
}

void
logNewCrashes(Context& aContext, std::size_t aKnown)
{
  const auto& crashes = aContext.memory.crashSuspects.crashes;
  std::for_each(crashes.end() - static_cast<std::ptrdiff_t>(crashes.size() - std::min(aKnown, crashes.size())),
                crashes.end(),
                [&](const Crash& aEach) {
                  log(aContext,
                      "answer_broken_off",
                      { { "upstream", aEach.upstream },
                        { "request_digest", aEach.request },
                        { "subjects", aEach.subjects },
                        { "crashes", crashes.size() } });
                });
}

} // namespace

bool
recordEvidence(Context& aContext, const GatewayPoll& aPoll)
{
  auto& suspects = aContext.memory.crashSuspects;
  const auto known = suspects.crashes.size();
  const bool added = recordCrashes(suspects, aPoll.broken, aContext.now);
  logNewCrashes(aContext, known);
  recordSubjects(suspects, aPoll.subjects, aContext.now);
  return added;
}

void
addSuspects(GatewayState& aAnswer, const Context& aContext)
{
  aAnswer.suspects = suspects(aContext.memory.crashSuspects, aContext.options.gateways, aContext.now);
}

void
addQuarantine(GatewayState& aAnswer, const Context& aContext, const GatewayPoll& aPoll)
{
  const auto& quarantine = aContext.state.quarantine;
  aAnswer.quarantineRevision = toNumber(quarantine.changedAt);
  if (aPoll.quarantineRevision != aAnswer.quarantineRevision) {
    aAnswer.hasQuarantine = true;
    std::ranges::transform(
      quarantine.subjects, std::back_inserter(aAnswer.quarantined), &state::QuarantinedSubject::subject);
  }
}

void
tickQuarantine(Context& aContext)
{
  auto& suspects = aContext.memory.crashSuspects;
  if (suspects.crashes.empty() && aContext.state.quarantine.subjects.empty()) {
    return;
  }
  const auto& options = aContext.options.gateways;
  if (!isDue(aContext, aContext.memory.quarantineCheckedAt, options.quarantinePeriod)) {
    return;
  }
  const auto subjects = quarantined(aContext);
  expireCrashes(suspects, subjects, options, aContext.now);
  if (const auto cause = findCause(suspects, subjects, options, aContext.now); !cause.empty()) {
    proposeQuarantine(aContext, cause, true);
    return;
  }
  const auto inactive = findInactive(suspects, subjects, options, aContext.now);
  if (!inactive.empty()) {
    proposeQuarantine(aContext, inactive.front(), false);
  }
}

} // namespace rhubarbarch::controller
