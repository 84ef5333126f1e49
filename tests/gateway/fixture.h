#pragma once

// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "rhubarbarch/gateway/gateway_role.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::gateway {

inline constexpr const char* kLeader = "10.0.0.1:7000";
inline constexpr const char* kOther = "10.0.0.2:7000";

/// A gateway with two controllers, two engines and two plain servers, driven event by event.
class Fixture
{
public:
  Fixture()
    : role(options(), Boot{ 7 }, std::mt19937_64(1))
  {
    table.version = 3;
    table.routes = { route("review", "/review/", CallKind::kStream, "engine"),
                     route("summary", "/summary/", CallKind::kStream, "engine"),
                     route("order", "/order/", CallKind::kOnce, "desk"),
                     route("stock", "/stock/", CallKind::kIdempotent, "desk") };
    table.routes[1].resumable = true;
    table.routes[1].maxAttempts = 2;
    table.routes[3].maxAttempts = 2;
    table.services = { { "engine", "/healthz", 100, true, { 4, 10000, 3 } }, { "desk", "/healthz", 100, false, {} } };
    table.plans = { { "gold", { "gold-key" }, 1, 10000 } };
    upstreams = { { "e1", "engine", "10.1.0.1:80", "a", "v1", 4, 0, false },
                  { "e2", "engine", "10.1.0.2:80", "b", "v1", 4, 0, false },
                  { "d1", "desk", "10.1.0.3:80", "a", "v1", 4, 0, false },
                  { "d2", "desk", "10.1.0.4:80", "b", "v1", 4, 0, false } };
  }

  static GatewayOptions options()
  {
    GatewayOptions options;
    options.instance = "g1";
    options.dataCentre = "a";
    options.endpoint = "10.0.0.9:7001";
    options.controllers = { kLeader, kOther };
    options.retryRatio = 0.2;
    options.retrySlack = 100;
    return options;
  }

  /// Delivers the routing table, the list of upstreams and tokens, to a process that has run for long enough to use its
  /// part of the fleet's slack in retries.
  void start(Tokens aIssued = 5000)
  {
    tick();
    for (const auto end = now + options().retryWindow; now < end;) {
      now += options().pollPeriod - kTickPeriod;
      tick();
      answer();
    }
    now += options().pollPeriod / 2; // after a poll the next urgent one waits for a moment
    issued = aIssued;
    answer();
    clearActions();
  }

  void tick(Duration aTime = kTickPeriod)
  {
    const auto end = now + aTime;
    while (now < end) {
      now += kTickPeriod;
      handle(Tick{});
    }
  }

  void handle(const Event& aEvent)
  {
    for (auto& action : role.handle(aEvent, now)) {
      const auto* sent = std::get_if<Send>(&action);
      const auto* poll = sent == nullptr ? nullptr : std::get_if<GatewayPoll>(&sent->message);
      polls = poll == nullptr ? polls : std::max(polls, poll->number);
      actions.push_back(std::move(action));
    }
  }

  /// @return the leader's current answer to a poll
  GatewayState state() const
  {
    GatewayState state;
    state.instance = "g1";
    state.boot = Boot{ 7 };
    state.number = 1000;
    state.session = SessionId{ 5 };
    state.hasRouting = true;
    state.routing = table;
    state.routingVersion = table.version;
    state.confirmedPoll = polls;
    state.hasUpstreams = true;
    state.upstreams = upstreams;
    state.upstreamsAgeMs = 0;
    state.upstreamsRevision = 1;
    state.plans = { { "gold", issued, remaining, recall } };
    state.controllers = { kLeader, kOther };
    return state;
  }

  void answer() { handle(PeerMessage{ { kLeader, Role::kController }, state() }); }

  CallerId call(const std::string& aTarget,
                Tokens aPrompt = 0,
                Tokens aOutput = 0,
                Duration aDeadline = Duration{ 3000 })
  {
    CallerCall call;
    call.caller = CallerId{ ++mCallers };
    call.requestId = "q" + std::to_string(mCallers);
    call.method = "POST";
    call.host = "shop.example";
    call.target = aTarget;
    call.key = "gold-key";
    call.body = std::make_shared<const std::string>("body");
    call.deadline = aDeadline;
    call.promptTokens = aPrompt;
    call.maxOutputTokens = aOutput;
    if (aPrompt > 0) {
      call.prompt = { { "shared", aPrompt / 2 }, { call.requestId, aPrompt - aPrompt / 2 } };
    }
    handle(call);
    return call.caller;
  }

  void head(ExchangeId aExchange, std::int32_t aStatus, bool aStream = false)
  {
    UpstreamHead head;
    head.exchange = aExchange;
    head.status = aStatus;
    head.genuine = true;
    head.fields = { { "Content-Type", aStream ? "text/event-stream" : "text/plain" }, { "X-Sign", "s" } };
    handle(head);
  }

  void notRun(ExchangeId aExchange)
  {
    UpstreamHead head;
    head.exchange = aExchange;
    head.status = 503;
    head.notRun = true;
    handle(head);
  }

  /// Refuses a call and asks for rest.
  void askForRest(ExchangeId aExchange, Duration aTime)
  {
    UpstreamHead head;
    head.exchange = aExchange;
    head.status = 429;
    head.notRun = true;
    head.retryAfter = aTime;
    handle(head);
  }

  static std::string event(int aId) { return "id: " + std::to_string(aId) + "\ndata: x\n\n"; }

  template<typename T>
  std::vector<T> take()
  {
    std::vector<T> found;
    for (const auto& action : actions) {
      if (const auto* typed = std::get_if<T>(&action)) {
        found.push_back(*typed);
      }
    }
    std::erase_if(actions, [](const Action& aAction) { return std::holds_alternative<T>(aAction); });
    return found;
  }

  /// Removes and returns the only action of a type; throws unless there is exactly one.
  template<typename T>
  T takeOne()
  {
    const auto found = take<T>();
    if (found.size() != 1) {
      throw std::runtime_error("expected one action, got " + std::to_string(found.size()));
    }
    return found.front();
  }

  void clearActions() { actions.clear(); }

  /// @return the last poll sent to a peer; a default one if there is none
  GatewayPoll lastPoll(const InstanceId& aPeer = kLeader)
  {
    GatewayPoll poll;
    for (const auto& action : actions) {
      const auto* sent = std::get_if<Send>(&action);
      if (sent != nullptr && sent->to.instance == aPeer && std::holds_alternative<GatewayPoll>(sent->message)) {
        poll = std::get<GatewayPoll>(sent->message);
      }
    }
    return poll;
  }

  /// @return HTTP status of the last answer to a caller; zero: none
  std::int32_t status()
  {
    const auto heads = take<ReplyHead>();
    return heads.empty() ? 0 : heads.back().httpStatus;
  }

  RoutingTable table;
  std::vector<UpstreamEntry> upstreams;
  Tokens issued = 0;
  Tokens remaining = 10000;
  bool recall = false;
  std::uint64_t polls = 0; ///< number of the last poll sent
  TimePoint now{ Duration{ 1'000'000 } };
  GatewayRole role;
  Actions actions;

private:
  static Route route(const char* aName, const char* aPrefix, CallKind aKind, const char* aService)
  {
    Route route;
    route.name = aName;
    route.host = "shop.example";
    route.pathPrefix = aPrefix;
    route.kind = aKind;
    route.services = { { aService, 1 } };
    route.timeoutMs = 4000;
    route.targetLatencyMs = 500;
    route.targetGapMs = aKind == CallKind::kStream ? 200 : 0;
    return route;
  }

  std::uint64_t mCallers = 0;
};

} // namespace rhubarbarch::gateway
