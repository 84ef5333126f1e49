#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// A subject that crashes upstreams, for example a part of a prompt. Requests with it get no upstream.
struct QuarantinedSubject
{
  std::string subject;
  LogIndex since{}; ///< log index of the entry that quarantined it
};

struct Quarantine
{
  std::vector<QuarantinedSubject> subjects; ///< sorted by subject
  LogIndex changedAt{};                     ///< log index of the last change; zero: none
};

/// Command: quarantine a subject or release it.
struct SetQuarantine
{
  std::string subject;
  bool quarantined = true;
};

enum class QuarantineOutcome : std::uint8_t
{
  kChanged,
  kUnchanged ///< the subject was in the requested state already
};

/// Limit on the subjects in quarantine; the one that is in it for the longest time makes room for a new one.
inline constexpr std::size_t kMaxQuarantined = 256;

/// Applies a committed command.
/// @param aIndex index of its log entry
/// @return its outcome. Usage: `apply(quarantine, { "part/5c1e07a2", true }, index)`.
QuarantineOutcome
apply(Quarantine& aQuarantine, const SetQuarantine& aCommand, LogIndex aIndex);

bool
isQuarantined(const Quarantine& aQuarantine, const std::string& aSubject);

RHUBARBARCH_DECLARE_FIELDS(QuarantinedSubject)
RHUBARBARCH_DECLARE_FIELDS(Quarantine)
RHUBARBARCH_DECLARE_FIELDS(SetQuarantine)

} // namespace rhubarbarch::state
