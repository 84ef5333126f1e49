#include "state.h"

#include <algorithm>
#include <limits>

namespace rhubarbarch::gateway {

namespace {

/// A stream requests further tokens when less than the window divided by this is left, so that they arrive before the
/// rest is delivered.
constexpr Tokens kRefillDivisor = 2;

Tokens
eventTokens(const Request& aRequest)
{
  return std::max<Tokens>(aRequest.service->engine.eventTokens, 1);
}

} // namespace

Tokens
outputWindow(const State& aState, const Request& aRequest)
{
  return std::max(aState.options.outputWindow, eventTokens(aRequest));
}

Tokens
cost(const Request& aRequest)
{
  if (aRequest.stream.events() == 0) {
    return 0;
  }
  const auto output = aRequest.stream.events() * eventTokens(aRequest);
  return aRequest.call.promptTokens + std::min(output, aRequest.call.maxOutputTokens);
}

std::int64_t
coveredEvents(const Request& aRequest)
{
  if (!aRequest.reserved || aRequest.held >= aRequest.maxCost) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const auto covered = (aRequest.held - aRequest.call.promptTokens) / eventTokens(aRequest);
  return std::max<std::int64_t>(covered - aRequest.stream.events(), 0);
}

Tokens
missingTokens(const State& aState, const Request& aRequest)
{
  if (!aRequest.reserved || aRequest.held >= aRequest.maxCost || aRequest.refill > 0) {
    return 0;
  }
  const auto window = outputWindow(aState, aRequest);
  const auto left = aRequest.held - std::max(cost(aRequest), aRequest.call.promptTokens);
  if (left >= window / kRefillDivisor && left >= eventTokens(aRequest)) {
    return 0;
  }
  return std::min(window - left, aRequest.maxCost - aRequest.held);
}

void
chargeDelivered(State& aState, Request& aRequest)
{
  if (!aRequest.reserved) {
    return;
  }
  const auto due = cost(aRequest) - aRequest.charged;
  settle(aState.budgets.plans[aRequest.plan], due, due);
  aRequest.charged += due;
}

void
release(State& aState, Request& aRequest)
{
  chargeDelivered(aState, aRequest);
  auto& budget = aState.budgets.plans[aRequest.plan];
  settle(budget, aRequest.held - aRequest.charged, 0);
  budget.committed -= aRequest.maxCost - aRequest.held;
  budget.waiting -= std::min(budget.waiting, aRequest.refill);
}

} // namespace rhubarbarch::gateway
