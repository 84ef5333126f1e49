#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/control_messages.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rhubarbarch::state {

/// State of a grant.
enum class GrantState : std::uint8_t
{
  kOpen,
  kFencing ///< its holder is fenced; waiting for reports of agents
};

/// Tokens of one plan that one router may spend.
struct Grant
{
  GrantId id{};
  PlanId plan;
  SessionId holder{};
  std::uint64_t number = 0; ///< number of the grant request; zero if issued in advance
  Revision directory{};     ///< revision of the holder's agent directory when the grant was issued
  Tokens issued = 0;        ///< fixed
  Tokens returnedTotal = 0; ///< only grows
  Tokens charged = 0;       ///< sum of `charges`
  std::map<RequestId, Tokens> charges;
  GrantState state = GrantState::kOpen;
  Tokens unproved = 0;       ///< open reservations of agents whose sessions ended after their report
  bool unprovedRest = false; ///< an agent that may have spent any part of the rest can no longer report
};

/// Balance of one plan. `granted`, `chargedOpen` and `grants` are derived from the grants and not encoded.
struct Account
{
  Tokens budget = 0;      ///< total prepaid tokens, including those already spent
  Tokens settled = 0;     ///< spent under closed grants
  Tokens inDoubt = 0;     ///< may have been spent, cannot be confirmed; never spendable
  bool listed = false;    ///< the plan is in the uses list
  Tokens granted = 0;     ///< issued and not returned, over all grants
  Tokens chargedOpen = 0; ///< charged, over all grants
  std::vector<GrantId> grants;
};

/// Accounts by plan. Invariant: settled + inDoubt + granted <= budget, and the charges of a grant never exceed the
/// tokens that it holds.
struct Ledger
{
  std::map<PlanId, Account> accounts;
  std::map<GrantId, Grant> grants;
  std::map<SessionId, std::vector<GrantId>> bySession; ///< derived from `grants`, not encoded
};

/// Command: issue a grant of up to `tokens`, at least `minimum`. Idempotent by (session, number) if number is not 0.
struct IssueGrant
{
  SessionId session{};
  std::uint64_t number = 0;
  PlanId plan;
  Tokens tokens = 0;
  Tokens minimum = 0;
  Revision directory{};
};

/// Command: raise the returned total of a grant.
struct ReturnGrant
{
  GrantId grant{};
  Tokens returnedTotal = 0;
};

/// Command: charge a grant. Charges of a request that is charged already, and of a closed grant, have no effect.
struct ChargeGrant
{
  GrantId grant{};
  std::vector<Charge> charges;
};

/// Command: close a grant whose holder has settled every request.
struct SettleGrant
{
  GrantId grant{};
};

/// Outcome of IssueGrant.
struct IssueOutcome
{
  bool issued = false;
  GrantView grant;
};

/// Outcome of the other ledger commands.
struct LedgerOutcome
{
  bool found = true; ///< false: the grant is closed
  Tokens returnedTotal = 0;
  Tokens cut = 0; ///< part of the charges that exceeds the grant's uncharged tokens; not charged
};

/// Tokens that a grant holds, including those charged.
/// @return tokens. Usage: `held(grant) - grant.charged`.
constexpr Tokens
held(const Grant& aGrant) noexcept
{
  return aGrant.issued - aGrant.returnedTotal;
}

/// Tokens of a plan that are neither spent, in doubt nor granted.
constexpr Tokens
available(const Account& aAccount) noexcept
{
  return aAccount.budget - aAccount.settled - aAccount.inDoubt - aAccount.granted;
}

/// Tokens that the budget must cover.
constexpr Tokens
committed(const Account& aAccount) noexcept
{
  return aAccount.settled + aAccount.inDoubt + aAccount.granted;
}

/// The part of a grant that is sent to its holder.
GrantView
view(const Grant& aGrant);

/// @return the account; null if the plan never had one
const Account*
findAccount(const Ledger& aLedger, const PlanId& aPlan);

/// @return the grant; null if it is closed
const Grant*
findGrant(const Ledger& aLedger, GrantId aGrant);

/// Grants of one session, ordered by id.
std::vector<GrantId>
grantsOf(const Ledger& aLedger, SessionId aSession);

/// Issues a grant.
/// @pre the session is a live router session
IssueOutcome
issue(Ledger& aLedger, const IssueGrant& aCommand, LogIndex aIndex);

/// Raises the returned total by at most the grant's uncharged tokens.
LedgerOutcome
returnTokens(Ledger& aLedger, const ReturnGrant& aCommand);

/// Adds charges of requests that are not charged yet, limited to the grant's uncharged tokens.
LedgerOutcome
charge(Ledger& aLedger, const ChargeGrant& aCommand);

/// Closes a grant: its charges are settled, `aInDoubt` of the uncharged tokens stay in doubt, the others become
/// available.
void
close(Ledger& aLedger, GrantId aGrant, Tokens aInDoubt);

/// Sets a grant to kFencing. `aRestInDoubt` is stored in `unprovedRest`.
void
beginFencing(Ledger& aLedger, GrantId aGrant, bool aRestInDoubt);

/// Mutable grant, for settling fenced sessions.
Grant*
findGrant(Ledger& aLedger, GrantId aGrant);

/// Rebuilds the members that are derived from the grants, after decoding.
void
rebuildIndexes(Ledger& aLedger);

RHUBARBARCH_DECLARE_FIELDS(Grant)
RHUBARBARCH_DECLARE_FIELDS(Account)
RHUBARBARCH_DECLARE_FIELDS(Ledger)
RHUBARBARCH_DECLARE_FIELDS(IssueGrant)
RHUBARBARCH_DECLARE_FIELDS(ReturnGrant)
RHUBARBARCH_DECLARE_FIELDS(ChargeGrant)
RHUBARBARCH_DECLARE_FIELDS(SettleGrant)

} // namespace rhubarbarch::state
