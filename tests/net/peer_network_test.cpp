#include "net_support.h"
#include "rhubarbarch/net/peer_handshake.h"
#include "rhubarbarch/net/peer_network.h"
#include "rhubarbarch/net/websocket.h"
#include "rhubarbarch/wire/codec.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::net;

namespace {

constexpr const char* kKey = "a shared key of the tests";

struct Seen
{
  std::vector<Envelope> messages;
  std::vector<Address> up;
  std::vector<Address> down;
  std::vector<std::string> events;
  std::vector<std::string> details;
};

bool
logged(const Seen& aSeen, const std::string& aEvent)
{
  return std::ranges::find(aSeen.events, aEvent) != aSeen.events.end();
}

/// A PeerNetwork on its own thread.
class Node
{
public:
  explicit Node(const std::string& aInstance, const std::function<void(PeerOptions&)>& aAdjust = {})
  {
    PeerOptions options;
    options.instance = aInstance;
    options.boot = Boot{ 1 };
    options.roles = { Role::kRouter, Role::kController };
    options.sharedKey = kKey;
    options.firstBackOff = Duration{ 10 };
    if (aAdjust) {
      aAdjust(options);
    }
    network = std::make_unique<PeerNetwork>(options, callbacks());
    CHECK(network->listen().has_value());
    mThread = std::thread([this] { network->run(); });
  }

  ~Node()
  {
    network->stop();
    mThread.join();
  }

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void connect(const std::string& aInstance, std::uint16_t aPort)
  {
    network->post([this, aInstance, aPort] {
      network->connect({ aInstance, Role::kController }, "127.0.0.1:" + std::to_string(aPort));
    });
  }

  void send(const Envelope& aEnvelope)
  {
    network->post([this, aEnvelope] { network->send(aEnvelope); });
  }

  bool awaitEvent(const std::string& aEvent)
  {
    return seen.wait([&](const Seen& aSeen) { return logged(aSeen, aEvent); });
  }

  bool awaitUp(const std::string& aInstance)
  {
    return seen.wait([&](const Seen& aSeen) {
      return std::ranges::any_of(aSeen.up, [&](const Address& aPeer) { return aPeer.instance == aInstance; });
    });
  }

  Watched<Seen> seen;
  std::unique_ptr<PeerNetwork> network;

private:
  PeerEvents callbacks()
  {
    PeerEvents events;
    events.message = [this](Envelope&& aEnvelope) {
      seen.change([&](Seen& aSeen) { aSeen.messages.push_back(std::move(aEnvelope)); });
    };
    events.up = [this](const Address& aPeer) { seen.change([&](Seen& aSeen) { aSeen.up.push_back(aPeer); }); };
    events.down = [this](const Address& aPeer) { seen.change([&](Seen& aSeen) { aSeen.down.push_back(aPeer); }); };
    events.log = [this](LogLine&& aLine) {
      seen.change([&](Seen& aSeen) {
        aSeen.events.push_back(aLine.event);
        aSeen.details.push_back(aLine.fields.dump());
      });
    };
    events.congested = [] { return false; };
    return events;
  }

  std::thread mThread;
};

struct RawSeen
{
  std::size_t opened = 0;
  std::size_t closed = 0;
  std::vector<std::string> frames; ///< after the handshake
  LinkId link{};
};

/// A peer whose frames the test chooses; does the handshake and sends no heartbeats.
class RawPeer
{
public:
  explicit RawPeer(const std::string& aInstance,
                   const std::string& aKey = kKey,
                   std::uint32_t aVersion = kProtocolVersion)
    : mKey(aKey)
  {
    mHello = encodeHello({ aVersion, aInstance, Boot{ 5 }, { Role::kController }, randomNonce() });
    WebsocketEvents events;
    events.opened = [this](LinkId aLink, bool aOutgoing) { opened(aLink, aOutgoing); };
    events.closed = [this](LinkId, const std::string&) { seen.change([](RawSeen& aSeen) { ++aSeen.closed; }); };
    events.message = [this](LinkId aLink, std::string&& aBytes) { received(aLink, std::move(aBytes)); };
    transport = std::make_unique<WebsocketTransport>(WebsocketOptions{}, events);
    STRCMP_EQUAL("", transport->listen("127.0.0.1", 0).c_str());
    mThread = std::thread([this] { transport->run(); });
  }

  ~RawPeer()
  {
    transport->stop();
    mThread.join();
  }

  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  void connect(std::uint16_t aPort)
  {
    transport->post([this, aPort] { transport->connect("127.0.0.1:" + std::to_string(aPort)); });
  }

  void send(const std::string& aFrame)
  {
    transport->post([this, aFrame] { transport->send(seen.copy().link, aFrame); });
  }

  /// From now on, handshakes of new connections get no answer.
  void ignoreNewConnections() { mIgnores = true; }

  bool awaitClosed()
  {
    return seen.wait([](const RawSeen& aSeen) { return aSeen.closed > 0; });
  }

  Watched<RawSeen> seen;
  std::unique_ptr<WebsocketTransport> transport;

private:
  void opened(LinkId aLink, bool aOutgoing)
  {
    if (mIgnores) {
      seen.change([](RawSeen& aSeen) { ++aSeen.opened; });
      return;
    }
    mSide = aOutgoing ? Side::kOpened : Side::kAccepted;
    mMessages[aLink] = 0;
    seen.change([&](RawSeen& aSeen) {
      ++aSeen.opened;
      aSeen.link = aLink;
    });
    transport->send(aLink, mHello);
  }

  void received(LinkId aLink, std::string&& aBytes)
  {
    if (!mMessages.contains(aLink)) {
      return;
    }
    const auto number = mMessages[aLink]++;
    if (number == 0) {
      transport->send(aLink, proofOfKey(mKey, mSide, mHello, aBytes));
      transport->allowLargeMessages(aLink);
    } else if (number > 1) {
      seen.change([&](RawSeen& aSeen) { aSeen.frames.push_back(std::move(aBytes)); });
    }
  }

  std::string mKey;
  std::string mHello;
  Side mSide = Side::kOpened;
  std::map<LinkId, std::size_t> mMessages;
  std::atomic<bool> mIgnores{ false };
  std::thread mThread;
};

Envelope
message(const std::string& aFrom, const std::string& aTo, std::size_t aBytes = 3)
{
  StreamChunk chunk;
  chunk.data.data = std::string(aBytes, 'x');
  return { { aFrom, Role::kController }, { aTo, Role::kRouter }, chunk };
}

} // namespace

TEST_GROUP(PeerNetwork){};

// Guards against a second connection being needed for the way back.
TEST(PeerNetwork, carriesMessagesBothWays)
{
  Node left("left");
  Node right("right");
  left.connect("right", right.network->port());
  CHECK(left.awaitUp("right"));
  CHECK(right.awaitUp("left"));
  left.send(message("left", "right"));
  right.send(message("right", "left"));
  CHECK(left.seen.wait([](const Seen& aSeen) { return aSeen.messages.size() == 1; }));
  CHECK(right.seen.wait([](const Seen& aSeen) { return aSeen.messages.size() == 1; }));
  CHECK(right.seen.copy().messages[0].from == (Address{ "left", Role::kController }));
  CHECK(right.seen.copy().up == (std::vector<Address>{ { "left", Role::kRouter }, { "left", Role::kController } }));
}

// Guards against two processes that connect to each other at the same time ending without a connection.
TEST(PeerNetwork, simultaneousConnectionsSettle)
{
  Node left("left");
  Node right("right");
  left.connect("right", right.network->port());
  right.connect("left", left.network->port());
  CHECK(left.awaitUp("right"));
  CHECK(right.awaitUp("left"));
  // Every exchange is repeated until it is acknowledged, so the test repeats too.
  const auto arrives = [](Node& aFrom, Node& aTo, const Envelope& aMessage) {
    const auto deadline = std::chrono::steady_clock::now() + kTestLimit;
    while (aTo.seen.copy().messages.empty() && std::chrono::steady_clock::now() < deadline) {
      aFrom.send(aMessage);
      std::this_thread::yield();
    }
    return !aTo.seen.copy().messages.empty();
  };
  CHECK(arrives(left, right, message("left", "right")));
  CHECK(arrives(right, left, message("right", "left")));
}

// Guards against a process without the shared key being served.
TEST(PeerNetwork, refusesWrongKey)
{
  Node node("node");
  RawPeer peer("stranger", "another key");
  peer.connect(node.network->port());
  CHECK(peer.awaitClosed());
  CHECK(node.awaitEvent("peer_hello_refused"));
  CHECK(node.seen.copy().up.empty());
}

// Guards against a proof that is sent back to its author being accepted.
TEST(PeerNetwork, proofsOfBothSidesDiffer)
{
  CHECK_FALSE(equalProofs(proofOfKey(kKey, Side::kOpened, "a", "b"), proofOfKey(kKey, Side::kAccepted, "a", "b")));
  CHECK_FALSE(equalProofs(proofOfKey(kKey, Side::kOpened, "ab", "c"), proofOfKey(kKey, Side::kOpened, "a", "bc")));
  CHECK_FALSE(equalProofs("", proofOfKey(kKey, Side::kOpened, "a", "b")));
  CHECK(equalProofs(proofOfKey(kKey, Side::kOpened, "a", "b"), proofOfKey(kKey, Side::kOpened, "a", "b")));
}

// Guards against processes of different protocol versions misunderstanding each other.
TEST(PeerNetwork, refusesOtherVersion)
{
  Node node("node");
  RawPeer peer("newer", kKey, kProtocolVersion + 1);
  peer.connect(node.network->port());
  CHECK(peer.awaitClosed());
  CHECK(node.awaitEvent("peer_hello_refused"));
  CHECK(node.seen.copy().details.at(0).find("protocol version 2") != std::string::npos);
}

// Guards against frames of an unproven peer being taken.
TEST(PeerNetwork, refusesFrameInsteadOfHello)
{
  Node node("node");
  RawSeen none;
  WebsocketEvents events;
  Watched<bool> closed;
  WebsocketTransport* sender = nullptr;
  events.opened = [&](LinkId aLink, bool) { sender->send(aLink, encodeFrame(message("peer", "node"))); };
  events.closed = [&](LinkId, const std::string&) { closed.change([](bool& aClosed) { aClosed = true; }); };
  events.message = [](LinkId, std::string&&) {};
  WebsocketTransport transport(WebsocketOptions{}, events);
  sender = &transport;
  transport.post([&] { transport.connect("127.0.0.1:" + std::to_string(node.network->port())); });
  std::thread thread([&] { transport.run(); });
  CHECK(closed.wait([](bool aClosed) { return aClosed; }));
  transport.stop();
  thread.join();
  CHECK(node.awaitEvent("peer_hello_refused"));
  CHECK(node.seen.copy().messages.empty());
}

// Guards against a malformed frame ending the process, or being skipped in silence.
TEST(PeerNetwork, closesOnMalformedFrame)
{
  Node node("node");
  RawPeer peer("peer");
  peer.connect(node.network->port());
  CHECK(node.awaitUp("peer"));
  peer.send("\xff\xff garbage");
  CHECK(peer.awaitClosed());
  CHECK(node.awaitEvent("peer_frame_refused"));
  CHECK(node.seen.wait([](const Seen& aSeen) { return aSeen.down.size() == 1; }));
}

// Guards against a proven peer speaking for another instance.
TEST(PeerNetwork, closesOnForeignSender)
{
  Node node("node");
  RawPeer peer("peer");
  peer.connect(node.network->port());
  CHECK(node.awaitUp("peer"));
  peer.send(encodeFrame(message("victim", "node")));
  CHECK(peer.awaitClosed());
  CHECK(node.awaitEvent("peer_frame_refused"));
  CHECK(node.seen.copy().messages.empty());
}

// Guards against a frame over the limit being held in memory.
TEST(PeerNetwork, closesOnOversizedFrame)
{
  Node node("node");
  RawPeer peer("peer");
  peer.connect(node.network->port());
  CHECK(node.awaitUp("peer"));
  peer.send(std::string(kMaxFrameBytes + 1, 'x'));
  CHECK(peer.awaitClosed());
  CHECK(node.awaitEvent("peer_down"));
  CHECK(node.seen.copy().messages.empty());
}

// Guards against a connection that went silent being used on and on.
TEST(PeerNetwork, replacesSilentConnection)
{
  Node node("node", [](PeerOptions& aOptions) { aOptions.silence = Duration{ 200 }; });
  RawPeer peer("peer");
  node.connect("peer", peer.transport->port());
  CHECK(node.awaitEvent("peer_silent"));
  CHECK(peer.seen.wait([](const RawSeen& aSeen) { return aSeen.opened >= 2; }));
  CHECK(node.seen.wait([](const Seen& aSeen) { return aSeen.up.size() >= 2; }));
}

// Guards against giving up a connection whose frames are only late, as behind other traffic on a full link, while no
// other one can be opened: what is on its way would be lost, and the peer could not be reached until the traffic ends.
TEST(PeerNetwork, keepsASilentConnectionUntilAnotherOneReplacesIt)
{
  Node node("node", [](PeerOptions& aOptions) { aOptions.silence = Duration{ 200 }; });
  RawPeer peer("peer");
  node.connect("peer", peer.transport->port());
  CHECK(node.awaitUp("peer"));
  peer.ignoreNewConnections();
  CHECK(node.awaitEvent("peer_silent"));
  CHECK(peer.seen.wait([](const RawSeen& aSeen) { return aSeen.opened >= 2; }));
  CHECK_EQUAL(0U, peer.seen.copy().closed);
  CHECK_EQUAL(2U, node.seen.copy().down.size() + node.seen.copy().up.size());
  peer.send(encodeFrame(message("peer", "node")));
  CHECK(node.seen.wait([](const Seen& aSeen) { return aSeen.messages.size() == 1; }));
  CHECK_EQUAL(2U, node.seen.copy().up.size());
}

// Guards against connections to dead peers that stay open for good and hold what is queued for them.
TEST(PeerNetwork, closesAConnectionThatStaysSilent)
{
  Node node("node", [](PeerOptions& aOptions) {
    aOptions.silence = Duration{ 100 };
    aOptions.longestSilence = Duration{ 400 };
  });
  RawPeer peer("peer");
  peer.connect(node.network->port());
  CHECK(node.awaitUp("peer"));
  CHECK(node.awaitEvent("peer_given_up"));
  CHECK(peer.awaitClosed());
  CHECK(node.awaitEvent("peer_down"));
  CHECK_EQUAL(1U, node.seen.copy().down.size());
}

// Guards against a busy connection being taken for a dead one by a peer that has nothing to say.
TEST(PeerNetwork, sendsHeartbeats)
{
  Node node("node", [](PeerOptions& aOptions) { aOptions.heartbeat = Duration{ 20 }; });
  RawPeer peer("peer");
  node.connect("peer", peer.transport->port());
  CHECK(peer.seen.wait([](const RawSeen& aSeen) { return aSeen.frames.size() >= 3; }));
}

// Guards against a peer that does not read making the process hold its messages without bound.
TEST(PeerNetwork, boundsQueueOfSlowPeer)
{
  constexpr std::size_t kQueue = std::size_t{ 256 } * 1024;
  Node node("node", [](PeerOptions& aOptions) { aOptions.maxQueueBytes = kQueue; });
  RawPeer peer("peer");
  peer.connect(node.network->port());
  CHECK(node.awaitUp("peer"));
  peer.transport->post([&] { peer.transport->pauseReading(peer.seen.copy().link); });
  const auto deadline = std::chrono::steady_clock::now() + kTestLimit;
  while (!logged(node.seen.copy(), "peer_queue_full") && std::chrono::steady_clock::now() < deadline) {
    auto envelope = message("node", "peer", kQueue / 4);
    envelope.from.role = Role::kRouter;
    node.send(envelope);
    std::this_thread::yield();
  }
  CHECK(node.awaitEvent("peer_queue_full"));
  CHECK(node.awaitEvent("peer_down"));
}

// Guards against many peers that do not read: each of their queues is within its bound, all together exceed the memory
// of the machine.
TEST(PeerNetwork, boundsTheQueuesOfSlowPeersTogether)
{
  constexpr std::size_t kTogether = std::size_t{ 512 } * 1024;
  Node node("node", [](PeerOptions& aOptions) { aOptions.maxQueuedBytes = kTogether; });
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (const auto* name : { "peer-1", "peer-2", "peer-3" }) {
    peers.push_back(std::make_unique<RawPeer>(name));
    auto& peer = *peers.back();
    peer.connect(node.network->port());
    CHECK(node.awaitUp(name));
    peer.transport->post([&peer] { peer.transport->pauseReading(peer.seen.copy().link); });
  }
  const auto deadline = std::chrono::steady_clock::now() + kTestLimit;
  while (!logged(node.seen.copy(), "peer_queue_full") && std::chrono::steady_clock::now() < deadline) {
    for (const auto* name : { "peer-1", "peer-2", "peer-3" }) {
      auto envelope = message("node", name, kTogether / 8);
      envelope.from.role = Role::kRouter;
      node.send(envelope);
    }
    std::this_thread::yield();
  }
  CHECK(node.awaitEvent("peer_queue_full"));
}
