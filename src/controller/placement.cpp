#include "placement.h"

#include <algorithm>

namespace rhubarbarch::controller {

namespace {

std::int64_t
connectedHolders(const PlacementInput& aInput)
{
  return std::ranges::count_if(aInput.holders, &Holder::connected);
}

Tokens
totalRate(const PlacementInput& aInput)
{
  Tokens total = 0;
  for (const auto& holder : aInput.holders) {
    total += holder.connected ? holder.tokensPerSecond : 0;
  }
  return total;
}

const Holder*
findHolder(const PlacementInput& aInput, SessionId aSession)
{
  const auto found = std::ranges::find(aInput.holders, aSession, &Holder::session);
  return found == aInput.holders.end() ? nullptr : &*found;
}

} // namespace

Tokens
freeTokens(const PlacementInput& aInput)
{
  Tokens total = aInput.available;
  for (const auto& holder : aInput.holders) {
    total += holder.connected ? holder.idle : 0;
  }
  return total;
}

bool
isNearEnd(const PlacementInput& aInput, const PlacementRule& aRule)
{
  const auto holders = std::max<std::int64_t>(connectedHolders(aInput), 1);
  return freeTokens(aInput) < holders * aRule.nearEndRequests * aInput.largestWanted;
}

Tokens
targetOf(const PlacementInput& aInput, const PlacementRule& aRule, SessionId aSession)
{
  const auto* holder = findHolder(aInput, aSession);
  if (holder == nullptr || !holder->connected || isNearEnd(aInput, aRule)) {
    return 0;
  }
  const auto advance = static_cast<double>(freeTokens(aInput)) * aRule.advancePercent / 100;
  const auto rate = totalRate(aInput);
  // Without any known demand, all routers get equal parts.
  const auto fraction = rate > 0 ? static_cast<double>(holder->tokensPerSecond) / static_cast<double>(rate)
                                 : 1.0 / static_cast<double>(std::max<std::int64_t>(connectedHolders(aInput), 1));
  return static_cast<Tokens>(advance * fraction);
}

Tokens
grantSize(const PlacementInput& aInput, const PlacementRule& aRule, SessionId aSession, Tokens aWanted)
{
  const auto* holder = findHolder(aInput, aSession);
  const auto idle = holder == nullptr ? 0 : holder->idle;
  const auto missing = targetOf(aInput, aRule, aSession) - idle;
  return std::max(aWanted, std::min(missing, aInput.available));
}

} // namespace rhubarbarch::controller
