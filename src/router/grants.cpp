#include "grants.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace rhubarbarch::router {

namespace {

constexpr Duration kDemandPeriod{ 1000 };
constexpr double kDemandDecay = 0.8; ///< weight of the previous rate in the moving average, per kDemandPeriod

bool
usable(const Grant& aGrant, const RouterOptions& aOptions) noexcept
{
  return aGrant.live && !aGrant.closing && aGrant.charges + aGrant.reservations < aOptions.chargesPerGrant;
}

bool
settled(const Grant& aGrant) noexcept
{
  return aGrant.reservations == 0 && aGrant.queue.empty() && !aGrant.inFlight;
}

void
updateDemand(GrantPool& aPool, TimePoint aNow)
{
  if (aNow - aPool.demandUpdatedAt < kDemandPeriod) {
    return;
  }
  aPool.demandUpdatedAt = aNow;
  for (auto& [plan, account] : aPool.plans) {
    account.demandPerSecond =
      account.demandPerSecond * kDemandDecay + static_cast<double>(account.demandSinceUpdate) * (1 - kDemandDecay);
    account.demandSinceUpdate = 0;
  }
}

/// Returns the free tokens of an idle grant. Closes a grant that has no free tokens or has reached its limit of
/// charges, and any grant of a leaving router.
void
retire(Grant& aGrant, const RouterOptions& aOptions, bool aConnected, bool aLeaving, TimePoint aNow)
{
  if (!aGrant.live || aGrant.reservations > 0) {
    return;
  }
  if (aConnected && aNow - aGrant.usedAt >= aOptions.grantIdle) {
    aGrant.returned += freeTokens(aGrant);
  }
  if (aLeaving || freeTokens(aGrant) == 0 || aGrant.charges >= aOptions.chargesPerGrant) {
    aGrant.closing = true;
  }
}

void
startBatch(GrantPool& aPool, Grant& aGrant, const RouterOptions& aOptions, TimePoint aNow)
{
  const bool due = aGrant.queue.size() >= aOptions.chargesPerBatch || aNow - aGrant.queuedAt >= aOptions.chargeDelay;
  if (aGrant.inFlight || aGrant.queue.empty() || !due) {
    return;
  }
  ChargesInFlight batch;
  batch.number = aPool.nextNumber++;
  batch.sendAt = aNow;
  const auto count = std::min(aGrant.queue.size(), aOptions.chargesPerBatch);
  const auto end = aGrant.queue.begin() + static_cast<std::ptrdiff_t>(count);
  std::move(aGrant.queue.begin(), end, std::back_inserter(batch.charges));
  aGrant.queue.erase(aGrant.queue.begin(), end);
  aGrant.inFlight = std::move(batch);
}

ChargeBatch
batchMessage(GrantId aGrant, const ChargesInFlight& aBatch)
{
  ChargeBatch message;
  message.number = aBatch.number;
  message.grant = aGrant;
  std::ranges::transform(aBatch.charges, std::back_inserter(message.charges), [](const PendingCharge& aItem) {
    return Charge{ aItem.run.request, aItem.tokens };
  });
  return message;
}

void
collectGrant(GrantPool& aPool,
             Grant& aGrant,
             const RouterOptions& aOptions,
             TimePoint aNow,
             std::vector<Message>& aMessages)
{
  startBatch(aPool, aGrant, aOptions, aNow);
  if (aGrant.inFlight && aNow >= aGrant.inFlight->sendAt) {
    aGrant.inFlight->sendAt = aNow + aOptions.resendPeriod;
    aMessages.emplace_back(batchMessage(aGrant.id, *aGrant.inFlight));
  }
  if (!aGrant.live || aNow < aGrant.sendAt) {
    return;
  }
  if (aGrant.closing && settled(aGrant)) {
    aGrant.sendAt = aNow + aOptions.resendPeriod;
    aMessages.emplace_back(CloseGrant{ aGrant.id });
  } else if (aGrant.returned > aGrant.returnAcknowledged) {
    aGrant.sendAt = aNow + aOptions.resendPeriod;
    aMessages.emplace_back(GrantReturn{ aGrant.id, aGrant.returned });
  }
}

} // namespace

Tokens
freeTokens(const Grant& aGrant) noexcept
{
  return aGrant.issued - aGrant.returned - aGrant.reserved - aGrant.charged;
}

bool
acceptGrant(GrantPool& aPool, const GrantView& aView, std::uint64_t aPoll, TimePoint aNow)
{
  if (aPool.grants.contains(aView.grant) || aPool.closed.contains(aView.grant)) {
    return false;
  }
  Grant grant;
  grant.id = aView.grant;
  grant.plan = aView.plan;
  grant.issued = aView.issued;
  grant.returned = aView.returnedTotal;
  grant.returnAcknowledged = aView.returnedTotal;
  grant.acceptedAtPoll = aPoll;
  grant.usedAt = aNow;
  aPool.grants.emplace(grant.id, std::move(grant));
  return true;
}

void
applyGrantList(GrantPool& aPool,
               const std::vector<GrantView>& aViews,
               std::uint64_t aAnswered,
               std::uint64_t aPoll,
               TimePoint aNow)
{
  std::set<GrantId> listed;
  for (const GrantView& view : aViews) {
    listed.insert(view.grant);
    acceptGrant(aPool, view, aPoll, aNow);
  }
  for (auto& [id, grant] : aPool.grants) {
    if (!listed.contains(id) && aAnswered > grant.acceptedAtPoll) {
      grant.live = false;
    }
  }
  std::erase_if(aPool.closed, [&](const auto& aEntry) { return aAnswered > aEntry.second; });
}

std::optional<GrantId>
reserveTokens(GrantPool& aPool, const PlanId& aPlan, Tokens aTokens, const RouterOptions& aOptions, TimePoint aNow)
{
  // Uses the oldest grant that covers the request, so that grants are exhausted and closed one after another.
  const auto found = std::ranges::find_if(aPool.grants, [&](const auto& aEntry) {
    const Grant& grant = aEntry.second;
    return grant.plan == aPlan && usable(grant, aOptions) && freeTokens(grant) >= aTokens;
  });
  if (found == aPool.grants.end()) {
    return std::nullopt;
  }
  Grant& grant = found->second;
  grant.reserved += aTokens;
  ++grant.reservations;
  grant.usedAt = aNow;
  return grant.id;
}

void
releaseTokens(GrantPool& aPool, GrantId aGrant, Tokens aReserved)
{
  const auto found = aPool.grants.find(aGrant);
  if (found != aPool.grants.end()) {
    found->second.reserved -= aReserved;
    --found->second.reservations;
  }
}

Tokens
settleTokens(GrantPool& aPool, GrantId aGrant, Tokens aReserved, PendingCharge aCharge, TimePoint aNow)
{
  const auto found = aPool.grants.find(aGrant);
  if (found == aPool.grants.end()) {
    return 0;
  }
  Grant& grant = found->second;
  aCharge.tokens = std::clamp<Tokens>(aCharge.tokens, 0, aReserved);
  const Tokens charged = aCharge.tokens;
  grant.reserved -= aReserved;
  --grant.reservations;
  grant.charged += charged;
  ++grant.charges;
  grant.usedAt = aNow;
  if (grant.queue.empty()) {
    grant.queuedAt = aNow;
  }
  grant.queue.push_back(std::move(aCharge));
  return charged;
}

void
noteDemand(GrantPool& aPool, const PlanId& aPlan, Tokens aTokens)
{
  aPool.plans[aPlan].demandSinceUpdate += aTokens;
}

std::vector<PlanDemand>
planDemand(const GrantPool& aPool)
{
  std::map<PlanId, PlanDemand> byPlan;
  for (const auto& [plan, account] : aPool.plans) {
    byPlan[plan].tokensPerSecond = std::llround(account.demandPerSecond);
  }
  for (const auto& [id, grant] : aPool.grants) {
    if (grant.live) {
      byPlan[grant.plan].unreserved += freeTokens(grant);
      byPlan[grant.plan].reserved += grant.reserved;
    }
  }
  std::vector<PlanDemand> demand;
  for (auto& [plan, entry] : byPlan) {
    entry.plan = plan;
    demand.push_back(std::move(entry));
  }
  return demand;
}

std::optional<GrantReturn>
returnOnCallback(GrantPool& aPool, const GrantCallback& aCallback, const RouterOptions& aOptions, TimePoint aNow)
{
  const auto found = aPool.grants.find(aCallback.grant);
  if (found == aPool.grants.end() || !found->second.live) {
    return std::nullopt;
  }
  Grant& grant = found->second;
  grant.returned += std::max<Tokens>(0, freeTokens(grant) - std::max<Tokens>(0, aCallback.keep));
  grant.sendAt = aNow + aOptions.resendPeriod;
  return GrantReturn{ grant.id, grant.returned };
}

void
returnFragments(GrantPool& aPool, const PlanId& aPlan)
{
  for (auto& [id, grant] : aPool.grants) {
    if (grant.plan == aPlan && grant.live) {
      grant.returned += freeTokens(grant);
    }
  }
}

void
endSession(GrantPool& aPool)
{
  for (auto& [id, grant] : aPool.grants) {
    grant.live = false;
  }
  for (auto& [plan, account] : aPool.plans) {
    account.pendingRequest.reset();
  }
}

bool
allPendingCharges(const GrantPool& aPool, const std::function<bool(const PendingCharge&)>& aCondition)
{
  return std::ranges::all_of(aPool.grants, [&](const auto& aEntry) {
    const Grant& grant = aEntry.second;
    return std::ranges::all_of(grant.queue, aCondition) &&
           (!grant.inFlight || std::ranges::all_of(grant.inFlight->charges, aCondition));
  });
}

std::vector<PendingCharge>
acknowledgeCharges(GrantPool& aPool, const ChargeAck& aAck)
{
  const auto found = aPool.grants.find(aAck.grant);
  if (found == aPool.grants.end()) {
    return {};
  }
  std::optional<ChargesInFlight>& batch = found->second.inFlight;
  if (!batch || batch->number != aAck.number) {
    return {};
  }
  auto charges = std::move(batch->charges);
  batch.reset();
  return charges;
}

void
acknowledgeReturn(GrantPool& aPool, const GrantReturned& aReturned)
{
  const auto found = aPool.grants.find(aReturned.grant);
  if (found != aPool.grants.end()) {
    Grant& grant = found->second;
    grant.returnAcknowledged = std::max(grant.returnAcknowledged, aReturned.returnedTotal);
  }
}

void
acknowledgeClose(GrantPool& aPool, const GrantClosed& aClosed, std::uint64_t aPoll)
{
  const auto found = aPool.grants.find(aClosed.grant);
  if (found != aPool.grants.end() && found->second.closing && settled(found->second)) {
    aPool.grants.erase(found);
    aPool.closed.emplace(aClosed.grant, aPoll);
  }
}

std::vector<Message>
dueGrantMessages(GrantPool& aPool,
                 SessionId aSession,
                 const RouterOptions& aOptions,
                 bool aConnected,
                 bool aLeaving,
                 TimePoint aNow)
{
  updateDemand(aPool, aNow);
  std::vector<Message> messages;
  for (auto& [id, grant] : aPool.grants) {
    // A grant of a plan with an unanswered GrantRequest stays open: the late answer may be about this very grant, and a
    // closed grant must not be accepted again.
    const auto account = aPool.plans.find(grant.plan);
    if (account == aPool.plans.end() || !account->second.pendingRequest) {
      retire(grant, aOptions, aConnected, aLeaving, aNow);
    }
    collectGrant(aPool, grant, aOptions, aNow, messages);
  }
  std::erase_if(aPool.grants, [](const auto& aEntry) { return !aEntry.second.live && settled(aEntry.second); });
  for (auto& [plan, account] : aPool.plans) {
    if (account.pendingRequest && aNow >= account.pendingRequest->sendAt && aSession != SessionId{}) {
      account.pendingRequest->sendAt = aNow + aOptions.resendPeriod;
      messages.emplace_back(
        GrantRequest{ aSession, account.pendingRequest->number, plan, account.pendingRequest->wanted });
    }
  }
  std::erase_if(aPool.plans, [](const auto& aEntry) {
    const PlanAccount& account = aEntry.second;
    return !account.pendingRequest && account.demandSinceUpdate == 0 && account.demandPerSecond < 0.5;
  });
  return messages;
}

} // namespace rhubarbarch::router
