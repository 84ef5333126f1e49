#pragma once

// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "controller_harness.h"

#include "rhubarbarch/gateway/gateway_role.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::testing {

/// Three controllers, gateways and engines of one service on a virtual clock. Callers come to each gateway at random
/// times; an engine answers a call after its service time with one event.
class GatewayFleet
{
public:
  struct Arrival
  {
    TimePoint at;
    std::size_t gateway = 0;
  };

  struct Engine
  {
    UpstreamEntry entry;
    std::optional<double> callsPerSecond; ///< named in each answer
    std::vector<Arrival> arrivals;
    std::map<std::size_t, TimePoint> toldAt; ///< when a gateway first got an answer that names the limit
    TimePoint coldUntil;
    TimePoint downUntil;  ///< it has crashed and refuses connections until then
    bool refuses = false; ///< it refuses all calls as not run
    Duration rest{ 0 };   ///< it refuses all calls and asks for no calls in this time; zero: it takes them
    std::map<std::size_t, TimePoint> restUntil; ///< by gateway, according to the refusals that it has got
    std::size_t callsWithinRest = 0;            ///< from gateways that were asked for rest
  };

  /// Requests that crash the engine that begins to answer them. None of the fields is set by default.
  struct Crashing
  {
    bool repeats = false; ///< they are repeats of one request, with its body and prompt, under new ids
    std::string part;     ///< the part of the prompt that crashes engines
    double share = 0;     ///< of all requests
    Duration restartTime{ 3500 };
  };

  /// Requests of a plan with a budget, answered by event streams. Off by default.
  struct Streams
  {
    Tokens prepaid = 0; ///< zero: off
    Tokens prompt = 200;
    Tokens output = 16000; ///< the most that a request may get
    int events = 100;      ///< of each answer
    Duration eventTime{ 130 };
  };

  struct Reply
  {
    TimePoint at;
    std::int32_t status = 0;
    Duration retryAfter{ 0 };
    Duration waited{ 0 };
    bool crashing = false; ///< to a request that crashes engines
  };

  GatewayFleet(std::size_t aGateways, std::size_t aEngines, std::uint64_t aSeed)
    : controllers(3, controllerOptions())
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < aEngines; ++i) {
      const auto name = std::to_string(i);
      Engine engine;
      engine.entry = { "e" + name, "engine", "10.1.0." + name + ":80", "a", "v1", 64, 0, false };
      engines.push_back(std::move(engine));
    }
    controllers.operate(controller::PutRouting{ table(), "source", "digest" });
    for (std::size_t i = 0; i < aGateways; ++i) {
      addGateway();
    }
    run(Duration{ 1000 });
  }

  /// From now on, callers send requests of a plan with a budget.
  void startStreams(const Streams& aStreams)
  {
    streams = aStreams;
    auto changed = table();
    changed.version = 4;
    changed.routes[0].isPublic = false;
    changed.routes[0].timeoutMs = kStreamTime.count();
    changed.plans = { { "gold", { "key" }, -1, aStreams.prepaid } };
    controllers.operate(controller::PutRouting{ changed, "source", "streams" });
    run(Duration{ 500 });
  }

  /// Starts a new process in place of a gateway whose old process goes on, out of reach of the controllers.
  void supersede(std::size_t aGateway)
  {
    mGateways.push_back(std::move(mGateways[aGateway]));
    mGateways.back().cut = true;
    for (auto& call : mCalls) {
      call.gateway = call.gateway == aGateway ? mGateways.size() - 1 : call.gateway;
    }
    mGateways[aGateway] = makeGateway(aGateway, ++mBoots);
    controllers.inboxes.erase(mGateways[aGateway].address);
  }

  std::size_t openCalls(std::size_t aGateway) const { return mGateways[aGateway].calls.size(); }

  void addGateway() { mGateways.push_back(makeGateway(mGateways.size(), ++mBoots)); }

  /// Lets time pass, tick by tick.
  void run(Duration aTime)
  {
    for (const auto end = controllers.now + aTime; controllers.now < end;) {
      controllers.run(kTickPeriod);
      if (controllers.now.time_since_epoch() % kListPeriod == Duration{ 0 }) {
        readList();
      }
      restartCrashed();
      answerCalls();
      for (std::size_t i = 0; i < mGateways.size(); ++i) {
        receive(i, controllers.leader());
        if (!mGateways[i].frozen) {
          callers(i);
          handle(i, gateway::Tick{});
        }
      }
    }
  }

  /// Replaces an engine by one with a new id that is cold for a time, and lists it at once.
  void restartCold(std::size_t aEngine, Duration aTime)
  {
    auto& engine = engines[aEngine];
    engine.entry.id += "'";
    engine.coldUntil = controllers.now + aTime;
    engine.arrivals.clear();
    readList();
  }

  /// Crashes an engine: its calls break off, and it comes back under a new id.
  void crash(std::size_t aEngine)
  {
    auto& engine = engines[aEngine];
    engine.downUntil = controllers.now + crashing.restartTime;
    crashes.push_back(controllers.now);
    for (const auto& call : std::exchange(mCalls, {})) {
      if (call.engine != aEngine) {
        mCalls.push_back(call);
      } else if (mGateways[call.gateway].calls.erase(call.exchange) > 0) {
        handle(call.gateway, gateway::UpstreamError{ call.exchange, true, false, "answer: end of stream" });
      }
    }
  }

  /// @return the calls that crash engines and reached one later than `aFrom`
  std::size_t crashingArrivals(TimePoint aFrom) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mCrashingArrivals, [&](const auto& aEach) { return aEach.second > aFrom; }));
  }

  /// @return the share of the sound requests answered since `aFrom` that were served
  double soundServed(TimePoint aFrom) const
  {
    const auto sound = [&](const Reply& aEach) { return !aEach.crashing && aEach.at >= aFrom; };
    const auto all = std::ranges::count_if(replies, sound);
    const auto served =
      std::ranges::count_if(replies, [&](const Reply& aEach) { return sound(aEach) && aEach.status == 200; });
    return all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
  }

  /// Replaces a gateway by a new process, as after a kill.
  void restartGateway(std::size_t aGateway)
  {
    std::erase_if(mCalls, [&](const Call& aCall) { return aCall.gateway == aGateway; });
    auto& gateway = mGateways[aGateway];
    gateway = makeGateway(aGateway, ++mBoots);
    controllers.inboxes.erase(gateway.address);
  }

  /// Cuts a gateway off from all controllers, or connects it again.
  void cutOff(std::size_t aGateway, bool aCut) { mGateways[aGateway].cut = aCut; }
  /// Stops a gateway as a suspended machine would be, or lets it go on.
  void freeze(std::size_t aGateway, bool aFrozen) { mGateways[aGateway].frozen = aFrozen; }
  /// Cuts the leader off from everyone, or connects all controllers again.
  void cutLeader() { controllers.cut.insert(controllers.leader()); }
  void healControllers() { controllers.cut.clear(); }

  /// @return the most calls that an engine got in a window of `aWindow` that ends in `[aFrom, aUntil]`, from gateways
  /// that had got an answer with its limit at least `aTold` before; every gateway when `aTold` is empty
  static std::size_t mostArrivals(const Engine& aEngine,
                                  Duration aWindow,
                                  TimePoint aFrom,
                                  std::optional<Duration> aTold)
  {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const auto& arrival : aEngine.arrivals) {
      const auto told = aEngine.toldAt.find(arrival.gateway);
      if (aTold && (told == aEngine.toldAt.end() || arrival.at - told->second < *aTold)) {
        continue;
      }
      window.push_back(arrival.at);
      while (window.front() + aWindow <= arrival.at) {
        window.pop_front();
      }
      if (arrival.at >= aFrom) {
        most = std::max(most, window.size());
      }
    }
    return most;
  }

  static std::size_t arrivalsBetween(const Engine& aEngine, TimePoint aFrom, TimePoint aUntil)
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      aEngine.arrivals, [&](const Arrival& aEach) { return aEach.at >= aFrom && aEach.at < aUntil; }));
  }

  std::size_t repliesWith(std::int32_t aStatus, TimePoint aFrom) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(replies, [&](const Reply& aEach) { return aEach.status == aStatus && aEach.at >= aFrom; }));
  }

  TimePoint now() const { return controllers.now; }

  ControllerHarness controllers;
  std::vector<Engine> engines;
  std::vector<Reply> replies;
  static constexpr double kColdCallsPerSecond = 12; ///< of each engine while it is cold
  double callsPerSecond = 10;                       ///< of the callers of each gateway
  Duration serviceTime{ 100 };
  Crashing crashing;
  Streams streams;
  Tokens delivered = 0;            ///< output and prompts of requests that got some output
  std::vector<TimePoint> crashes;  ///< of all engines
  std::vector<LogLine> lines;      ///< of all gateways
  std::vector<TimePoint> requests; ///< of all callers
  std::vector<TimePoint> repeats;  ///< calls that reached an engine after the first one of their request

private:
  static constexpr Duration kListPeriod{ 400 };
  static constexpr Duration kStreamTime{ 15000 };
  static constexpr Tokens kEventTokens = 3;

  struct Caller
  {
    TimePoint since;
    bool crashing = false;
  };

  struct Gateway
  {
    Address address;
    std::unique_ptr<gateway::GatewayRole> role;
    bool cut = false;
    bool frozen = false;
    std::map<gateway::CallerId, Caller> callers;
    std::set<gateway::ExchangeId> calls;
    std::set<gateway::ExchangeId> paused;
    std::set<gateway::CallerId> served; ///< got some output
  };

  struct Call
  {
    TimePoint answerAt;
    std::size_t gateway = 0;
    gateway::ExchangeId exchange{};
    std::size_t engine = 0;
    bool otherInstance = false; ///< the engine that was meant has been replaced
    bool refused = false;       ///< the engine is down
    bool crashing = false;      ///< crashes the engine that begins to answer it
    int event = 0;              ///< events of a stream that were sent
  };

  Gateway makeGateway(std::size_t aIndex, std::uint64_t aBoot)
  {
    gateway::GatewayOptions options;
    options.instance = "g" + std::to_string(aIndex);
    options.dataCentre = "a";
    options.endpoint = options.instance + ":7000";
    options.controllers = { "c1", "c2", "c3" };
    options.retryRatio = 0.2;
    options.retrySlack = 60;
    Gateway gateway;
    gateway.address = { options.instance, Role::kRouter };
    gateway.role = std::make_unique<gateway::GatewayRole>(options, Boot{ aBoot }, std::mt19937_64(mRandom()));
    return gateway;
  }

  void restartCrashed()
  {
    for (auto& engine : engines) {
      if (engine.downUntil != TimePoint{} && engine.downUntil <= controllers.now) {
        engine.downUntil = {};
        engine.entry.id += "'";
      }
    }
  }

  static controller::ControllerOptions controllerOptions()
  {
    controller::ControllerOptions options;
    options.gateways.readUpstreams = true;
    return options;
  }

  static RoutingTable table()
  {
    Route route;
    route.name = "chat";
    route.host = "shop.example";
    route.pathPrefix = "/";
    route.kind = CallKind::kStream;
    route.services = { { "engine", 1 } };
    route.timeoutMs = 4000;
    route.targetLatencyMs = 500;
    route.isPublic = true;
    RoutingTable table;
    table.version = 3;
    table.routes = { route };
    table.services = { { "engine", "/healthz", 100, true, { 64, 400000, 3 }, kColdCallsPerSecond } };
    return table;
  }

  void readList()
  {
    std::vector<UpstreamEntry> list;
    std::ranges::transform(engines, std::back_inserter(list), [&](const Engine& aEach) {
      auto entry = aEach.entry;
      entry.coldMs = std::max<std::int64_t>((aEach.coldUntil - controllers.now).count(), 0);
      return entry;
    });
    for (auto& [name, role] : controllers.roles) {
      role->handle(controller::UpstreamsRead{ list }, controllers.now);
    }
  }

  void callers(std::size_t aGateway)
  {
    const auto mean = callsPerSecond * std::chrono::duration<double>(kTickPeriod).count();
    for (auto count = std::poisson_distribution<int>(mean)(mRandom); count > 0; --count) {
      gateway::CallerCall call;
      call.caller = gateway::CallerId{ ++mCallers };
      call.requestId = "q" + std::to_string(mCallers);
      call.method = "POST";
      call.host = "shop.example";
      call.target = "/chat/";
      call.body = std::make_shared<const std::string>(call.requestId);
      call.deadline = Duration{ 4000 };
      call.promptTokens = 700;
      call.maxOutputTokens = 10;
      if (streams.prepaid > 0) {
        call.key = "key";
        call.deadline = kStreamTime;
        call.promptTokens = streams.prompt;
        call.maxOutputTokens = streams.output;
      }
      const auto session = std::to_string(std::uniform_int_distribution<int>(0, 199)(mRandom));
      call.prompt = { { "s" + session, 500 }, { call.requestId, 200 } };
      if (std::bernoulli_distribution(crashing.share)(mRandom)) {
        call.prompt.insert(call.prompt.end() - 1, { crashing.part, 100 });
        mCrashing.insert(call.requestId);
        if (crashing.repeats) {
          call.prompt = { { "s0", 500 }, { crashing.part, 200 } };
          call.body = std::make_shared<const std::string>(crashing.part);
        }
      }
      requests.push_back(controllers.now);
      mGateways[aGateway].callers[call.caller] = { controllers.now, mCrashing.contains(call.requestId) };
      handle(aGateway, call);
    }
  }

  void answerCalls()
  {
    const auto isDue = [&](const Call& aCall) {
      const auto& gateway = mGateways[aCall.gateway];
      return aCall.answerAt <= controllers.now && !gateway.frozen && !gateway.paused.contains(aCall.exchange);
    };
    std::vector<Call> due;
    std::ranges::copy_if(mCalls, std::back_inserter(due), isDue);
    std::erase_if(mCalls, isDue);
    for (const auto& call : due) {
      if (mGateways[call.gateway].calls.erase(call.exchange) == 0) {
        continue;
      }
      if (call.event > 0) {
        sendEvents(call);
      } else {
        answer(call);
      }
    }
  }

  /// Sends the next event of a stream and, after the last one, its end.
  void sendEvents(Call aCall)
  {
    auto& gateway = mGateways[aCall.gateway];
    gateway.calls.insert(aCall.exchange);
    const auto id = std::to_string(++aCall.event);
    handle(aCall.gateway, gateway::UpstreamData{ aCall.exchange, "id: " + id + "\ndata: x\n\n" });
    if (aCall.event < streams.events) {
      aCall.answerAt = controllers.now + streams.eventTime;
      mCalls.push_back(aCall);
      return;
    }
    gateway.calls.erase(aCall.exchange);
    handle(aCall.gateway, gateway::UpstreamEnd{ aCall.exchange });
  }

  void answer(const Call& aCall)
  {
    auto& engine = engines[aCall.engine];
    gateway::UpstreamHead head;
    head.exchange = aCall.exchange;
    if (aCall.refused) {
      handle(aCall.gateway, gateway::UpstreamError{ aCall.exchange, false, false, "connect: Connection refused" });
      return;
    }
    if (controllers.now < engine.downUntil) { // it crashed earlier in this tick
      handle(aCall.gateway, gateway::UpstreamError{ aCall.exchange, true, false, "answer: end of stream" });
      return;
    }
    if (aCall.otherInstance) {
      head.status = 421;
      head.otherInstance = true;
      handle(aCall.gateway, head);
      return;
    }
    head.status = 200;
    head.genuine = true;
    head.fields = { { "Content-Type", "text/event-stream" } };
    head.callsPerSecond = engine.callsPerSecond;
    if (engine.callsPerSecond) {
      engine.toldAt.try_emplace(aCall.gateway, controllers.now);
    }
    if (engine.refuses || engine.rest > Duration{ 0 }) {
      refuse(aCall, engine);
      return;
    }
    handle(aCall.gateway, head);
    if (aCall.crashing) {
      handle(aCall.gateway, gateway::UpstreamData{ aCall.exchange, "id: 1\nda" });
      handle(aCall.gateway, gateway::UpstreamError{ aCall.exchange, true, false, "answer: partial message" });
      crash(aCall.engine);
      return;
    }
    if (streams.prepaid > 0) {
      sendEvents(aCall);
      return;
    }
    handle(aCall.gateway, gateway::UpstreamData{ aCall.exchange, "id: 1\ndata: x\n\n" });
    handle(aCall.gateway, gateway::UpstreamEnd{ aCall.exchange });
  }

  void refuse(const Call& aCall, Engine& aEngine)
  {
    gateway::UpstreamHead head;
    head.exchange = aCall.exchange;
    head.status = 429;
    head.notRun = true;
    if (aEngine.rest > Duration{ 0 }) {
      head.retryAfter = aEngine.rest;
      auto& until = aEngine.restUntil[aCall.gateway];
      until = std::max(until, controllers.now + aEngine.rest);
    }
    handle(aCall.gateway, head);
  }

  void handle(std::size_t aGateway, const gateway::Event& aEvent)
  {
    auto& gateway = mGateways[aGateway];
    for (auto& action : gateway.role->handle(aEvent, controllers.now)) {
      if (auto* sent = std::get_if<gateway::Send>(&action)) {
        send(aGateway, sent->to, sent->message);
      } else if (const auto* call = std::get_if<gateway::StartCall>(&action)) {
        start(aGateway, *call);
      } else if (const auto* cancel = std::get_if<gateway::CancelCall>(&action)) {
        gateway.calls.erase(cancel->exchange);
      } else if (const auto* pause = std::get_if<gateway::PauseCall>(&action)) {
        if (pause->paused) {
          gateway.paused.insert(pause->exchange);
        } else {
          gateway.paused.erase(pause->exchange);
        }
      } else if (const auto* body = std::get_if<gateway::ReplyBody>(&action); body != nullptr && streams.prepaid > 0) {
        countDelivered(gateway, *body);
      } else if (const auto* head = std::get_if<gateway::ReplyHead>(&action)) {
        const auto caller = gateway.callers.extract(head->caller);
        const auto known = caller.empty() ? Caller{ controllers.now } : caller.mapped();
        replies.push_back(
          { controllers.now, head->httpStatus, head->retryAfter, controllers.now - known.since, known.crashing });
      } else if (auto* log = std::get_if<gateway::Log>(&action)) {
        lines.push_back(std::move(log->line));
      }
    }
  }

  /// The sum is the truth that budgets are compared with: what callers got, whatever gateways report.
  void countDelivered(Gateway& aGateway, const gateway::ReplyBody& aBody)
  {
    Tokens events = 0;
    for (auto at = aBody.data.find("data:"); at != std::string::npos; at = aBody.data.find("data:", at + 1)) {
      ++events;
    }
    const bool first = events > 0 && aGateway.served.insert(aBody.caller).second;
    delivered += events * kEventTokens + (first ? streams.prompt : 0);
  }

  void send(std::size_t aGateway, const Address& aTo, const Message& aMessage)
  {
    if (mGateways[aGateway].cut || aTo.role != Role::kController || controllers.cut.contains(aTo.instance)) {
      return;
    }
    controllers.sendTo(aTo.instance, mGateways[aGateway].address, aMessage);
    receive(aGateway, aTo.instance);
  }

  void receive(std::size_t aGateway, const InstanceId& aFrom)
  {
    auto messages = std::exchange(controllers.inboxes[mGateways[aGateway].address], {});
    if (mGateways[aGateway].cut || mGateways[aGateway].frozen) {
      return;
    }
    for (auto& message : messages) {
      handle(aGateway, gateway::PeerMessage{ { aFrom, Role::kController }, std::move(message) });
    }
  }

  void start(std::size_t aGateway, const gateway::StartCall& aCall)
  {
    const auto found =
      std::ranges::find_if(engines, [&](const Engine& aEach) { return aEach.entry.endpoint == aCall.endpoint; });
    Call call;
    call.gateway = aGateway;
    call.exchange = aCall.exchange;
    call.engine = static_cast<std::size_t>(found - engines.begin());
    call.refused = controllers.now < found->downUntil;
    call.otherInstance = found->entry.id != aCall.upstreamId;
    call.crashing = mCrashing.contains(aCall.requestId);
    const bool arrives = !call.refused && !call.otherInstance;
    call.answerAt = controllers.now + (arrives ? serviceTime : kTickPeriod);
    if (arrives) {
      found->arrivals.push_back({ controllers.now, aGateway });
      const auto rest = found->restUntil.find(aGateway);
      found->callsWithinRest += rest != found->restUntil.end() && controllers.now < rest->second ? 1 : 0;
    }
    if (arrives && !mArrived.insert(aCall.requestId).second) {
      repeats.push_back(controllers.now);
    }
    if (arrives && call.crashing) {
      mCrashingArrivals.emplace_back(aGateway, controllers.now);
    }
    mGateways[aGateway].calls.insert(aCall.exchange);
    mCalls.push_back(call);
  }

  std::mt19937_64 mRandom;
  std::uint64_t mCallers = 0;
  std::uint64_t mBoots = 0;
  std::set<std::string> mArrived;                                   ///< ids of requests that reached an engine
  std::set<std::string> mCrashing;                                  ///< ids of requests that crash engines
  std::vector<std::pair<std::size_t, TimePoint>> mCrashingArrivals; ///< gateway and time
  std::vector<Call> mCalls;
  std::vector<Gateway> mGateways;
};

} // namespace rhubarbarch::testing
