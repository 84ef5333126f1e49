#pragma once

#include "rhubarbarch/router/options.h"

#include <algorithm>
#include <map>
#include <string>

namespace rhubarbarch::router {

/// Remaining retries of each route, by route path.
using RetryBudgets = std::map<std::string, double>;

/// Credits a route with a fraction of a retry for a new request.
inline void
earnRetry(RetryBudgets& aBudgets, const std::string& aRoute, const RouterOptions& aOptions)
{
  double& budget = aBudgets.try_emplace(aRoute, aOptions.retryBurst).first->second;
  budget = std::min(aOptions.retryBurst, budget + aOptions.retryRatio);
}

/// Takes a retry from the budget of a route.
/// @return false when the budget does not allow a retry
inline bool
spendRetry(RetryBudgets& aBudgets, const std::string& aRoute)
{
  const auto found = aBudgets.find(aRoute);
  if (found == aBudgets.end() || found->second < 1) {
    return false;
  }
  found->second -= 1;
  return true;
}

} // namespace rhubarbarch::router
