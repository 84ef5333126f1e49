#include "peer_part.h"

#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

PeerPart::PeerPart(Process& aProcess)
  : mProcess(aProcess)
  , mNetwork(options(), events())
  , mCommands(kLaneCount, kRingEvents, kOverflowMessages, [this] { mNetwork.post([this] { drain(); }); }, kOutboxBytes)
{
  mProcess.dispatcher.peers = &mCommands;
}

PeerPart::~PeerPart()
{
  stop();
}

net::PeerOptions
PeerPart::options() const
{
  const auto& settings = mProcess.settings;
  net::PeerOptions options;
  options.instance = settings.instance;
  options.boot = mProcess.boot;
  options.listenIp = settings.peer.listen.address;
  options.listenPort = settings.peer.listen.port;
  options.sharedKey = settings.peer.sharedKey;
  options.heartbeat = settings.peer.heartbeat;
  options.silence = settings.peer.silence;
  options.handshakeTimeout = settings.peer.handshakeTimeout;
  options.longestBackOff = settings.peer.longestBackOff;
  if (settings.router || settings.gateway) {
    options.roles.push_back(Role::kRouter);
  }
  if (settings.agent || settings.relay) {
    options.roles.push_back(Role::kAgent);
  }
  if (settings.controller) {
    options.roles.push_back(Role::kController);
  }
  return options;
}

net::PeerEvents
PeerPart::events()
{
  net::PeerEvents events;
  events.message = [this](Envelope&& aEnvelope) { mProcess.dispatcher.deliver(kFromPeers, std::move(aEnvelope)); };
  events.up = [this](const Address& aPeer) { mProcess.dispatcher.peerUp(kFromPeers, aPeer); };
  events.down = [this](const Address& aPeer) { mProcess.dispatcher.peerDown(kFromPeers, aPeer); };
  events.log = [this](const LogLine& aLine) { mProcess.log.write(aLine); };
  events.congested = [this] { return mProcess.dispatcher.congested(kFromPeers); };
  return events;
}

Result<void>
PeerPart::listen()
{
  return mNetwork.listen();
}

std::string
PeerPart::endpoint() const
{
  return settings::toString({ mProcess.settings.peer.listen.address, mNetwork.port() });
}

void
PeerPart::start()
{
  mProcess.log.write({ Severity::kInfo, "peers_listening", { { "endpoint", endpoint() } } });
  // Agents and controllers never ask for connections; every process needs those to the controllers.
  for (const auto& controller : mProcess.settings.controllers) {
    const Address peer{ controller.instance, Role::kController };
    mNetwork.connect(peer, settings::toString(controller.endpoint));
  }
  mThread = std::thread([this] { mNetwork.run(); });
}

void
PeerPart::stop()
{
  mNetwork.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
PeerPart::flushed()
{
  mNetwork.post([this] { mFlushed = mCommands.depth() == 0 && mNetwork.bufferedBytes() == 0; });
  return mFlushed.load();
}

Metrics
PeerPart::metrics() const
{
  auto metrics = mNetwork.metrics();
  metrics.push_back({ "rhubarbarch_ring_events", "role=\"peers\"", static_cast<double>(mCommands.depth()) });
  metrics.push_back({ "rhubarbarch_ring_bytes", "role=\"peers\"", static_cast<double>(mCommands.bytes()) });
  metrics.push_back({ "rhubarbarch_ring_refused_total", "role=\"peers\"", static_cast<double>(mCommands.refused()) });
  return metrics;
}

// On the thread of the connections.
void
PeerPart::drain()
{
  mCommands.drain([this](const PeerCommand& aCommand) {
    if (const auto* envelope = std::get_if<Envelope>(&aCommand)) {
      mNetwork.send(*envelope);
    } else if (const auto* connect = std::get_if<ConnectPeer>(&aCommand)) {
      mNetwork.connect(connect->peer, connect->endpoint);
    }
  });
}

} // namespace rhubarbarch::daemon
