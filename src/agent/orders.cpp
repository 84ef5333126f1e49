#include "orders.h"

#include "control_link.h"
#include "status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace rhubarbarch::agent {

namespace {

constexpr std::int32_t kAccepted = 202;
constexpr std::int32_t kOldFence = 409;
/// Replies stored for repeats of accepted orders.
constexpr std::size_t kMaxAnswered = 64;
constexpr std::size_t kMaxWaiting = 64;

const char*
pathOf(OrderKind aKind)
{
  constexpr std::array kPaths{ "/engine/load_version", "/engine/unload_version", "/engine/drain" };
  return kPaths.at(static_cast<std::size_t>(aKind));
}

bool
sameOrder(const Order& aOne, const Order& aOther)
{
  return aOne.fence == aOther.fence && aOne.number == aOther.number && aOne.kind == aOther.kind &&
         aOne.model == aOther.model && aOne.version == aOther.version;
}

void
answer(Step& aStep, const Address& aTo, const Order& aOrder, bool aAccepted, const std::string& aDetail)
{
  aStep.out.emplace_back(Log{ { Severity::kInfo,
                                "order",
                                { { "path", pathOf(aOrder.kind) },
                                  { "model", aOrder.model },
                                  { "version", aOrder.version },
                                  { "fence", toNumber(aOrder.fence) },
                                  { "accepted", aAccepted },
                                  { "detail", aDetail } } } });
  aStep.send(aTo, OrderReply{ aOrder.number, aAccepted, aDetail });
}

void
startNextOrder(Step& aStep)
{
  auto& orders = aStep.state.orders;
  // A newer leader may have sent an order with a larger fencing number while these orders were waiting.
  while (!orders.waiting.empty() && orders.waiting.front().order.fence < orders.largestFence) {
    const auto old = std::move(orders.waiting.front());
    orders.waiting.pop_front();
    answer(aStep, old.from, old.order, false, "old fencing number");
  }
  if (orders.waiting.empty()) {
    return;
  }
  const auto& order = orders.waiting.front().order;
  orders.exchange = ExchangeId{ aStep.state.table.nextExchange++ };
  orders.httpStatus = 0;
  UpstreamStart start;
  start.exchange = orders.exchange;
  start.method = "POST";
  start.path = pathOf(order.kind);
  start.contentType = "application/json";
  start.body = order.kind == OrderKind::kDrain
                 ? "{}"
                 : nlohmann::json{ { "model", order.model }, { "version", order.version } }.dump();
  start.fence = order.fence;
  start.timeout = aStep.state.options.orderTimeout;
  aStep.out.emplace_back(std::move(start));
}

void
completeOrder(Step& aStep, bool aAccepted, const std::string& aDetail)
{
  auto& orders = aStep.state.orders;
  const auto pending = std::move(orders.waiting.front());
  orders.waiting.pop_front();
  orders.exchange = {};
  if (aAccepted) {
    // Only accepted orders are stored: a repeat of a refused or failed order is tried again.
    orders.answered.emplace_back(pending.order, OrderReply{ pending.order.number, aAccepted, aDetail });
    if (orders.answered.size() > kMaxAnswered) {
      orders.answered.pop_front();
    }
  }
  answer(aStep, pending.from, pending.order, aAccepted, aDetail);
  if (aAccepted && pending.order.kind == OrderKind::kDrain) {
    beginLeaving(aStep);
  }
  startNextOrder(aStep);
}

bool
isOrder(const Step& aStep, ExchangeId aExchange)
{
  return toNumber(aExchange) != 0 && aExchange == aStep.state.orders.exchange;
}

} // namespace

void
onOrder(Step& aStep, const Address& aFrom, const Order& aOrder)
{
  auto& orders = aStep.state.orders;
  if (!isController(aStep.state, aFrom)) {
    return;
  }
  if (aOrder.fence < orders.largestFence) {
    answer(aStep, aFrom, aOrder, false, "old fencing number");
    return;
  }
  orders.largestFence = aOrder.fence;
  const auto same = [&](const auto& aKnown) { return sameOrder(aKnown.first, aOrder); };
  const auto known = std::ranges::find_if(orders.answered, same);
  if (known != orders.answered.end()) {
    aStep.send(aFrom, known->second);
    return;
  }
  const auto waits = [&](const PendingOrder& aPending) { return sameOrder(aPending.order, aOrder); };
  const auto waiting = std::ranges::find_if(orders.waiting, waits);
  if (waiting != orders.waiting.end()) {
    waiting->from = aFrom;
    return;
  }
  if (orders.waiting.size() >= kMaxWaiting) {
    answer(aStep, aFrom, aOrder, false, "too many orders");
    return;
  }
  orders.waiting.push_back({ aOrder, aFrom });
  if (toNumber(orders.exchange) == 0) {
    startNextOrder(aStep);
  }
}

bool
onOrderHead(Step& aStep, const UpstreamHead& aEvent)
{
  if (!isOrder(aStep, aEvent.exchange)) {
    return false;
  }
  aStep.state.orders.httpStatus = aEvent.httpStatus;
  return true;
}

bool
onOrderEnd(Step& aStep, ExchangeId aExchange)
{
  if (!isOrder(aStep, aExchange)) {
    return false;
  }
  const auto status = aStep.state.orders.httpStatus;
  const auto detail = status == kOldFence ? std::string{ "the upstream refused the fencing number" }
                                          : "the upstream answered " + std::to_string(status);
  completeOrder(aStep, status == kAccepted, detail);
  return true;
}

bool
onOrderError(Step& aStep, const UpstreamError& aEvent)
{
  if (!isOrder(aStep, aEvent.exchange)) {
    return false;
  }
  completeOrder(aStep, false, "no answer of the upstream: " + aEvent.detail);
  return true;
}

} // namespace rhubarbarch::agent
