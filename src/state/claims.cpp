#include "rhubarbarch/state/claims.h"

#include <utility>

namespace rhubarbarch::state {

namespace {

// Final claims are retained for at least a day, so the stored body has a size limit. Without the body, the caller still
// gets the status.
void
omitLargeBody(StoredAnswer& aAnswer)
{
  if (aAnswer.body.data.size() > kMaxStoredBodyBytes) {
    aAnswer.body.data.clear();
    aAnswer.bodyOmitted = true;
  }
}

bool
isRepeat(const Claim& aStored, const Claim& aUpdate)
{
  return aStored.state == aUpdate.state && aStored.attempt == aUpdate.attempt && aStored.agent == aUpdate.agent &&
         aStored.agentBoot == aUpdate.agentBoot;
}

// A rebind needs a larger attempt number: two routers that have both confirmed that the run did not happen cannot
// start one attempt each.
bool
isAllowed(const Claim& aStored, const UpdateClaim& aCommand)
{
  if (aStored.state != ClaimState::kRunning || aStored.attempt != aCommand.expectedAttempt) {
    return false;
  }
  return aCommand.claim.state != ClaimState::kRunning || aCommand.claim.attempt > aStored.attempt;
}

void
rebind(Claim& aStored, const Claim& aUpdate)
{
  aStored.attempt = aUpdate.attempt;
  aStored.agent = aUpdate.agent;
  aStored.agentBoot = aUpdate.agentBoot;
}

void
finish(ClaimRecord& aRecord, const UpdateClaim& aCommand)
{
  aRecord.claim.state = aCommand.claim.state;
  aRecord.claim.answer = aCommand.claim.answer;
  omitLargeBody(aRecord.claim.answer);
  aRecord.finalUnixMs = aCommand.nowUnixMs;
}

} // namespace

ClaimOutcome
takeClaim(Claims& aClaims, const TakeClaim& aCommand)
{
  const auto [found, isNew] =
    aClaims.records.emplace(std::pair{ aCommand.claim.plan, aCommand.claim.key }, ClaimRecord{ aCommand.claim, 0 });
  auto& stored = found->second.claim;
  if (isNew) {
    stored.state = ClaimState::kRunning;
    stored.answer = {};
    return { ClaimStatus::kWon, stored };
  }
  if (stored.bodyHash != aCommand.claim.bodyHash) {
    return { ClaimStatus::kConflict, stored };
  }
  return { stored.request == aCommand.claim.request ? ClaimStatus::kWon : ClaimStatus::kExists, stored };
}

ClaimOutcome
updateClaim(Claims& aClaims, const UpdateClaim& aCommand)
{
  const auto found = aClaims.records.find({ aCommand.claim.plan, aCommand.claim.key });
  if (found == aClaims.records.end()) {
    auto unknown = aCommand.claim;
    unknown.state = ClaimState::kUnknown;
    return { ClaimStatus::kExists, unknown };
  }
  auto& stored = found->second.claim;
  if (stored.request != aCommand.claim.request) {
    return { ClaimStatus::kExists, stored };
  }
  if (isRepeat(stored, aCommand.claim)) {
    return { ClaimStatus::kWon, stored };
  }
  if (!isAllowed(stored, aCommand)) {
    return { ClaimStatus::kExists, stored };
  }
  if (aCommand.claim.state == ClaimState::kRunning) {
    rebind(stored, aCommand.claim);
  } else {
    finish(found->second, aCommand);
  }
  return { ClaimStatus::kWon, stored };
}

void
expireClaims(Claims& aClaims, const ExpireClaims& aCommand)
{
  std::erase_if(aClaims.records, [&](const auto& aItem) {
    const auto& record = aItem.second;
    return record.claim.state != ClaimState::kRunning && record.finalUnixMs < aCommand.beforeUnixMs;
  });
}

} // namespace rhubarbarch::state
