#include "controllers.h"

#include <chrono>

namespace rhubarbarch::controller {

namespace {

Completion
answerClaim(const Address& aFrom, std::uint64_t aNumber)
{
  return [aFrom, aNumber](Context& aDone, const state::Outcome& aOutcome) {
    const auto& outcome = std::get<state::ClaimOutcome>(aOutcome);
    send(aDone, aFrom, ClaimReply{ aNumber, outcome.status, outcome.claim });
  };
}

} // namespace

bool
handleClaims(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  if (const auto* request = std::get_if<ClaimRequest>(&aMessage)) {
    propose(aContext, state::TakeClaim{ request->claim }, answerClaim(aFrom, request->number));
    return true;
  }
  if (const auto* update = std::get_if<ClaimUpdate>(&aMessage)) {
    propose(aContext,
            state::UpdateClaim{ update->expectedAttempt, update->claim, aContext.unixMs },
            answerClaim(aFrom, update->number));
    return true;
  }
  return false;
}

void
tickClaims(Context& aContext)
{
  if (aContext.now - aContext.memory.claimsExpiredAt < aContext.options.expirePeriod || aContext.unixMs == 0) {
    return;
  }
  aContext.memory.claimsExpiredAt = aContext.now;
  const auto before = aContext.unixMs - Duration(state::kClaimKept).count();
  for (const auto& [key, record] : aContext.state.claims.records) {
    if (record.finalUnixMs != 0 && record.finalUnixMs < before) {
      propose(aContext, state::ExpireClaims{ before });
      return;
    }
  }
}

} // namespace rhubarbarch::controller
