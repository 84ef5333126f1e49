#include "rhubarbarch/state/ledger.h"

#include "rhubarbarch/state/replicated_state.h"

#include <algorithm>

namespace rhubarbarch::state {

namespace {

void
removeGrant(std::vector<GrantId>& aGrants, GrantId aGrant)
{
  std::erase(aGrants, aGrant);
}

const Grant*
findIssuedGrant(const Ledger& aLedger, const IssueGrant& aCommand)
{
  if (aCommand.number == 0) {
    return nullptr;
  }
  const auto session = aLedger.bySession.find(aCommand.session);
  if (session == aLedger.bySession.end()) {
    return nullptr;
  }
  for (const auto id : session->second) {
    const auto& grant = aLedger.grants.at(id);
    if (grant.number == aCommand.number) {
      return &grant;
    }
  }
  return nullptr;
}

void
raiseReturned(Account& aAccount, Grant& aGrant, Tokens aTokens)
{
  aGrant.returnedTotal += aTokens;
  aAccount.granted -= aTokens;
}

} // namespace

GrantView
view(const Grant& aGrant)
{
  return { aGrant.id, aGrant.plan, aGrant.issued, aGrant.returnedTotal };
}

const Account*
findAccount(const Ledger& aLedger, const PlanId& aPlan)
{
  const auto found = aLedger.accounts.find(aPlan);
  return found == aLedger.accounts.end() ? nullptr : &found->second;
}

const Grant*
findGrant(const Ledger& aLedger, GrantId aGrant)
{
  const auto found = aLedger.grants.find(aGrant);
  return found == aLedger.grants.end() ? nullptr : &found->second;
}

Grant*
findGrant(Ledger& aLedger, GrantId aGrant)
{
  const auto found = aLedger.grants.find(aGrant);
  return found == aLedger.grants.end() ? nullptr : &found->second;
}

std::vector<GrantId>
grantsOf(const Ledger& aLedger, SessionId aSession)
{
  const auto found = aLedger.bySession.find(aSession);
  return found == aLedger.bySession.end() ? std::vector<GrantId>{} : found->second;
}

IssueOutcome
issue(Ledger& aLedger, const IssueGrant& aCommand, LogIndex aIndex)
{
  if (const auto* earlier = findIssuedGrant(aLedger, aCommand)) {
    return { true, view(*earlier) };
  }
  const auto found = aLedger.accounts.find(aCommand.plan);
  if (found == aLedger.accounts.end() || !found->second.listed) {
    return {};
  }
  auto& account = found->second;
  const auto tokens = std::min(aCommand.tokens, available(account));
  if (tokens <= 0 || tokens < aCommand.minimum) {
    return {};
  }
  Grant grant;
  grant.id = GrantId{ toNumber(aIndex) };
  grant.plan = aCommand.plan;
  grant.holder = aCommand.session;
  grant.number = aCommand.number;
  grant.directory = aCommand.directory;
  grant.issued = tokens;
  account.granted += tokens;
  account.grants.push_back(grant.id);
  aLedger.bySession[grant.holder].push_back(grant.id);
  const auto issuedView = view(grant);
  aLedger.grants.emplace(grant.id, std::move(grant));
  return { true, issuedView };
}

LedgerOutcome
returnTokens(Ledger& aLedger, const ReturnGrant& aCommand)
{
  auto* grant = findGrant(aLedger, aCommand.grant);
  if (grant == nullptr) {
    return { false, aCommand.returnedTotal, 0 };
  }
  const auto requested = aCommand.returnedTotal - grant->returnedTotal;
  const auto tokens = std::clamp<Tokens>(requested, 0, held(*grant) - grant->charged);
  raiseReturned(aLedger.accounts[grant->plan], *grant, tokens);
  return { true, grant->returnedTotal, 0 };
}

LedgerOutcome
charge(Ledger& aLedger, const ChargeGrant& aCommand)
{
  auto* grant = findGrant(aLedger, aCommand.grant);
  if (grant == nullptr) {
    return { false, 0, 0 };
  }
  LedgerOutcome outcome;
  for (const auto& requested : aCommand.charges) {
    if (grant->charges.contains(requested.request)) {
      continue;
    }
    const auto uncharged = held(*grant) - grant->charged;
    const auto tokens = std::clamp<Tokens>(requested.tokens, 0, uncharged);
    outcome.cut += std::max<Tokens>(requested.tokens - tokens, 0);
    grant->charges.emplace(requested.request, tokens);
    grant->charged += tokens;
    aLedger.accounts[grant->plan].chargedOpen += tokens;
  }
  outcome.returnedTotal = grant->returnedTotal;
  return outcome;
}

void
close(Ledger& aLedger, GrantId aGrant, Tokens aInDoubt)
{
  const auto found = aLedger.grants.find(aGrant);
  if (found == aLedger.grants.end()) {
    return;
  }
  const auto& grant = found->second;
  auto& account = aLedger.accounts[grant.plan];
  account.settled += grant.charged;
  account.chargedOpen -= grant.charged;
  account.inDoubt += std::clamp<Tokens>(aInDoubt, 0, held(grant) - grant.charged);
  account.granted -= held(grant);
  removeGrant(account.grants, aGrant);
  const auto session = aLedger.bySession.find(grant.holder);
  removeGrant(session->second, aGrant);
  if (session->second.empty()) {
    aLedger.bySession.erase(session);
  }
  aLedger.grants.erase(found);
}

void
beginFencing(Ledger& aLedger, GrantId aGrant, bool aRestInDoubt)
{
  auto* grant = findGrant(aLedger, aGrant);
  grant->state = GrantState::kFencing;
  grant->unprovedRest = aRestInDoubt;
}

void
rebuildIndexes(Ledger& aLedger)
{
  aLedger.bySession.clear();
  for (const auto& [id, grant] : aLedger.grants) {
    auto& account = aLedger.accounts[grant.plan];
    account.granted += held(grant);
    account.chargedOpen += grant.charged;
    account.grants.push_back(id);
    aLedger.bySession[grant.holder].push_back(id);
  }
}

LedgerOutcome
apply(ReplicatedState& aState, const ReturnGrant& aCommand, LogIndex /*aIndex*/)
{
  return returnTokens(aState.ledger, aCommand);
}

LedgerOutcome
apply(ReplicatedState& aState, const ChargeGrant& aCommand, LogIndex /*aIndex*/)
{
  return charge(aState.ledger, aCommand);
}

LedgerOutcome
apply(ReplicatedState& aState, const SettleGrant& aCommand, LogIndex /*aIndex*/)
{
  const bool found = findGrant(aState.ledger, aCommand.grant) != nullptr;
  close(aState.ledger, aCommand.grant, 0);
  return { found, 0, 0 };
}

} // namespace rhubarbarch::state
