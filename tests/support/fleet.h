#pragma once

#include "fleet_types.h"

#include "rhubarbarch/wire/codec.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::testing {

/// All roles of a small fleet in one thread, with messages passed by value through their codec and a clock that only
/// advance() moves. Faults: lost and delayed messages, cut links, killed and paused processes, lost disks.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions)
    : options(std::move(aOptions))
    , random(options.seed)
  {
    addNodes("c", options.controllers, Role::kController);
    addNodes("r", options.routers, Role::kRouter);
    addNodes("e", options.engines, Role::kAgent);
    addNodes("s", options.services, Role::kAgent);
    for (auto& [name, node] : nodes) {
      boot(node);
    }
  }

  FleetOptions options;
  std::mt19937_64 random;
  TimePoint now{ Duration{ 1'000'000 } };
  WallTime wall{ Duration{ 1'700'000'000'000 } };
  std::map<InstanceId, FleetNode> nodes;
  UpstreamTruth truth;
  std::map<router::CallerId, CallerView> callers;
  std::map<controller::OperatorId, controller::OperatorReply> operatorReplies;
  std::deque<LogLine> logLines;
  std::size_t logLinesKept = 0;           ///< the last this many lines are kept in logLines
  std::set<router::CallerId> slowCallers; ///< these read nothing until drain() is called

  FleetNode& node(const InstanceId& aName) { return nodes.at(aName); }

  void advance(Duration aTime)
  {
    const auto until = now + aTime;
    while (now < until) {
      now += kTickPeriod;
      wall += kTickPeriod;
      tick();
    }
  }

  /// Advances until a condition holds.
  /// @return whether it held within the time
  bool advanceUntil(const std::function<bool()>& aCondition, Duration aLimit)
  {
    const auto until = now + aLimit;
    while (!aCondition() && now < until) {
      advance(kTickPeriod);
    }
    return aCondition();
  }

  /// Cuts or restores all links between an instance and those for which the predicate holds.
  void cut(const InstanceId& aName, const std::function<bool(const InstanceId&)>& aFrom, bool aCut = true)
  {
    for (const auto& [other, node] : nodes) {
      if (other == aName || !aFrom(other)) {
        continue;
      }
      const auto pair = std::minmax(aName, other);
      aCut ? static_cast<void>(mCuts.insert(pair)) : static_cast<void>(mCuts.erase(pair));
    }
  }

  void isolate(const InstanceId& aName)
  {
    cut(aName, [](const InstanceId&) { return true; });
  }
  void heal() { mCuts.clear(); }

  void kill(const InstanceId& aName)
  {
    auto& victim = node(aName);
    victim.running = false;
    victim.paused = false;
    victim.inbox.clear();
    // A process that starts again has no connection yet and is told about each one that opens.
    std::erase_if(mConnections, [&](const auto& aItem) { return aItem.first.first == aName; });
    victim.controller.reset();
    victim.router.reset();
    victim.agent.reset();
    if (victim.disk) {
      victim.disk->crash(random);
    }
    if (victim.upstream) {
      victim.upstream->disconnect();
    }
    for (auto& [id, caller] : callers) {
      caller.aborted = caller.aborted || (caller.router == aName && !caller.ended);
    }
  }

  void loseDisk(const InstanceId& aName)
  {
    kill(aName);
    node(aName).disk = std::make_unique<consensus::MemoryDisk>(random);
  }

  void restart(const InstanceId& aName)
  {
    if (!node(aName).running) {
      boot(node(aName));
    }
  }

  void pause(const InstanceId& aName) { node(aName).paused = node(aName).running; }
  void resume(const InstanceId& aName)
  {
    auto& target = node(aName);
    target.paused = false;
    for (auto& envelope : std::exchange(target.inbox, {})) {
      deliver(envelope);
    }
  }

  /// Sends a caller's request to a router.
  router::CallerId ask(const InstanceId& aRouter,
                       const std::string& aApiKey,
                       const std::string& aPath,
                       const std::string& aBody,
                       const std::string& aIdempotencyKey = "")
  {
    const auto id = router::CallerId{ ++mLastCaller };
    callers[id].router = aRouter;
    if (!node(aRouter).running) {
      callers[id].aborted = true;
      return id;
    }
    feed(node(aRouter),
         router::CallerRequest{ id, "POST", aPath, aApiKey, aIdempotencyKey, "application/json", aBody, {}, {} });
    return id;
  }

  /// Begins a graceful shutdown; the router is killed once it says that it has stopped.
  void shutDownRouter(const InstanceId& aRouter)
  {
    if (alive(aRouter)) {
      feedRole(node(aRouter), roles::Shutdown{});
    }
  }

  /// Lets a slow caller read what it was sent.
  void drain(router::CallerId aCaller) { drainAt(callers.at(aCaller).router, aCaller); }

  controller::OperatorId operate(const InstanceId& aController, controller::Operation aOperation)
  {
    const auto id = controller::OperatorId{ ++mLastOperator };
    if (node(aController).running) {
      feed(node(aController), controller::OperatorRequest{ id, std::move(aOperation) });
    }
    return id;
  }

  /// Gives a controller the platform's list of instances.
  void reportPlatform(const InstanceId& aController,
                      const std::vector<InstanceId>& aLive,
                      const std::vector<InstanceId>& aLeaving)
  {
    if (alive(aController)) {
      feed(node(aController), controller::PlatformList{ aLive, aLeaving });
    }
  }

  /// Performs an operation at the current leader and waits for the answer.
  std::optional<controller::OperatorReply> operateAtLeader(const controller::Operation& aOperation,
                                                           Duration aLimit = Duration{ 5000 })
  {
    const auto until = now + aLimit;
    while (now < until) {
      const auto leader = leaderName();
      if (!leader.empty()) {
        const auto id = operate(leader, aOperation);
        advanceUntil([&] { return operatorReplies.contains(id); }, Duration{ 1500 });
        if (operatorReplies.contains(id) && operatorReplies[id].httpStatus != 503) {
          return operatorReplies[id];
        }
      }
      advance(kTickPeriod);
    }
    return std::nullopt;
  }

  InstanceId leaderName() const
  {
    for (const auto& [name, item] : nodes) {
      if (item.controller && !item.paused && item.controller->isLeader()) {
        return name;
      }
    }
    return {};
  }

  const state::ReplicatedState& leaderState() const { return nodes.at(leaderName()).controller->replicatedState(); }

private:
  void addNodes(const std::string& aPrefix, std::size_t aCount, Role aRole)
  {
    for (std::size_t index = 1; index <= aCount; ++index) {
      FleetNode added;
      added.instance = aPrefix + std::to_string(index);
      added.role = aRole;
      if (aRole == Role::kController) {
        added.disk = std::make_unique<consensus::MemoryDisk>(random);
      }
      if (aRole == Role::kAgent) {
        added.upstream = std::make_unique<FleetUpstream>(aPrefix == "e");
        if (aPrefix == "e") {
          added.upstream->loaded = { { "quill", "v1" } };
        }
      }
      const auto name = added.instance;
      nodes.emplace(name, std::move(added));
    }
  }

  std::vector<InstanceId> controllerNames() const
  {
    std::vector<InstanceId> names;
    for (std::size_t index = 1; index <= options.controllers; ++index) {
      names.push_back("c" + std::to_string(index));
    }
    return names;
  }

  void boot(FleetNode& aNode)
  {
    aNode.running = true;
    const Boot newBoot{ random() };
    switch (aNode.role) {
      case Role::kController:
        bootController(aNode);
        return;
      case Role::kRouter:
        bootRouter(aNode, newBoot);
        return;
      case Role::kAgent:
        bootAgent(aNode, newBoot);
        return;
    }
  }

  void bootController(FleetNode& aNode)
  {
    controller::ControllerOptions settings;
    settings.replica.instance = aNode.instance;
    settings.replica.controllers = controllerNames();
    settings.replica.bootstrap = true;
    if (options.tuneController) {
      options.tuneController(settings);
    }
    aNode.controller =
      std::make_unique<controller::ControllerRole>(settings, aNode.disk->synced(), std::mt19937_64(random()));
    execute(aNode, aNode.controller->start(now));
  }

  void bootRouter(FleetNode& aNode, Boot aBoot)
  {
    router::RouterOptions settings;
    settings.instance = aNode.instance;
    settings.dataCentre = "dc1";
    settings.endpoint = "127.0.0.1:1";
    for (const auto& name : controllerNames()) {
      settings.controllers.push_back({ name, "127.0.0.1:1" });
    }
    if (options.tuneRouter) {
      options.tuneRouter(settings);
    }
    aNode.router = std::make_unique<router::RouterRole>(settings, aBoot, std::mt19937_64(random()));
  }

  void bootAgent(FleetNode& aNode, Boot aBoot)
  {
    agent::AgentOptions settings;
    settings.instance = aNode.instance;
    settings.dataCentre = "dc1";
    settings.endpoint = "127.0.0.1:1";
    settings.controllers = controllerNames();
    settings.upstream.name = "upstream-" + aNode.instance;
    settings.upstream.service = aNode.instance.starts_with("s") ? "orders" : "";
    settings.upstream.kvCapacityBytes = std::int64_t{ 1 } << 40U;
    if (options.tuneAgent) {
      options.tuneAgent(settings);
    }
    aNode.agent = std::make_unique<agent::AgentRole>(settings, aBoot, std::mt19937_64(random()));
  }

  bool linked(const InstanceId& aOne, const InstanceId& aOther) const
  {
    return aOne == aOther || !mCuts.contains(std::minmax(aOne, aOther));
  }

  bool alive(const InstanceId& aName) const
  {
    const auto found = nodes.find(aName);
    return found != nodes.end() && found->second.running && !found->second.paused;
  }

  void passPending()
  {
    for (const auto& [name, caller] : std::exchange(mPendingDrains, {})) {
      drainAt(name, caller);
    }
    for (const auto& [name, event] : std::exchange(mUpstreamEvents, {})) {
      if (alive(name)) {
        feed(node(name), event);
      }
    }
  }

  void drainAt(const InstanceId& aRouter, router::CallerId aCaller)
  {
    const auto bytes = std::exchange(callers[aCaller].undrained, 0);
    if (bytes > 0 && alive(aRouter)) {
      feed(node(aRouter), router::CallerDrained{ aCaller, bytes });
    }
  }

  void tick()
  {
    passPending();
    while (!mQueue.empty() && mQueue.begin()->first.first <= now) {
      const auto envelope = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      if (linked(envelope.from.instance, envelope.to.instance)) {
        deliver(envelope);
      }
    }
    updateConnections();
    for (auto& [name, item] : nodes) {
      tickNode(item);
    }
  }

  void tickNode(FleetNode& aNode)
  {
    if (aNode.upstream && !aNode.paused) {
      std::vector<agent::Event> events;
      aNode.upstream->tick(truth, events);
      if (aNode.running) {
        for (const auto& event : events) {
          feed(aNode, event);
        }
      }
    }
    if (!aNode.running || aNode.paused) {
      return;
    }
    if (aNode.controller) {
      feed(aNode, controller::Tick{ wall });
    } else if (aNode.router) {
      feed(aNode, router::Tick{});
    } else {
      feed(aNode, agent::Tick{});
    }
  }

  /// Tells processes about mConnections that were opened, closed, or silent for the heartbeat limit.
  void updateConnections()
  {
    constexpr Duration kSilence{ 3000 };
    for (auto& [name, item] : nodes) {
      for (const auto& [other, peer] : nodes) {
        if (!item.running || item.paused || name == other) {
          continue;
        }
        auto& connection = mConnections[{ name, other }];
        const bool usable = alive(other) && linked(name, other);
        if (usable) {
          connection.lastUsable = now;
        }
        const bool up = usable || (peer.running && now - connection.lastUsable < kSilence && connection.up);
        if (up != connection.up) {
          connection.up = up;
          notify(item, { other, peer.role }, up);
        }
      }
    }
  }

  void notify(FleetNode& aNode, const Address& aPeer, bool aUp)
  {
    if (aUp) {
      feedRole(aNode, roles::PeerUp{ aPeer });
    } else {
      feedRole(aNode, roles::PeerDown{ aPeer });
    }
  }

  void deliver(const Envelope& aEnvelope)
  {
    const auto found = nodes.find(aEnvelope.to.instance);
    if (found == nodes.end() || !found->second.running || found->second.role != aEnvelope.to.role) {
      return;
    }
    auto& target = found->second;
    if (target.paused) {
      target.inbox.push_back(aEnvelope);
    } else {
      feedRole(target, roles::PeerMessage{ aEnvelope.from, aEnvelope.message });
    }
  }

  /// Lets a role handle an event and adds the time it took.
  template<typename RoleMachine, typename RoleEvent>
  auto timed(FleetNode& aNode, RoleMachine& aRole, const RoleEvent& aEvent)
  {
    const auto started = std::chrono::steady_clock::now();
    auto actions = aRole.handle(aEvent, now);
    aNode.meter.busy += std::chrono::steady_clock::now() - started;
    ++aNode.meter.calls;
    return actions;
  }

  void feed(FleetNode& aNode, const controller::Event& aEvent)
  {
    execute(aNode, timed(aNode, *aNode.controller, aEvent));
  }
  void feed(FleetNode& aNode, const router::Event& aEvent) { execute(aNode, timed(aNode, *aNode.router, aEvent)); }
  void feed(FleetNode& aNode, const agent::Event& aEvent) { execute(aNode, timed(aNode, *aNode.agent, aEvent)); }

  /// Feeds an event that all roles know to the one that the node runs.
  template<typename RoleEvent>
  void feedRole(FleetNode& aNode, const RoleEvent& aEvent)
  {
    if (aNode.controller) {
      feed(aNode, controller::Event(aEvent));
    } else if (aNode.router) {
      feed(aNode, router::Event(aEvent));
    } else {
      feed(aNode, agent::Event(aEvent));
    }
  }

  template<typename RoleActions>
  void execute(FleetNode& aNode, const RoleActions& aActions)
  {
    for (const auto& action : aActions) {
      std::visit([&](const auto& aItem) { perform(aNode, aItem); }, action);
    }
  }

  void send(FleetNode& aNode, const Address& aTo, const Message& aMessage)
  {
    if (std::uniform_int_distribution<int>(0, 99)(random) < options.dropPercent) {
      return;
    }
    Envelope envelope{ { aNode.instance, aNode.role }, aTo, aMessage };
    const auto frame = encodeFrame(envelope);
    ++aNode.meter.frames;
    aNode.meter.bytes += frame.size();
    envelope = decodeFrame(frame).value();
    const auto delay =
      std::uniform_int_distribution<Duration::rep>(options.minDelay.count(), options.maxDelay.count())(random);
    // Messages of one connection keep their order.
    auto& last = mLastArrival[{ aNode.instance, aTo.instance }];
    last = std::max(last, now + Duration{ delay });
    mQueue.emplace(std::pair{ last, ++mSequence }, std::move(envelope));
  }

  void perform(FleetNode& aNode, const roles::Send& aSend) { send(aNode, aSend.to, aSend.message); }

  void perform(FleetNode& aNode, const controller::Persist& aPersist)
  {
    aNode.disk->write(aPersist.records);
    aNode.disk->sync();
  }

  // This fleet has neither open membership nor gateways.
  void perform(FleetNode& /*aNode*/, const controller::Connect& /*aConnect*/) {}
  void perform(FleetNode& /*aNode*/, const controller::ReadUpstreams& /*aRead*/) {}

  void perform(FleetNode& /*aNode*/, const controller::OperatorReply& aReply) { operatorReplies[aReply.id] = aReply; }

  void perform(FleetNode& /*aNode*/, const router::ReplyHead& aHead)
  {
    auto& caller = callers[aHead.caller];
    caller.status = aHead.httpStatus;
    caller.retryAfter = aHead.retryAfter;
    caller.requestId = aHead.requestId;
  }

  void perform(FleetNode& aNode, const router::ReplyBody& aBody)
  {
    auto& caller = callers[aBody.caller];
    caller.body += aBody.data;
    caller.undrained += aBody.data.size();
    if (!slowCallers.contains(aBody.caller)) {
      mPendingDrains.emplace_back(aNode.instance, aBody.caller);
    }
  }

  void perform(FleetNode& /*aNode*/, const router::ReplyEnd& aEnd) { callers[aEnd.caller].ended = true; }
  void perform(FleetNode& /*aNode*/, const router::ReplyAbort& aAbort) { callers[aAbort.caller].aborted = true; }
  void perform(FleetNode& /*aNode*/, const router::Connect& /*aConnect*/) {}
  void perform(FleetNode& aNode, const roles::Stopped& /*aStopped*/) { kill(aNode.instance); }

  void perform(FleetNode& aNode, const agent::UpstreamStart& aStart)
  {
    std::vector<agent::Event> events;
    aNode.upstream->start(aStart, truth, events);
    for (const auto& event : events) {
      mUpstreamEvents.emplace_back(aNode.instance, event);
    }
  }

  void perform(FleetNode& aNode, const agent::UpstreamPause& aPause) { aNode.upstream->pause(aPause.exchange, true); }
  void perform(FleetNode& aNode, const agent::UpstreamContinue& aItem) { aNode.upstream->pause(aItem.exchange, false); }
  void perform(FleetNode& aNode, const agent::UpstreamCancel& aCancel) { aNode.upstream->cancel(aCancel.exchange); }

  void perform(FleetNode& aNode, const roles::Log& aLog) { note(aNode, aLog.line); }

  void note(const FleetNode& aNode, LogLine aLine)
  {
    aLine.fields["instance"] = aNode.instance;
    aLine.fields["at_ms"] = now.time_since_epoch().count();
    logLines.push_back(std::move(aLine));
    while (logLines.size() > logLinesKept) {
      logLines.pop_front();
    }
  }

  struct Connection
  {
    bool up = false;
    TimePoint lastUsable;
  };

  std::set<std::pair<InstanceId, InstanceId>> mCuts;
  std::map<std::pair<TimePoint, std::uint64_t>, Envelope> mQueue;
  std::map<std::pair<InstanceId, InstanceId>, TimePoint> mLastArrival;
  std::map<std::pair<InstanceId, InstanceId>, Connection> mConnections;
  std::vector<std::pair<InstanceId, router::CallerId>> mPendingDrains;
  std::vector<std::pair<InstanceId, agent::Event>> mUpstreamEvents;
  std::uint64_t mSequence = 0;
  std::uint64_t mLastCaller = 0;
  std::uint64_t mLastOperator = 0;
};

} // namespace rhubarbarch::testing
