#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/control_messages.h"
#include "rhubarbarch/wire/json_fields.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace rhubarbarch::state {

/// Retention time of a final claim.
inline constexpr std::chrono::hours kClaimKept{ 24 };
/// Largest answer body stored with a claim, in bytes.
inline constexpr std::size_t kMaxStoredBodyBytes = std::size_t{ 64 } * 1024;

/// A claim with the time it became final.
struct ClaimRecord
{
  Claim claim;
  std::int64_t finalUnixMs = 0; ///< zero while running
};

/// Claims by plan and idempotency key.
struct Claims
{
  std::map<std::pair<PlanId, std::string>, ClaimRecord> records;
};

/// Command: claim a plan's idempotency key for a request.
struct TakeClaim
{
  Claim claim;
};

/// Command: bind a running claim to a new attempt, or store its outcome.
struct UpdateClaim
{
  std::uint32_t expectedAttempt = 0;
  Claim claim;
  std::int64_t nowUnixMs = 0;
};

/// Command: remove claims that became final before this time.
struct ExpireClaims
{
  std::int64_t beforeUnixMs = 0;
};

/// Outcome of TakeClaim and UpdateClaim.
struct ClaimOutcome
{
  ClaimStatus status = ClaimStatus::kWon;
  Claim claim; ///< as stored
};

ClaimOutcome
takeClaim(Claims& aClaims, const TakeClaim& aCommand);

ClaimOutcome
updateClaim(Claims& aClaims, const UpdateClaim& aCommand);

void
expireClaims(Claims& aClaims, const ExpireClaims& aCommand);

RHUBARBARCH_DECLARE_FIELDS(ClaimRecord)
RHUBARBARCH_DECLARE_FIELDS(Claims)
RHUBARBARCH_DECLARE_FIELDS(TakeClaim)
RHUBARBARCH_DECLARE_FIELDS(UpdateClaim)
RHUBARBARCH_DECLARE_FIELDS(ExpireClaims)

} // namespace rhubarbarch::state
