#include "oracle.h"

#include <algorithm>

namespace rhubarbarch::fuzz {

using namespace rhubarbarch::testing;

namespace {

void
require(bool aCondition, const std::string& aText)
{
  if (!aCondition) {
    throw Violation(aText);
  }
}

std::string
describe(const Ask& aAsk, const CallerView& aView)
{
  return "caller " + std::to_string(static_cast<std::uint64_t>(aAsk.caller)) + " at " + aAsk.router + " key '" +
         aAsk.key + "' request " + aView.requestId + " status " + std::to_string(aView.status) + " body " + aAsk.body +
         " answer " + aView.body.substr(0, 300);
}

bool
isRightAnswer(const Ask& aAsk, const CallerView& aView, const UpstreamTruth& aTruth)
{
  if (aAsk.path != kChatPath) {
    const auto json = nlohmann::json::parse(aView.body, nullptr, false);
    const auto served = json.is_object() ? json.value("served", "") : "";
    const auto found = aTruth.bodies.find(served);
    return found != aTruth.bodies.end() && found->second == aAsk.body;
  }
  if (aAsk.stream) {
    return isWholeStream(aView.body, static_cast<int>(aAsk.tokens));
  }
  const auto json = nlohmann::json::parse(aView.body, nullptr, false);
  return json.is_object() && json.contains("usage") &&
         json["usage"].value("completion_tokens", Tokens{ -1 }) == aAsk.tokens &&
         json["usage"].value("prompt_tokens", Tokens{ -1 }) == static_cast<Tokens>(aAsk.body.size()) / 4;
}

/// Notes what a list held at a revision; a revision must never have two contents.
template<typename Entries>
void
note(std::map<Revision, Entries>& aHistory, Revision aRevision, const Entries& aEntries, const char* aWhere)
{
  const auto [found, added] = aHistory.try_emplace(aRevision, aEntries);
  require(added || found->second == aEntries,
          std::string("two contents of list revision ") + std::to_string(static_cast<std::uint64_t>(aRevision)) +
            " at " + aWhere);
}

template<typename Number>
void
grow(Number& aSeen, Number aNow, const std::string& aText)
{
  require(aNow >= aSeen, aText);
  aSeen = aNow;
}

Revision
expectedRevision(const Change& aChange)
{
  return std::visit([](const auto& aItem) { return aItem.expected; }, aChange.operation);
}

const controller::OperatorReply*
replyOf(const Fleet& aFleet, controller::OperatorId aId)
{
  const auto found = aFleet.operatorReplies.find(aId);
  return found == aFleet.operatorReplies.end() ? nullptr : &found->second;
}

Revision
repliedRevision(const controller::OperatorReply& aReply)
{
  return Revision{ aReply.body.value("revision", std::uint64_t{ 0 }) };
}

} // namespace

void
Oracle::check(const Fleet& aFleet)
{
  checkAnswers(aFleet);
  checkOrders(aFleet);
  checkLists(aFleet);
  checkReplies(aFleet);
  checkRaces(aFleet);
  checkSpend(aFleet);
}

void
Oracle::checkAnswers(const Fleet& aFleet)
{
  for (auto& ask : asks) {
    const auto& view = aFleet.callers.at(ask.caller);
    if (ask.checked || !view.finished()) {
      continue;
    }
    ask.checked = true;
    if (view.ended && view.status == 200) {
      require(isRightAnswer(ask, view, aFleet.truth), "wrong or cut answer: " + describe(ask, view));
    } else if (view.ended && ranField(view) == "no" && !view.requestId.empty()) {
      mNotRun.emplace(view.requestId, describe(ask, view));
    }
  }
  for (const auto& [request, refusal] : mNotRun) {
    require(!aFleet.truth.starts.contains(request), "refused as not run and ran: " + refusal);
  }
}

void
Oracle::checkOrders(const Fleet& aFleet) const
{
  for (const auto& [body, runs] : aFleet.truth.serviceRunsByBody) {
    require(runs <= 1, "'" + body + "' ran " + std::to_string(runs) + " times");
  }
}

void
Oracle::checkLists(const Fleet& aFleet)
{
  for (const auto& [name, node] : aFleet.nodes) {
    if (node.controller) {
      checkController(name, node.controller->replicatedState());
    } else if (node.router) {
      checkRouter(name, *node.router);
    }
  }
}

void
Oracle::checkController(const InstanceId& aName, const state::ReplicatedState& aState)
{
  auto& seen = mSeen[aName];
  const auto& lists = aState.lists.lists;
  grow(seen.plans, lists.plansRevision, "the plans list went back at " + aName);
  grow(seen.uses, lists.usesRevision, "the uses list went back at " + aName);
  note(mHistory.plans, lists.plansRevision, lists.plans, aName.c_str());
  note(mHistory.uses, lists.usesRevision, lists.uses, aName.c_str());
  for (const auto& [plan, account] : aState.ledger.accounts) {
    grow(seen.budgets[plan], account.budget, "a budget fell at " + aName);
    mBudgets[plan] = std::max(mBudgets[plan], account.budget);
  }
  checkLedger(aState.ledger);
}

void
Oracle::checkRouter(const InstanceId& aName, const router::RouterRole& aRouter)
{
  auto& seen = mSeen[aName];
  for (const auto& metric : aRouter.metrics()) {
    const Revision revision{ static_cast<std::uint64_t>(metric.value) };
    if (metric.name == "rhubarbarch_router_plans_revision") {
      grow(seen.plans, revision, "the plans list went back at " + aName);
    } else if (metric.name == "rhubarbarch_router_uses_revision") {
      grow(seen.uses, revision, "the uses list went back at " + aName);
    }
  }
}

void
Oracle::checkLedger(const state::Ledger& aLedger)
{
  std::map<PlanId, Tokens> granted;
  for (const auto& [id, grant] : aLedger.grants) {
    granted[grant.plan] += state::held(grant);
    require(grant.charged <= state::held(grant), "a grant of " + grant.plan + " is charged more than it holds");
    for (const auto& [request, tokens] : grant.charges) {
      const auto [found, added] = mChargedAt.try_emplace(request, id);
      require(added || found->second == id, "request " + request + " is billed under two grants");
    }
  }
  for (const auto& [plan, account] : aLedger.accounts) {
    require(account.granted == granted[plan], "the granted total of " + plan + " differs from its grants");
    require(account.settled + account.inDoubt + granted[plan] <= account.budget,
            "settled, in doubt and granted of " + plan + " pass its budget");
  }
}

void
Oracle::checkReplies(const Fleet& aFleet)
{
  for (const auto& change : changes) {
    const controller::OperatorReply* first = nullptr;
    for (const auto attempt : change.attempts) {
      const auto* reply = replyOf(aFleet, attempt);
      if (reply == nullptr || (reply->httpStatus != 200 && reply->httpStatus != 409)) {
        continue;
      }
      require(first == nullptr || (first->httpStatus == reply->httpStatus && first->body == reply->body),
              "a resent change got another outcome: " + (first == nullptr ? "" : first->body.dump()) + " then " +
                reply->body.dump());
      first = reply;
      if (reply->httpStatus != 200) {
        continue;
      }
      const auto revision = repliedRevision(*reply);
      if (const auto* plans = std::get_if<controller::ApplyPlans>(&change.operation)) {
        note(mHistory.plans, revision, plans->plans, "an operator");
      } else {
        note(mHistory.uses, revision, std::get<controller::ApplyUses>(change.operation).uses, "an operator");
      }
    }
  }
}

// No accepted change may lie between the revision that an accepted change expected and its own.
void
Oracle::checkRaces(const Fleet& aFleet) const
{
  for (const auto& change : changes) {
    for (const auto attempt : change.attempts) {
      const auto* reply = replyOf(aFleet, attempt);
      if (reply == nullptr || reply->httpStatus != 200) {
        continue;
      }
      const auto lost = [&](const auto& aAccepted) {
        const auto next = aAccepted.upper_bound(expectedRevision(change));
        return next != aAccepted.end() && next->first < repliedRevision(*reply);
      };
      const bool plans = std::holds_alternative<controller::ApplyPlans>(change.operation);
      require(!(plans ? lost(mHistory.plans) : lost(mHistory.uses)),
              "an accepted change overwrote one it had not seen");
    }
  }
}

std::map<PlanId, Tokens>
Oracle::spendByPlan(const Fleet& aFleet) const
{
  std::map<std::string, PlanId> planOfBody;
  for (const auto& ask : asks) {
    planOfBody[ask.body] = ask.plan;
  }
  std::map<PlanId, Tokens> spend;
  for (const auto& [request, tokens] : aFleet.truth.spend) {
    const auto plan = planOfBody.find(aFleet.truth.bodies.at(request));
    require(plan != planOfBody.end(), "request " + request + " reached an upstream with a body that nobody sent");
    spend[plan->second] += tokens;
  }
  return spend;
}

void
Oracle::checkSpend(const Fleet& aFleet) const
{
  for (const auto& [plan, tokens] : spendByPlan(aFleet)) {
    const auto budget = mBudgets.find(plan);
    require(budget != mBudgets.end() && tokens <= budget->second,
            plan + " spent " + std::to_string(tokens) + " of " +
              std::to_string(budget == mBudgets.end() ? 0 : budget->second));
  }
}

void
Oracle::checkEnd(const Fleet& aFleet)
{
  check(aFleet);
  require(!aFleet.leaderName().empty(), "no leader at the end");
  const auto& state = aFleet.leaderState();
  const auto& lists = state.lists.lists;
  for (const auto& [plan, budget] : mBudgets) {
    const auto* account = state::findAccount(state.ledger, plan);
    require(account != nullptr && account->budget >= budget,
            "the final budget of " + plan + " is below an earlier one");
  }
  require(mHistory.plans.rbegin()->first == lists.plansRevision, "the plans list went back");
  require(mHistory.uses.rbegin()->first == lists.usesRevision, "the uses list went back");
  for (const auto& [plan, tokens] : spendByPlan(aFleet)) {
    const auto* account = state::findAccount(state.ledger, plan);
    require(account != nullptr && tokens <= account->settled + account->chargedOpen + account->inDoubt,
            plan + " spent " + std::to_string(tokens) + ", the ledger has settled " + std::to_string(account->settled) +
              ", charged " + std::to_string(account->chargedOpen) + ", in doubt " + std::to_string(account->inDoubt));
  }
}

} // namespace rhubarbarch::fuzz
