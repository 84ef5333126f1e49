#include "controllers.h"
#include "upstreams.h"

#include <algorithm>
#include <set>

namespace rhubarbarch::controller {

namespace {

constexpr Duration kCheckPeriod{ 500 };

void
sendOrder(Context& aContext, const ModelUpstream& aUpstream, OrderKind aKind, const LoadedVersion& aVersion)
{
  auto& sent = aContext.memory.orders[{ aUpstream.session, aKind, aVersion.model, aVersion.version }];
  if (sent.number != 0 && aContext.now - sent.sent < aContext.options.moves.orderRepeat) {
    return;
  }
  if (sent.number == 0) {
    sent.number = ++aContext.memory.orderNumber;
    log(aContext,
        "order_sent",
        { { "agent", aUpstream.instance },
          { "kind", static_cast<int>(aKind) },
          { "model", aVersion.model },
          { "version", aVersion.version },
          { "fence", toNumber(aContext.state.moves.fence) } });
  }
  sent.sent = aContext.now;
  send(aContext,
       { aUpstream.instance, Role::kAgent },
       Order{ sent.number, aContext.state.moves.fence, aKind, aVersion.model, aVersion.version });
}

// Limits the number of upstreams that load at the same time because they share the weight store's rate.
void
loadVersion(Context& aContext, const LoadedVersion& aVersion)
{
  auto freeLoads = aContext.options.moves.parallelLoads;
  for (const auto& upstream : upstreamsOf(aContext, aVersion.model)) {
    if (hasLoaded(upstream, aVersion.model, aVersion.version)) {
      aContext.memory.orders.erase({ upstream.session, OrderKind::kLoadVersion, aVersion.model, aVersion.version });
      continue;
    }
    if (freeLoads-- <= 0) {
      return;
    }
    sendOrder(aContext, upstream, OrderKind::kLoadVersion, aVersion);
  }
}

void
unloadVersion(Context& aContext, const LoadedVersion& aVersion)
{
  for (const auto& upstream : upstreamsOf(aContext, aVersion.model)) {
    const auto key = OrderKey{ upstream.session, OrderKind::kUnloadVersion, aVersion.model, aVersion.version };
    if (!hasLoaded(upstream, aVersion.model, aVersion.version)) {
      aContext.memory.orders.erase(key);
    } else {
      sendOrder(aContext, upstream, OrderKind::kUnloadVersion, aVersion);
    }
  }
}

// Whether every live router has polled this leader and holds the current traffic shares. If so, none sends new work to
// a version without a share.
bool
allRoutersHoldShares(const Context& aContext)
{
  return std::ranges::all_of(aContext.state.sessions.routers, [&](const auto& aItem) {
    const auto found = aContext.memory.sessions.find(aItem.first);
    return aItem.second.fenced || (found != aContext.memory.sessions.end() && found->second.polled &&
                                   found->second.movesRevision >= aContext.state.moves.revision);
  });
}

std::set<LoadedVersion>
wantedVersions(const state::Moves& aMoves)
{
  std::set<LoadedVersion> wanted;
  for (const auto& [model, shares] : aMoves.shares) {
    for (const auto& share : shares) {
      wanted.insert({ model, share.version });
    }
  }
  for (const auto& move : aMoves.moves) {
    // The old version stays loaded until the move is done, so that a rollback takes effect at once.
    if (state::isActive(move)) {
      wanted.insert({ move.model, move.fromVersion });
      if (move.state != MoveState::kPlanned) {
        wanted.insert({ move.model, move.toVersion });
      }
    }
  }
  return wanted;
}

// Versions that an ended move replaced or rolled back. Versions that no move ever named stay loaded because the
// controller did not order them.
std::set<LoadedVersion>
unwantedVersions(const Context& aContext, const std::set<LoadedVersion>& aWanted)
{
  std::set<LoadedVersion> unwanted;
  for (const auto& move : aContext.state.moves.moves) {
    const auto ended = Duration(aContext.unixMs - move.changedUnixMs);
    if (state::isActive(move) || ended < aContext.options.moves.unloadDelay || move.fromVersion.empty()) {
      continue;
    }
    const auto& version = move.state == MoveState::kDone ? move.fromVersion : move.toVersion;
    if (!aWanted.contains({ move.model, version })) {
      unwanted.insert({ move.model, version });
    }
  }
  return unwanted;
}

} // namespace

bool
handleOrders(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  const auto* answer = std::get_if<OrderReply>(&aMessage);
  if (answer == nullptr) {
    return false;
  }
  if (!answer->accepted) {
    log(aContext,
        "order_refused",
        { { "agent", aFrom.instance }, { "number", answer->number }, { "detail", answer->detail } },
        Severity::kWarning);
  }
  return true;
}

void
tickOrders(Context& aContext)
{
  if (aContext.unixMs == 0 || !isDue(aContext, aContext.memory.ordersChecked, kCheckPeriod)) {
    return;
  }
  const auto wanted = wantedVersions(aContext.state.moves);
  for (const auto& version : wanted) {
    loadVersion(aContext, version);
  }
  if (!allRoutersHoldShares(aContext)) {
    return;
  }
  for (const auto& version : unwantedVersions(aContext, wanted)) {
    unloadVersion(aContext, version);
  }
}

} // namespace rhubarbarch::controller
