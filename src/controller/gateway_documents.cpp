#include "gateway_documents.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::controller {

namespace {

/// @return whether a document is to be sent: for the first time to this address, again because a later answer has
/// arrived and the document has not, or again because nothing was heard of it for `documentPause`
bool
documentDue(const Context& aContext,
            const SentDocument& aSent,
            std::uint64_t aRevision,
            const GatewayPoll& aPoll,
            const Address& aTo)
{
  const bool sent =
    aSent.revision == aRevision && aSent.to == aTo && aContext.now - aSent.at < aContext.options.gateways.documentPause;
  return !sent || aPoll.answered > aSent.answer;
}

/// Retains the document in force, so that the next one can be sent as a delta to it.
void
retainDocument(Context& aContext)
{
  const auto& table = aContext.state.routing.table;
  auto& memory = aContext.memory;
  if (table.version == 0 || memory.documents.contains(table.version)) {
    return;
  }
  memory.documents.emplace(table.version, table);
  memory.documentDeltas.clear();
  if (memory.documents.size() > aContext.options.gateways.documentsRetained) {
    memory.documents.erase(memory.documents.begin());
  }
}

/// @return the changes since a version; null when that document is no longer retained
const RoutingDelta*
deltaSince(Context& aContext, std::int64_t aVersion)
{
  auto& memory = aContext.memory;
  const auto held = memory.documents.find(aVersion);
  if (held == memory.documents.end()) {
    return nullptr;
  }
  const auto found = memory.documentDeltas.find(aVersion);
  if (found != memory.documentDeltas.end()) {
    return &found->second;
  }
  auto delta = makeDelta(held->second, aContext.state.routing.table);
  return &memory.documentDeltas.emplace(aVersion, std::move(delta)).first->second;
}

} // namespace

GatewayMemory*
findGateway(Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.gateways.find(aSession);
  return found == aContext.memory.gateways.end() ? nullptr : &found->second;
}

void
addRouting(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll, const Address& aTo)
{
  retainDocument(aContext);
  const auto& table = aContext.state.routing.table;
  auto* gateway = findGateway(aContext, aPoll.session);
  const auto revision = static_cast<std::uint64_t>(table.version);
  auto base = aPoll.routingVersion;
  if (table.version <= base) {
    return;
  }
  if (gateway != nullptr) {
    auto& sent = gateway->routing;
    const bool rejected = std::exchange(gateway->poll.routingRejected, false);
    if (!rejected && !documentDue(aContext, sent, revision, aPoll, aTo)) {
      return;
    }
    // Changes that follow one another sooner than polls do are each for the version before, which is on its way.
    const bool onItsWay =
      !rejected && sent.revision != revision && !documentDue(aContext, sent, sent.revision, aPoll, aTo);
    base = onItsWay ? std::max(base, static_cast<std::int64_t>(sent.revision)) : base;
    sent = { revision, aPoll.number, aTo, aContext.now };
  }
  if (const auto* delta = deltaSince(aContext, base)) {
    aAnswer.hasRoutingDelta = true;
    aAnswer.routingDelta = *delta;
  } else {
    aAnswer.hasRouting = true;
    aAnswer.routing = table;
  }
}

void
addUpstreams(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll, const Address& aTo)
{
  const auto& platform = aContext.platform;
  if (!platform.upstreamsReadAt) {
    return;
  }
  aAnswer.upstreamsAgeMs = (aContext.now - *platform.upstreamsReadAt).count();
  aAnswer.upstreamsRevision = platform.upstreamsRevision;
  auto* gateway = findGateway(aContext, aPoll.session);
  if (platform.upstreamsRevision != aPoll.upstreamsRevision &&
      (gateway == nullptr || documentDue(aContext, gateway->upstreams, platform.upstreamsRevision, aPoll, aTo))) {
    if (gateway != nullptr) {
      gateway->upstreams = { platform.upstreamsRevision, aPoll.number, aTo, aContext.now };
    }
    aAnswer.hasUpstreams = true;
    aAnswer.upstreams = platform.upstreams;
  }
}

} // namespace rhubarbarch::controller
