#pragma once

#include "rhubarbarch/agent/events.h"
#include "rhubarbarch/agent/options.h"
#include "rhubarbarch/agent/usage.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbarch::agent {

/// Connection state towards the leader of the controllers.
struct ControlLink
{
  std::size_t current = 0; ///< index into the list of controllers
  TimePoint lastReplyAt;   ///< last reply of the current controller, or the time of its selection
  TimePoint nextSend;
  TimePoint nextImmediateHint; ///< before this time a leader hint is followed with a delay
  std::uint64_t polls = 0;
  std::uint64_t firstPoll = 1;   ///< first poll of the current session; answers to earlier ones are ignored
  bool configured = false;       ///< a ConfigState was received
  std::uint64_t drainedPoll = 0; ///< number of the first poll that reported drained; zero: none
  bool drainedAcked = false;     ///< the leader has answered that poll
  LogIndex readIndex{};
  Revision plansRevision{};
  Revision usesRevision{};
  std::vector<InstanceId> silentRouters; ///< routers whose connection state the leader asks for
};

/// Router sessions whose dispatches are accepted.
struct Sessions
{
  bool registered = false;
  SessionId own{};
  LogIndex readIndex{};
  LogIndex lostIndex{};       ///< index at which the loss of the own session was observed
  std::set<SessionId> live;   ///< router sessions live at readIndex
  std::set<SessionId> fenced; ///< fenced by a FenceSession received since
};

enum class Phase : std::uint8_t
{
  kQueued,
  kRunning,
  kSuspended, ///< cancelled at the engine; to be resumed from the bytes received
  kDone
};

/// The answer of a run. `buffered` holds the bytes from `bufferedFrom` to `received()`.
struct Answer
{
  std::string buffered;
  std::uint64_t bufferedFrom = 0;
  std::uint64_t sent = 0; ///< all bytes before this offset were sent to the receiver
  std::uint64_t creditUntil = 0;
  bool headSent = false;
  bool paused = false; ///< the exchange is paused
  TimePoint pausedSince;

  std::uint64_t received() const noexcept { return bufferedFrom + buffered.size(); }
};

struct Run
{
  Dispatch request; ///< the body is released when the run ends
  Address owner;    ///< router that dispatched the run; holds the reservation
  Address receiver; ///< router that receives the answer
  SessionId receiverSession{};
  Phase phase = Phase::kQueued;
  TimePoint queuedAt;
  TimePoint startedAt;
  TimePoint deadline;
  TimePoint finishedAt;
  std::int64_t kvBytes = 0;
  std::int64_t bodyBytes = 0;
  ExchangeId exchange{};
  bool resumed = false; ///< the current exchange continues an earlier one
  TimePoint nextResume;
  std::int32_t httpStatus = 0; ///< zero: no answer yet
  std::string contentType;
  Answer answer;
  UsageScanner usage;
  RunDone done;
  bool receiverAcked = false;
  bool ownerAcked = false;
  TimePoint nextDone;
  bool settled = false; ///< the ledger holds the charge, or there is none
};

/// All attempts in the memory of this agent. `watermarks` holds, for each router boot that assigned request ids, the
/// largest counter of an erased attempt: the agent may have erased any attempt of that boot up to this counter.
struct RunTable
{
  std::map<RunId, Run> runs;
  std::vector<RunId> queue;
  std::set<RunId> active;     ///< running or suspended
  std::set<RunId> unsettled;  ///< done, but RunDone or the charge is not acknowledged
  std::deque<RunId> finished; ///< settled and acknowledged, oldest first
  std::unordered_map<std::uint64_t, RunId> exchanges;
  std::uint64_t nextExchange = 1;

  std::map<RunId, TimePoint> tombstones;
  std::deque<RunId> tombstoneOrder;

  std::map<std::string, std::uint64_t> watermarks;
  std::deque<std::string> watermarkOrder;
  bool watermarksEvicted = false;
  SessionId largestSessionAtEviction{}; ///< largest router session seen when a watermark was last evicted

  std::int64_t reservedKvBytes = 0;
  std::int64_t requestBytes = 0;
  std::size_t bufferedBytes = 0;
  std::size_t running = 0; ///< exchanges in use by runs
  SessionId largestSession{};
};

/// Largest reservation of the current and the previous period, each as long as the lag of the load report.
struct ReservedPeak
{
  TimePoint rotateAt;
  std::int64_t current = 0;
  std::int64_t previous = 0;
};

struct Engine
{
  LoadReport load;
  bool reported = false;
  ReservedPeak peak;
  std::uint64_t cacheSequence = 0;
  bool hasCacheSequence = false;
  std::list<std::uint64_t> prefixes; ///< most recent first
};

struct RouterPeer
{
  bool connected = false;
  TimePoint lastContactAt;
};

struct Peers
{
  std::map<Address, RouterPeer> routers;
  TimePoint nextStatus;
  bool statusDue = false;
};

struct PendingCharges
{
  std::map<std::uint64_t, std::vector<RunId>> batches; ///< by number
  std::uint64_t nextNumber = 1;
  TimePoint nextScan;
  TimePoint nextSend;
};

struct PendingOrder
{
  Order order;
  Address from;
};

struct Orders
{
  FenceNumber largestFence{};
  std::deque<PendingOrder> waiting; ///< the first one is in progress when `exchange` is set
  ExchangeId exchange{};
  std::int32_t httpStatus = 0;
  std::deque<std::pair<Order, OrderReply>> answered;
};

struct DecisionLog
{
  std::deque<std::pair<RequestId, std::string>> decisions;
};

struct Counters
{
  std::uint64_t accepted = 0;
  std::map<std::string, std::uint64_t> refused;
  std::map<std::string, std::uint64_t> finished;
  std::uint64_t duplicates = 0;
  std::uint64_t tombstoned = 0;
  std::uint64_t pauses = 0;
  std::uint64_t suspended = 0;
  std::uint64_t resumed = 0;
  std::uint64_t attached = 0;
  std::uint64_t missingUsage = 0;
  Tokens chargedTokens = 0;
};

struct State
{
  AgentOptions options;
  Boot boot{};
  std::mt19937_64 random;
  ControlLink control;
  Sessions sessions;
  RunTable table;
  Engine engine;
  Peers peers;
  PendingCharges charges;
  Orders orders;
  DecisionLog decisionLog;
  Counters counters;
  bool leaving = false;
  bool stopping = false;
  bool stopped = false;
  TimePoint stoppingSince;
};

/// Context of one step of the state machine: the state, the time and the resulting actions.
struct Step
{
  State& state;
  TimePoint now;
  Actions& out;

  void send(const Address& aTo, Message aMessage) { out.emplace_back(Send{ aTo, std::move(aMessage) }); }
};

inline bool
isModelEngine(const State& aState)
{
  return aState.options.upstream.service.empty();
}

} // namespace rhubarbarch::agent
