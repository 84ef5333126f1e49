#include "controllers.h"
#include "plan_view.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::controller {

namespace {

void
refuse(Context& aContext, const WaitingRequest& aWaiting, GrantStatus aStatus, Duration aRetry, nlohmann::json aFields)
{
  const auto& request = aWaiting.request;
  aFields["session"] = toNumber(request.session);
  aFields["plan"] = request.plan;
  aFields["wanted"] = request.wanted;
  aFields["status"] = static_cast<int>(aStatus);
  aFields["retry_after_ms"] = aRetry.count();
  log(aContext, "grant_refused", std::move(aFields));
  GrantReply answer;
  answer.number = request.number;
  answer.plan = request.plan;
  answer.status = aStatus;
  answer.retryAfterMs = aRetry.count();
  send(aContext, aWaiting.from, answer);
}

void
grant(Context& aContext, const WaitingRequest& aWaiting, const GrantView& aView)
{
  send(aContext, aWaiting.from, GrantReply{ aWaiting.request.number, aView.plan, GrantStatus::kGranted, aView, 0 });
}

nlohmann::json
accountFields(const state::Account& aAccount, const PlanMemory& aPlan)
{
  return { { "budget", aAccount.budget },   { "settled", aAccount.settled },     { "in_doubt", aAccount.inDoubt },
           { "granted", aAccount.granted }, { "charged", aAccount.chargedOpen }, { "proposed", aPlan.proposed } };
}

void
enqueueWaiting(PlanMemory& aPlan, WaitingRequest aWaiting)
{
  const auto& request = aWaiting.request;
  const auto same = std::ranges::find_if(aPlan.waiting, [&](const WaitingRequest& aOther) {
    return aOther.request.session == request.session && aOther.request.number == request.number;
  });
  if (same == aPlan.waiting.end()) {
    aPlan.waiting.push_back(std::move(aWaiting));
  }
}

void
issueFor(Context& aContext, const WaitingRequest& aWaiting, Tokens aTokens)
{
  const auto& request = aWaiting.request;
  auto& plan = aContext.memory.plans[request.plan];
  plan.proposedRequests.emplace(request.session, request.number);
  plan.proposed += aTokens;
  const state::IssueGrant command{ request.session, request.number, request.plan,
                                   aTokens,         request.wanted, heldDirectory(aContext, request.session) };
  propose(aContext, command, [aWaiting, aTokens](Context& aDone, const state::Outcome& aOutcome) {
    const auto& done = aWaiting.request;
    auto& memory = aDone.memory.plans[done.plan];
    memory.proposedRequests.erase({ done.session, done.number });
    memory.proposed -= aTokens;
    const auto& outcome = std::get<state::IssueOutcome>(aOutcome);
    if (!outcome.issued) {
      enqueueWaiting(memory, aWaiting);
      return;
    }
    auto fields = accountFields(aDone.state.ledger.accounts.at(done.plan), memory);
    fields["session"] = toNumber(done.session);
    fields["plan"] = done.plan;
    fields["wanted"] = done.wanted;
    fields["issued"] = outcome.grant.issued;
    log(aDone, "grant_placed", std::move(fields));
    grant(aDone, aWaiting, outcome.grant);
  });
}

const state::Grant*
earlierGrant(const Context& aContext, const GrantRequest& aRequest)
{
  if (aRequest.number == 0) {
    return nullptr;
  }
  for (const auto id : state::grantsOf(aContext.state.ledger, aRequest.session)) {
    const auto* found = state::findGrant(aContext.state.ledger, id);
    if (found->number == aRequest.number && found->plan == aRequest.plan) {
      return found;
    }
  }
  return nullptr;
}

// Charged, settled and in-doubt tokens never become available again; all other granted tokens might be returned in
// full. A request that exceeds even this upper bound needs a top-up.
bool
isExhausted(const state::Account& aAccount, Tokens aWanted)
{
  return aAccount.budget - aAccount.settled - aAccount.inDoubt - aAccount.chargedOpen < aWanted;
}

// Answers a request at once if possible. @return whether the request needs no further handling
bool
answer(Context& aContext, const WaitingRequest& aWaiting)
{
  const auto& request = aWaiting.request;
  if (!state::isLiveRouter(aContext.state.sessions, request.session)) {
    return true; // the answer to its next poll makes the router register again
  }
  auto& plan = aContext.memory.plans[request.plan];
  const auto* account = state::findAccount(aContext.state.ledger, request.plan);
  if (account == nullptr || !account->listed) {
    refuse(aContext, aWaiting, GrantStatus::kNoSuchPlan, aContext.options.grants.exhaustedRetry, {});
    return true;
  }
  if (const auto* earlier = earlierGrant(aContext, request)) {
    grant(aContext, aWaiting, state::view(*earlier));
    return true;
  }
  if (plan.proposedRequests.contains({ request.session, request.number })) {
    return true;
  }
  if (isExhausted(*account, request.wanted)) {
    refuse(aContext,
           aWaiting,
           GrantStatus::kExhausted,
           aContext.options.grants.exhaustedRetry,
           accountFields(*account, plan));
    return true;
  }
  const auto input = placementInput(aContext, request.plan, request.session);
  if (input.available < request.wanted) {
    return false;
  }
  issueFor(aContext, aWaiting, grantSize(input, placementRule(aContext), request.session, request.wanted));
  return true;
}

// Whether a recall has not been answered yet.
bool
isPending(const Recall& aRecall)
{
  return !aRecall.answered;
}

bool
maySend(const Context& aContext, const Recall& aRecall)
{
  const auto& options = aContext.options.grants;
  if (aRecall.answered) {
    return aContext.now - *aRecall.answered >= options.recallPause;
  }
  return aContext.now - aRecall.sent >= options.recallRepeat;
}

void
recallGrant(Context& aContext, PlanMemory& aPlan, const state::Grant& aGrant, Tokens aKeep)
{
  const auto [found, isNew] = aPlan.recalls.try_emplace(aGrant.id);
  if (!isNew && !maySend(aContext, found->second)) {
    return;
  }
  found->second = { aKeep, aContext.now, std::nullopt };
  const auto router = aContext.state.sessions.routers.find(aGrant.holder);
  log(aContext,
      "grant_recalled",
      { { "grant", toNumber(aGrant.id) },
        { "plan", aGrant.plan },
        { "holder", router->second.instance },
        { "held", state::held(aGrant) },
        { "charged", aGrant.charged },
        { "keep", aKeep } });
  send(aContext, { router->second.instance, Role::kRouter }, GrantCallback{ aGrant.id, aGrant.plan, aKeep });
}

// The grant with the most idle tokens retains `aKeep`; the others return all idle tokens.
void
recallFrom(Context& aContext, const PlanId& aPlan, SessionId aHolder, Tokens aKeep)
{
  auto& plan = aContext.memory.plans[aPlan];
  auto grants = openGrants(aContext, aPlan, aHolder);
  std::ranges::sort(grants, std::greater{}, [](const state::Grant* aGrant) {
    return std::pair{ state::held(*aGrant) - aGrant->charged, aGrant->id };
  });
  auto keep = aKeep;
  for (const auto* held : grants) {
    if (state::held(*held) > held->charged) {
      recallGrant(aContext, plan, *held, std::exchange(keep, 0));
    }
  }
}

// Recalls enough idle tokens from the holders. The holders retain their target amount if the rest suffices. Otherwise
// all idle tokens are recalled, including those of the requesting router in grants too small for its request.
void
recallFor(Context& aContext, const GrantRequest& aRequest)
{
  const auto input = placementInput(aContext, aRequest.plan, aRequest.session);
  const auto rule = placementRule(aContext);
  const auto missing = aRequest.wanted - input.available;
  Tokens overTarget = 0;
  for (const auto& holder : input.holders) {
    const auto over = holder.idle - targetOf(input, rule, holder.session);
    overTarget += holder.connected && holder.session != aRequest.session ? std::max<Tokens>(over, 0) : 0;
  }
  const bool keepTargets = overTarget >= missing;
  for (const auto& holder : input.holders) {
    if (keepTargets && holder.session == aRequest.session) {
      continue;
    }
    const auto keep = keepTargets ? targetOf(input, rule, holder.session) : 0;
    if (!keepTargets || holder.idle > keep) {
      recallFrom(aContext, aRequest.plan, holder.session, keep);
    }
  }
}

// By Little's law, runs release tokens at about the rate at which they reserve them.
Duration
settleTime(const Context& aContext, const PlanId& aPlan, Tokens aMissing)
{
  const auto& options = aContext.options.grants;
  Tokens rate = 0;
  const auto found = aContext.memory.plans.find(aPlan);
  for (const auto& [session, demand] : found->second.demand) {
    rate += aContext.now - demand.at <= options.demandRetention ? demand.tokensPerSecond : 0;
  }
  if (rate <= 0) {
    return options.heldRetry;
  }
  const auto ms =
    std::min<double>(1000.0 * static_cast<double>(std::max<Tokens>(aMissing, 1)) / static_cast<double>(rate),
                     static_cast<double>(options.longestRetry.count()));
  return std::clamp(Duration(static_cast<std::int64_t>(ms)), options.shortestRetry, options.longestRetry);
}

bool
hasPendingRecalls(const Context& aContext, const PlanMemory& aPlan)
{
  return std::ranges::any_of(aPlan.recalls, [&](const auto& aItem) {
    return isPending(aItem.second) && state::findGrant(aContext.state.ledger, aItem.first) != nullptr;
  });
}

// Unsettled tokens of a fenced router count as held elsewhere: they become available once its agents have reported.
bool
isFencing(const Context& aContext, const PlanId& aPlan)
{
  const auto* account = state::findAccount(aContext.state.ledger, aPlan);
  return account != nullptr && std::ranges::any_of(account->grants, [&](GrantId aGrant) {
           return state::findGrant(aContext.state.ledger, aGrant)->state == state::GrantState::kFencing;
         });
}

void
refuseWaiting(Context& aContext, const WaitingRequest& aWaiting)
{
  const auto& request = aWaiting.request;
  const auto& plan = aContext.memory.plans[request.plan];
  const auto input = placementInput(aContext, request.plan, request.session);
  auto fields = accountFields(aContext.state.ledger.accounts.at(request.plan), plan);
  fields["available"] = input.available;
  fields["free"] = freeTokens(input);
  const bool elsewhere = hasPendingRecalls(aContext, plan) || isFencing(aContext, request.plan);
  const auto status = elsewhere ? GrantStatus::kHeldElsewhere : GrantStatus::kReservedByRuns;
  const auto retry = elsewhere ? aContext.options.grants.heldRetry
                               : settleTime(aContext, request.plan, request.wanted - input.available);
  refuse(aContext, aWaiting, status, retry, std::move(fields));
}

void
recordWanted(Context& aContext, PlanMemory& aPlan, Tokens aWanted)
{
  if (aContext.now - aPlan.wantedSince > aContext.options.grants.demandRetention) {
    aPlan.largestWanted = std::exchange(aPlan.largestWantedNow, 0);
    aPlan.wantedSince = aContext.now;
  }
  aPlan.largestWantedNow = std::max(aPlan.largestWantedNow, aWanted);
}

void
request(Context& aContext, const Address& aFrom, GrantRequest aRequest)
{
  aRequest.wanted = std::max<Tokens>(aRequest.wanted, 1);
  const WaitingRequest waiting{ aFrom, aRequest, aContext.now };
  if (state::findAccount(aContext.state.ledger, aRequest.plan) != nullptr) {
    recordWanted(aContext, aContext.memory.plans[aRequest.plan], aRequest.wanted);
  }
  if (answer(aContext, waiting)) {
    return;
  }
  recallFor(aContext, aRequest);
  enqueueWaiting(aContext.memory.plans[aRequest.plan], waiting);
}

bool
mustRefuse(const Context& aContext, const PlanMemory& aPlan, const WaitingRequest& aWaiting)
{
  const auto waited = aContext.now - aWaiting.since;
  return waited >= aContext.options.grants.holdTime ||
         (waited >= kTickPeriod && !hasPendingRecalls(aContext, aPlan) && aPlan.proposed == 0);
}

void
repeatRecalls(Context& aContext, const PlanMemory& aPlan)
{
  for (const auto& waiting : aPlan.waiting) {
    if (hasPendingRecalls(aContext, aPlan)) {
      recallFor(aContext, waiting.request);
    }
  }
}

void
eraseOldRecalls(Context& aContext, PlanMemory& aPlan)
{
  std::erase_if(aPlan.recalls, [&](const auto& aItem) {
    return state::findGrant(aContext.state.ledger, aItem.first) == nullptr ||
           aContext.now - aItem.second.sent > aContext.options.grants.demandRetention;
  });
}

void
placeInAdvance(Context& aContext, const PlanId& aPlan, SessionId aSession, Tokens aTokens)
{
  aContext.memory.plans[aPlan].proposed += aTokens;
  propose(aContext,
          state::IssueGrant{ aSession, 0, aPlan, aTokens, 1, heldDirectory(aContext, aSession) },
          [aPlan, aSession, aTokens](Context& aDone, const state::Outcome& aOutcome) {
            aDone.memory.plans[aPlan].proposed -= aTokens;
            const auto& outcome = std::get<state::IssueOutcome>(aOutcome);
            if (outcome.issued) {
              log(aDone,
                  "grant_placed",
                  { { "session", toNumber(aSession) },
                    { "plan", aPlan },
                    { "in_advance", true },
                    { "issued", outcome.grant.issued } });
            }
          });
}

// Deviations of up to a quarter of the target are accepted; smaller corrections would only add entries to the log.
constexpr Tokens kSlackDivisor = 4;

void
place(Context& aContext, const PlanId& aPlan)
{
  const auto input = placementInput(aContext, aPlan, SessionId{});
  const auto rule = placementRule(aContext);
  if (isNearEnd(input, rule)) {
    return;
  }
  auto left = input.available;
  bool isShort = false;
  for (const auto& holder : input.holders) {
    const auto target = targetOf(input, rule, holder.session);
    const auto missing = target - holder.idle;
    if (missing <= target / kSlackDivisor) {
      continue;
    }
    const auto tokens = std::min(missing, left);
    isShort = isShort || tokens < missing / 2;
    if (tokens > 0) {
      placeInAdvance(aContext, aPlan, holder.session, tokens);
      left -= tokens;
    }
  }
  for (const auto& holder : input.holders) {
    const auto target = targetOf(input, rule, holder.session);
    if (isShort && holder.connected && holder.idle > target + target / kSlackDivisor) {
      recallFrom(aContext, aPlan, holder.session, target);
    }
  }
}

bool
hasDemand(const Context& aContext, const PlanMemory& aPlan)
{
  return std::ranges::any_of(aPlan.demand, [&](const auto& aItem) {
    return aItem.second.tokensPerSecond > 0 &&
           aContext.now - aItem.second.at <= aContext.options.grants.demandRetention;
  });
}

// Frees the memory of plans without recent demand; there may be hundreds of thousands of them.
void
eraseIdlePlans(Context& aContext)
{
  for (auto& [id, plan] : aContext.memory.plans) {
    std::erase_if(plan.demand, [&](const auto& aItem) {
      return aContext.now - aItem.second.at > aContext.options.grants.demandRetention;
    });
  }
  std::erase_if(aContext.memory.plans, [&](const auto& aItem) {
    const auto& plan = aItem.second;
    return plan.demand.empty() && plan.waiting.empty() && plan.recalls.empty() && plan.proposed == 0 &&
           aContext.now - plan.wantedSince > 2 * aContext.options.grants.demandRetention;
  });
}

} // namespace

void
serveWaiting(Context& aContext, const PlanId& aPlan)
{
  auto& plan = aContext.memory.plans[aPlan];
  auto waiting = std::exchange(plan.waiting, {});
  for (auto& item : waiting) {
    if (!answer(aContext, item)) {
      plan.waiting.push_back(std::move(item));
    }
  }
}

bool
handleGrants(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  const auto* wanted = std::get_if<GrantRequest>(&aMessage);
  if (wanted == nullptr) {
    return false;
  }
  request(aContext, aFrom, *wanted);
  return true;
}

void
tickGrants(Context& aContext)
{
  if (isDue(aContext, aContext.memory.plansChecked, aContext.options.grants.demandRetention)) {
    eraseIdlePlans(aContext);
  }
  for (auto& [id, plan] : aContext.memory.plans) {
    eraseOldRecalls(aContext, plan);
    if (!plan.waiting.empty()) {
      serveWaiting(aContext, id);
      repeatRecalls(aContext, plan);
      auto waiting = std::exchange(plan.waiting, {});
      for (auto& item : waiting) {
        if (mustRefuse(aContext, plan, item)) {
          refuseWaiting(aContext, item);
        } else {
          plan.waiting.push_back(std::move(item));
        }
      }
    }
    const bool due = aContext.now - plan.placedAt >= aContext.options.grants.placementPeriod;
    if (due && plan.proposed == 0 && hasDemand(aContext, plan)) {
      plan.placedAt = aContext.now;
      place(aContext, id);
    }
  }
}

} // namespace rhubarbarch::controller
