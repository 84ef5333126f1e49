#include "controllers.h"

#include <array>

namespace rhubarbarch::controller {

namespace {

constexpr std::array kControllers = {
  Controller{ handleSessions, tickSessions }, Controller{ handleConfig, tickConfig },
  Controller{ handleGrants, tickGrants },     Controller{ handleCharges, tickCharges },
  Controller{ handleClaims, tickClaims },     Controller{ handleMoves, tickMoves },
  Controller{ handleOrders, tickOrders },     Controller{ handleExplain, tickExplain },
  Controller{ handleGateways, tickGateways },
};

} // namespace

std::span<const Controller>
controllers()
{
  return kControllers;
}

} // namespace rhubarbarch::controller
