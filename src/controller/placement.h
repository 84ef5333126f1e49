#pragma once

#include "rhubarbarch/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rhubarbarch::controller {

/// A router that holds or wants tokens of a plan.
struct Holder
{
  SessionId session{};
  Tokens tokensPerSecond = 0; ///< recent demand; zero when unknown
  Tokens idle = 0;            ///< held and, as far as known, neither charged nor reserved
  bool connected = false;     ///< polled recently
};

/// Input of the placement of one plan's tokens.
struct PlacementInput
{
  Tokens available = 0;     ///< not granted to any router
  Tokens largestWanted = 0; ///< largest recent request
  std::vector<Holder> holders;
};

/// Limits of the placement.
struct PlacementRule
{
  std::int32_t advancePercent = 90;
  std::int32_t nearEndRequests = 4;
};

/// @return available tokens and idle tokens of connected holders
Tokens
freeTokens(const PlacementInput& aInput);

/// @return whether the free tokens, split over all holders, would leave each with too little for a few requests. In
/// that case no tokens are placed in advance and a request gets only what it needs.
bool
isNearEnd(const PlacementInput& aInput, const PlacementRule& aRule);

/// @return idle tokens that a router should hold; zero near the end of the budget
Tokens
targetOf(const PlacementInput& aInput, const PlacementRule& aRule, SessionId aSession);

/// @return tokens to grant on a request, at least `aWanted`; the caller has checked that these are available
Tokens
grantSize(const PlacementInput& aInput, const PlacementRule& aRule, SessionId aSession, Tokens aWanted);

} // namespace rhubarbarch::controller
