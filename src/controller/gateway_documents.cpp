#include "gateway_documents.h"

#include <utility>

namespace rhubarbarch::controller {

namespace {

/// Records that a document is sent. @return false when the same document was sent to the same address less than
/// `documentPause` ago
bool
recordSent(const Context& aContext, SentDocument& aSent, std::uint64_t aRevision, const Address& aTo)
{
  const bool again =
    aSent.revision == aRevision && aSent.to == aTo && aContext.now - aSent.at < aContext.options.gateways.documentPause;
  if (!again) {
    aSent = { aRevision, aTo, aContext.now };
  }
  return !again;
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
  if (table.version <= aPoll.routingVersion ||
      (gateway != nullptr && !recordSent(aContext, gateway->routing, revision, aTo))) {
    return;
  }
  if (const auto* delta = deltaSince(aContext, aPoll.routingVersion)) {
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
      (gateway == nullptr || recordSent(aContext, gateway->upstreams, platform.upstreamsRevision, aTo))) {
    aAnswer.hasUpstreams = true;
    aAnswer.upstreams = platform.upstreams;
  }
}

} // namespace rhubarbarch::controller
