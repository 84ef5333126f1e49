#include "controllers.h"

namespace rhubarbarch::controller {

namespace {

void
chargeBatch(Context& aContext, const Address& aFrom, const ChargeBatch& aBatch)
{
  propose(aContext,
          state::ChargeGrant{ aBatch.grant, aBatch.charges },
          [aFrom, number = aBatch.number, grant = aBatch.grant](Context& aDone, const state::Outcome& aOutcome) {
            const auto& outcome = std::get<state::LedgerOutcome>(aOutcome);
            if (outcome.cut > 0) {
              log(aDone,
                  "charge_cut",
                  { { "grant", toNumber(grant) }, { "tokens_over_grant", outcome.cut }, { "from", aFrom.instance } },
                  Severity::kError);
            }
            send(aDone, aFrom, ChargeAck{ number, grant });
          });
}

void
finishRecall(Context& aContext, GrantId aGrant, const PlanId& aPlan)
{
  auto& recalls = aContext.memory.plans[aPlan].recalls;
  const auto found = recalls.find(aGrant);
  if (found != recalls.end()) {
    found->second.answered = aContext.now;
  }
}

// The recall counts as answered only once the return is committed. Otherwise a waiting request could be refused just
// before its tokens become available.
void
returnTokens(Context& aContext, const Address& aFrom, const GrantReturn& aReturn)
{
  const auto* grant = state::findGrant(aContext.state.ledger, aReturn.grant);
  if (grant == nullptr || aReturn.returnedTotal <= grant->returnedTotal) {
    // A return that is already committed needs no new log entry. A closed grant has returned all its remaining tokens.
    const auto total = grant == nullptr ? aReturn.returnedTotal : grant->returnedTotal;
    if (grant != nullptr) {
      finishRecall(aContext, aReturn.grant, grant->plan);
      serveWaiting(aContext, grant->plan);
    }
    send(aContext, aFrom, GrantReturned{ aReturn.grant, total });
    return;
  }
  propose(aContext,
          state::ReturnGrant{ aReturn.grant, aReturn.returnedTotal },
          [aFrom, id = aReturn.grant, plan = grant->plan](Context& aDone, const state::Outcome& aOutcome) {
            const auto& outcome = std::get<state::LedgerOutcome>(aOutcome);
            send(aDone, aFrom, GrantReturned{ id, outcome.returnedTotal });
            finishRecall(aDone, id, plan);
            serveWaiting(aDone, plan);
          });
}

void
closeGrant(Context& aContext, const Address& aFrom, const CloseGrant& aClose)
{
  const auto* grant = state::findGrant(aContext.state.ledger, aClose.grant);
  if (grant == nullptr) {
    send(aContext, aFrom, GrantClosed{ aClose.grant });
    return;
  }
  propose(aContext,
          state::SettleGrant{ aClose.grant },
          [aFrom, id = aClose.grant, plan = grant->plan](Context& aDone, const state::Outcome& /*aOutcome*/) {
            send(aDone, aFrom, GrantClosed{ id });
            finishRecall(aDone, id, plan);
            serveWaiting(aDone, plan);
          });
}

} // namespace

bool
handleCharges(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  if (const auto* batch = std::get_if<ChargeBatch>(&aMessage)) {
    chargeBatch(aContext, aFrom, *batch);
    return true;
  }
  if (const auto* returned = std::get_if<GrantReturn>(&aMessage)) {
    returnTokens(aContext, aFrom, *returned);
    return true;
  }
  if (const auto* closing = std::get_if<CloseGrant>(&aMessage)) {
    closeGrant(aContext, aFrom, *closing);
    return true;
  }
  return false;
}

void
tickCharges(Context& /*aContext*/)
{
}

} // namespace rhubarbarch::controller
