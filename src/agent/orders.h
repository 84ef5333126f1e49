#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Accepts an order of a controller unless a larger fencing number was seen. The agent sends orders to the upstream one
/// at a time, so that an upstream that does not check fencing numbers receives them in order.
void
onOrder(Step& aStep, const Address& aFrom, const Order& aOrder);

/// Handle an event of the exchange of an order.
/// @return whether the exchange belongs to an order
bool
onOrderHead(Step& aStep, const UpstreamHead& aEvent);
bool
onOrderEnd(Step& aStep, ExchangeId aExchange);
bool
onOrderError(Step& aStep, const UpstreamError& aEvent);

} // namespace rhubarbarch::agent
