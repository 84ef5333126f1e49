#include "rhubarbarch/net/peer_network.h"

#include "peer_link.h"
#include "rhubarbarch/net/peer_handshake.h"
#include "rhubarbarch/net/websocket.h"
#include "rhubarbarch/wire/codec.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace rhubarbarch::net {

namespace {

constexpr Duration kTimerPeriod{ 20 };
// A second connection of a pair that appears this soon after the first was opened by both sides at the same time.
constexpr Duration kSimultaneousOpen{ 1000 };

TimePoint
now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WebsocketOptions
transportOptions(const PeerOptions& aOptions)
{
  WebsocketOptions options;
  options.largeMessageBytes = kMaxFrameBytes;
  options.handshakeTimeout = aOptions.handshakeTimeout;
  return options;
}

} // namespace

struct PeerNetwork::State
{
  State(PeerOptions aOptions, PeerEvents aEvents)
    : options(std::move(aOptions))
    , events(std::move(aEvents))
    , random(std::random_device{}())
    , transport(transportOptions(options),
                { [this](LinkId aLink, bool aOutgoing) { opened(aLink, aOutgoing); },
                  [this](LinkId aLink, const std::string& aReason) { closed(aLink, aReason); },
                  [this](LinkId aLink, std::string&& aBytes) { received(aLink, aBytes); } })
  {
    transport.startTimer(kTimerPeriod, [this] { tick(); });
  }

  void log(Severity aSeverity, const char* aEvent, nlohmann::json aFields)
  {
    events.log({ aSeverity, aEvent, std::move(aFields) });
  }

  // Connections: the handshake.

  void opened(LinkId aLink, bool aOutgoing)
  {
    if (unprovenLinks() >= options.maxUnprovenLinks) {
      transport.drop(aLink);
      return;
    }
    PeerLink link;
    link.side = aOutgoing ? Side::kOpened : Side::kAccepted;
    link.openedAt = link.heardAt = link.sentAt = now();
    link.ownHello = encodeHello({ kProtocolVersion, options.instance, options.boot, options.roles, randomNonce() });
    const auto hello = link.ownHello;
    links[aLink] = std::move(link);
    transport.send(aLink, hello);
  }

  std::size_t unprovenLinks() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(links, [](const auto& aLink) { return aLink.second.stage != Stage::kProven; }));
  }

  void received(LinkId aLink, const std::string& aBytes)
  {
    const auto found = links.find(aLink);
    if (found == links.end()) {
      return;
    }
    auto& link = found->second;
    link.heardAt = now();
    if (std::exchange(link.silent, false)) {
      log(Severity::kInfo, "peer_heard_again", { { "peer", link.peer.instance } });
      reportUp(link.peer);
    }
    ++framesReceived;
    bytesReceived += aBytes.size();
    switch (link.stage) {
      case Stage::kAwaitHello:
        receivedHello(aLink, link, aBytes);
        break;
      case Stage::kAwaitProof:
        receivedProof(aLink, link, aBytes);
        break;
      case Stage::kProven:
        receivedFrame(aLink, link, aBytes);
        break;
    }
  }

  void receivedHello(LinkId aLink, PeerLink& aState, const std::string& aBytes)
  {
    auto hello = decodeHello(aBytes);
    if (!hello) {
      refuse(aLink, "peer_hello_refused", hello.error().detail);
      return;
    }
    if (hello.value().instance == options.instance) {
      refuse(aLink, "peer_hello_refused", "the peer has the name of this instance");
      return;
    }
    aState.peerHello = aBytes;
    aState.peer = std::move(hello.value());
    aState.stage = Stage::kAwaitProof;
    transport.send(aLink, proofOfKey(options.sharedKey, aState.side, aState.ownHello, aState.peerHello));
  }

  void receivedProof(LinkId aLink, PeerLink& aState, const std::string& aBytes)
  {
    const Side author = aState.side == Side::kOpened ? Side::kAccepted : Side::kOpened;
    if (!equalProofs(aBytes, proofOfKey(options.sharedKey, author, aState.peerHello, aState.ownHello))) {
      refuse(aLink, "peer_hello_refused", "wrong proof of the shared key");
      return;
    }
    const auto expected =
      std::ranges::find_if(wanted, [aLink](const auto& aPeer) { return aPeer.second.attempt == aLink; });
    if (expected != wanted.end() && expected->first != aState.peer.instance) {
      refuse(aLink, "peer_hello_refused", "endpoint of '" + expected->first + "' belongs to another instance");
      return;
    }
    aState.stage = Stage::kProven;
    aState.provenAt = now();
    transport.allowLargeMessages(aLink);
    admit(aLink, aState);
  }

  void receivedFrame(LinkId aLink, const PeerLink& aState, const std::string& aBytes)
  {
    if (aBytes == kHeartbeatFrame) {
      return;
    }
    auto envelope = decodeFrame(aBytes);
    if (!envelope) {
      refuse(aLink, "peer_frame_refused", envelope.error().detail);
      return;
    }
    const auto& from = envelope.value().from;
    if (from.instance != aState.peer.instance || envelope.value().to.instance != options.instance) {
      refuse(aLink, "peer_frame_refused", "frame with the address of another instance");
      return;
    }
    if (std::ranges::find(aState.peer.roles, from.role) == aState.peer.roles.end()) {
      refuse(aLink, "peer_frame_refused", "frame of a role that the peer does not have");
      return;
    }
    events.message(std::move(envelope.value()));
  }

  void refuse(LinkId aLink, const char* aEvent, const std::string& aDetail)
  {
    const auto& peer = links[aLink].peer.instance;
    log(Severity::kWarning, aEvent, { { "peer", peer }, { "detail", aDetail } });
    transport.drop(aLink);
  }

  // Connections: one per pair of instances.

  void admit(LinkId aLink, const PeerLink& aState)
  {
    const auto peer = aState.peer.instance;
    const auto roles = aState.peer.roles;
    const auto found = current.find(peer);
    if (found == current.end()) {
      current[peer] = aLink;
    } else if (newLinkWins(links[found->second], aState)) {
      const auto old = found->second;
      found->second = aLink;
      links[old].replaced = true;
      if (!links[old].silent) {
        reportLostRoles(links[old].peer, roles);
      }
      transport.drop(old);
    } else {
      links[aLink].replaced = true;
      transport.drop(aLink);
      return;
    }
    wanted[peer].backOff = options.firstBackOff;
    log(Severity::kInfo, "peer_up", { { "peer", peer }, { "boot", toNumber(aState.peer.boot) } });
    reportUp(aState.peer);
  }

  void reportUp(const Hello& aPeer)
  {
    std::ranges::for_each(aPeer.roles, [&](Role aRole) { events.up({ aPeer.instance, aRole }); });
  }

  void reportDown(const Hello& aPeer)
  {
    std::ranges::for_each(aPeer.roles, [&](Role aRole) { events.down({ aPeer.instance, aRole }); });
  }

  // Both sides must decide alike, or each would close the connection that the other one keeps.
  bool newLinkWins(const PeerLink& aOld, const PeerLink& aNew) const
  {
    if (aOld.peer.boot != aNew.peer.boot || aOld.side == aNew.side || now() - aOld.provenAt > kSimultaneousOpen) {
      return true;
    }
    const bool ownIsSmaller = options.instance < aNew.peer.instance;
    return (aNew.side == Side::kOpened) == ownIsSmaller;
  }

  void reportLostRoles(const Hello& aOld, const std::vector<Role>& aNewRoles)
  {
    for (const auto role : aOld.roles) {
      if (std::ranges::find(aNewRoles, role) == aNewRoles.end()) {
        events.down({ aOld.instance, role });
      }
    }
  }

  void closed(LinkId aLink, const std::string& aReason)
  {
    forgetAttempt(aLink);
    const auto found = links.find(aLink);
    if (found == links.end()) {
      return;
    }
    const auto link = std::move(found->second);
    links.erase(found);
    const auto& peer = link.peer.instance;
    const auto held = current.find(peer);
    if (link.stage != Stage::kProven || link.replaced || held == current.end() || held->second != aLink) {
      return;
    }
    current.erase(held);
    log(Severity::kWarning, "peer_down", { { "peer", peer }, { "reason", aReason } });
    if (!link.silent) {
      reportDown(link.peer);
    }
  }

  void forgetAttempt(LinkId aLink)
  {
    const auto attempt =
      std::ranges::find_if(wanted, [aLink](const auto& aPeer) { return aPeer.second.attempt == aLink; });
    if (attempt == wanted.end()) {
      return;
    }
    auto& peer = attempt->second;
    peer.attempt = LinkId{};
    const auto half = std::max<std::int64_t>(peer.backOff.count() / 2, 1);
    peer.nextAttempt = now() + Duration{ half + std::uniform_int_distribution<std::int64_t>(0, half)(random) };
    peer.backOff = std::min(peer.backOff * 2, options.longestBackOff);
  }

  // Timers.

  void tick()
  {
    const auto time = now();
    const bool congested = events.congested();
    queuedBytes = buffered();
    openLinks = links.size();
    std::vector<LinkId> overdue;
    for (auto& [id, link] : links) {
      setPaused(id, link, congested, time);
      noteSilence(id, link, time);
      if (expired(link, time)) {
        overdue.push_back(id);
      } else if (link.stage == Stage::kProven && time - link.sentAt >= options.heartbeat) {
        link.sentAt = time;
        transport.send(id, std::string(kHeartbeatFrame));
      }
    }
    for (const auto id : overdue) {
      const char* event = links[id].stage == Stage::kProven ? "peer_given_up" : "peer_handshake_timeout";
      log(Severity::kWarning, event, { { "peer", links[id].peer.instance } });
      transport.drop(id);
    }
    reconnect(time);
  }

  /// @return bytes of all connections that are not yet handed to the operating system
  std::size_t buffered() const
  {
    std::size_t bytes = 0;
    for (const auto& [id, link] : links) {
      bytes += transport.bufferedBytes(id);
    }
    return bytes;
  }

  void setPaused(LinkId aId, PeerLink& aLink, bool aPaused, TimePoint aTime)
  {
    if (aLink.paused == aPaused) {
      return;
    }
    aLink.paused = aPaused;
    aLink.heardAt = aTime;
    if (aPaused) {
      transport.pauseReading(aId);
    } else {
      transport.resumeReading(aId);
    }
  }

  bool silentFor(const PeerLink& aLink, Duration aTime, TimePoint aNow) const
  {
    return aLink.stage == Stage::kProven && !aLink.paused && aNow - aLink.heardAt > aTime;
  }

  /// Reports a silent peer as down, but keeps the connection: it may have died, or its frames wait behind other traffic
  /// on a full link, where a new connection would wait as well.
  void noteSilence(LinkId aId, PeerLink& aLink, TimePoint aTime)
  {
    if (aLink.silent || aLink.replaced || !silentFor(aLink, options.silence, aTime)) {
      return;
    }
    aLink.silent = true;
    log(Severity::kWarning, "peer_silent", { { "peer", aLink.peer.instance } });
    reportDown(aLink.peer);
    const auto peer = wanted.find(aLink.peer.instance);
    if (peer != wanted.end() && peer->second.attempt == aId) {
      peer->second.attempt = LinkId{};
      peer->second.nextAttempt = aTime;
    }
  }

  bool expired(const PeerLink& aLink, TimePoint aTime) const
  {
    if (aLink.stage != Stage::kProven) {
      return aTime - aLink.openedAt > options.handshakeTimeout;
    }
    return silentFor(aLink, options.longestSilence, aTime);
  }

  /// @return whether there is a connection to the peer that is not silent
  bool connected(const InstanceId& aPeer) const
  {
    const auto found = current.find(aPeer);
    return found != current.end() && !links.at(found->second).silent;
  }

  void reconnect(TimePoint aTime)
  {
    for (auto& [instance, peer] : wanted) {
      if (peer.endpoints.empty() || peer.attempt != LinkId{} || connected(instance) || aTime < peer.nextAttempt) {
        continue;
      }
      peer.attempt = transport.connect(peer.endpoints.begin()->second);
    }
  }

  void dropFull(LinkId aLink)
  {
    const auto bytes = transport.bufferedBytes(aLink);
    log(Severity::kWarning, "peer_queue_full", { { "peer", links[aLink].peer.instance }, { "bytes", bytes } });
    transport.drop(aLink);
    queuedBytes = buffered();
  }

  /// Closes the connection with the longest queue, whose peer reads least.
  /// @return whether another connection than `aLink` was closed, or none needed to be
  bool relieveQueues(LinkId aLink)
  {
    // The sum may be as old as a tick.
    queuedBytes = buffered();
    if (queuedBytes <= options.maxQueuedBytes) {
      return true;
    }
    const auto longest =
      std::ranges::max_element(links, {}, [this](const auto& aItem) { return transport.bufferedBytes(aItem.first); });
    const auto dropped = longest->first;
    dropFull(dropped);
    return dropped != aLink;
  }

  void send(const Envelope& aEnvelope)
  {
    const auto found = current.find(aEnvelope.to.instance);
    if (found == current.end()) {
      ++framesDropped;
      return;
    }
    const auto frame = encodeFrame(aEnvelope);
    if (frame.size() > kMaxFrameBytes) {
      ++framesDropped;
      log(Severity::kError, "peer_frame_too_large", { { "message", messageName(aEnvelope.message) } });
      return;
    }
    const auto link = found->second;
    const auto queued = transport.bufferedBytes(link);
    if (queued > 0 && queued + frame.size() > options.maxQueueBytes) {
      dropFull(link);
      return;
    }
    if (queuedBytes > 0 && queuedBytes + frame.size() > options.maxQueuedBytes && !relieveQueues(link)) {
      return;
    }
    queuedBytes += frame.size();
    links[link].sentAt = now();
    ++framesSent;
    bytesSent += frame.size();
    transport.send(link, frame);
  }

  PeerOptions options;
  PeerEvents events;
  std::minstd_rand random;
  std::map<InstanceId, WantedPeer> wanted;
  std::map<InstanceId, LinkId> current;
  std::unordered_map<LinkId, PeerLink> links;
  std::atomic<std::uint64_t> framesSent{ 0 };
  std::atomic<std::uint64_t> framesReceived{ 0 };
  std::atomic<std::uint64_t> framesDropped{ 0 };
  std::atomic<std::uint64_t> bytesSent{ 0 };
  std::atomic<std::uint64_t> bytesReceived{ 0 };
  std::atomic<std::size_t> queuedBytes{ 0 }; ///< at the last tick
  std::atomic<std::size_t> openLinks{ 0 };   ///< at the last tick
  WebsocketTransport transport;
};

PeerNetwork::PeerNetwork(PeerOptions aOptions, PeerEvents aEvents)
  : mState(std::make_unique<State>(std::move(aOptions), std::move(aEvents)))
{
}

PeerNetwork::~PeerNetwork() = default;

Result<void>
PeerNetwork::listen()
{
  const auto error = mState->transport.listen(mState->options.listenIp, mState->options.listenPort);
  if (!error.empty()) {
    return failure(ErrorCode::kIo, "peer listener " + error);
  }
  return boost::outcome_v2::success();
}

std::uint16_t
PeerNetwork::port() const
{
  return mState->transport.port();
}

void
PeerNetwork::connect(const Address& aPeer, const std::string& aEndpoint)
{
  if (aPeer.instance == mState->options.instance) {
    return;
  }
  auto& peer = mState->wanted[aPeer.instance];
  if (peer.backOff == Duration{ 0 }) {
    peer.backOff = mState->options.firstBackOff;
  }
  if (aEndpoint.empty()) {
    peer.endpoints.erase(aPeer.role);
  } else {
    peer.endpoints[aPeer.role] = aEndpoint;
  }
  // A connection that the peer opened, or that another role still wants, stays.
  const auto held = mState->current.find(aPeer.instance);
  if (peer.endpoints.empty() && held != mState->current.end() && mState->links[held->second].side == Side::kOpened) {
    mState->transport.drop(held->second);
  }
}

void
PeerNetwork::send(const Envelope& aEnvelope)
{
  mState->send(aEnvelope);
}

std::size_t
PeerNetwork::bufferedBytes() const
{
  return mState->buffered();
}

Metrics
PeerNetwork::metrics() const
{
  const auto number = [](const std::atomic<std::uint64_t>& aCount) { return static_cast<double>(aCount.load()); };
  return { { "rhubarbarch_peer_frames_sent_total", "", number(mState->framesSent) },
           { "rhubarbarch_peer_frames_received_total", "", number(mState->framesReceived) },
           { "rhubarbarch_peer_frames_dropped_total", "", number(mState->framesDropped) },
           { "rhubarbarch_peer_sent_bytes_total", "", number(mState->bytesSent) },
           { "rhubarbarch_peer_received_bytes_total", "", number(mState->bytesReceived) },
           { "rhubarbarch_peer_queued_bytes", "", static_cast<double>(mState->queuedBytes.load()) },
           { "rhubarbarch_peer_links", "", static_cast<double>(mState->openLinks.load()) } };
}

void
PeerNetwork::post(std::function<void()> aTask)
{
  mState->transport.post(std::move(aTask));
}

void
PeerNetwork::run()
{
  mState->transport.run();
}

void
PeerNetwork::stop()
{
  mState->transport.stop();
}

} // namespace rhubarbarch::net
