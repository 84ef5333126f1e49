#pragma once

#include "rhubarbarch/router/router_role.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbarch::router {

/// @return the seed of the tests, from RHUBARBARCH_SEED where set
inline std::uint64_t
testSeed()
{
  static const std::uint64_t kSeed = [] {
    const char* text = std::getenv("RHUBARBARCH_SEED"); // NOLINT(concurrency-mt-unsafe)
    const std::uint64_t seed = text == nullptr ? 7 : std::strtoull(text, nullptr, 10);
    std::cerr << "RHUBARBARCH_SEED=" << seed << "\n";
    return seed;
  }();
  return kSeed;
}

inline constexpr const char* kChatPath = "/v1/chat/completions";
inline constexpr const char* kOrderPath = "/orders";
inline constexpr const char* kStockPath = "/stock/";
inline constexpr GrantId kGrant{ 100 };
inline constexpr SessionId kSession{ 50 };

inline const std::string kChatBody = R"({"model":"m","max_tokens":100,"messages":[{"role":"user","content":"hi"}]})";
inline const Tokens kChatWorstCase = static_cast<Tokens>(kChatBody.size()) + 100;

/// Drives one router with scripted messages from controllers and agents.
class Fixture
{
public:
  explicit Fixture(RouterOptions aOptions = options())
    : role(std::move(aOptions), Boot{ 9 }, std::mt19937_64(testSeed()))
  {
  }

  static RouterOptions options()
  {
    RouterOptions options;
    options.instance = "r1";
    options.dataCentre = "dc1";
    options.endpoint = "10.0.0.1:1";
    options.controllers = { { "c1", "10.0.1.1:1" }, { "c2", "10.0.1.2:1" } };
    return options;
  }

  void inject(const Event& aEvent)
  {
    for (Action& action : role.handle(aEvent, now)) {
      out.push_back(std::move(action));
    }
  }

  void fromController(Message aMessage, const InstanceId& aController = "c1")
  {
    inject(PeerMessage{ { aController, Role::kController }, std::move(aMessage) });
  }

  void fromAgent(const InstanceId& aAgent, Message aMessage)
  {
    inject(PeerMessage{ { aAgent, Role::kAgent }, std::move(aMessage) });
  }

  /// Advances time in ticks. Controllers answer polls and agents report their status unless `answerPolls` or
  /// `agentsReport` is false.
  void wait(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += kTickPeriod;
      inject(Tick{});
      if (answerPolls) {
        answerPoll();
      }
      if (agentsReport && (now.time_since_epoch() % Duration{ 200 }).count() == 0) {
        reportAgents();
      }
    }
  }

  void tick() { wait(kTickPeriod); }

  void answerPoll()
  {
    for (const auto& poll : take<ConfigPoll>()) {
      ConfigState state = config;
      state.number = poll.number;
      lastPoll = poll;
      fromController(state);
    }
  }

  void reportAgents()
  {
    for (const AgentEntry& entry : config.agents) {
      fromAgent(entry.instance, status(entry));
    }
  }

  static AgentStatus status(const AgentEntry& aEntry)
  {
    AgentStatus status;
    status.boot = aEntry.boot;
    status.session = aEntry.session;
    status.kvCapacityBytes = aEntry.upstream.kvCapacityBytes;
    if (aEntry.upstream.service.empty()) {
      status.loaded = { { "m", "v1" } };
    }
    return status;
  }

  static AgentEntry agent(const InstanceId& aName, std::uint64_t aNumber, const std::string& aService = "")
  {
    AgentEntry entry;
    entry.instance = aName;
    entry.session = SessionId{ aNumber };
    entry.boot = Boot{ aNumber };
    entry.dataCentre = "dc1";
    entry.endpoint = "10.0.2.1:1";
    entry.upstream.service = aService;
    entry.upstream.kvCapacityBytes = std::int64_t{ 1 } << 40U;
    return entry;
  }

  /// Registers and applies a configuration with two model agents, one order agent and a grant.
  void start(Tokens aGranted = 1'000'000)
  {
    tick();
    SessionRegistered registered;
    registered.boot = Boot{ 9 };
    registered.session = kSession;
    fromController(registered);
    fillConfig(aGranted);
    tick();
    reportAgents();
    out.clear();
  }

  void fillConfig(Tokens aGranted)
  {
    config.readIndex = LogIndex{ 200 };
    config.hasLists = true;
    config.lists.plansRevision = Revision{ 10 };
    config.lists.usesRevision = Revision{ 11 };
    // SHA-256 of "key".
    config.lists.plans = {
      { "gold", "w", { "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683" }, Priority::kChat }
    };
    config.lists.uses = { { "gold", { "orders", "stock" }, { { "m", {} } }, 5'000'000 } };
    config.lists.routes = { { kChatPath, "", true, 0 },
                            { kOrderPath, "orders", false, 10 },
                            { kStockPath, "stock", true, 1 } };
    config.hasDirectory = true;
    config.directoryRevision = Revision{ 12 };
    config.agents = { agent("a1", 31), agent("a2", 32), agent("o1", 33, "orders"), agent("o2", 34, "orders") };
    config.hasMoves = true;
    config.movesRevision = Revision{ 13 };
    config.shares = { { "m", "v1", 1000 } };
    if (aGranted > 0) {
      config.grants = { { kGrant, "gold", aGranted, 0 } };
    }
  }

  CallerId call(const std::string& aPath, const std::string& aBody, const std::string& aIdempotencyKey = "")
  {
    const CallerId caller{ ++callers };
    inject(CallerRequest{ caller, "POST", aPath, "key", aIdempotencyKey, "application/json", aBody, {}, {} });
    return caller;
  }

  CallerId chat(const std::string& aIdempotencyKey = "") { return call(kChatPath, kChatBody, aIdempotencyKey); }

  CallerId order(const std::string& aKey) { return call(kOrderPath, R"({"item":1})", aKey); }

  /// Removes the messages of one type from the recorded actions.
  /// @return them, oldest first
  template<typename T>
  std::vector<T> take()
  {
    std::vector<T> taken;
    std::erase_if(out, [&](Action& aAction) {
      auto* send = std::get_if<Send>(&aAction);
      if (send == nullptr || !std::holds_alternative<T>(send->message)) {
        return false;
      }
      lastReceiver = send->to.instance;
      taken.push_back(std::get<T>(std::move(send->message)));
      return true;
    });
    return taken;
  }

  /// Like take(), for a message type that was sent exactly once; throws otherwise.
  template<typename T>
  T takeOne()
  {
    auto taken = take<T>();
    if (taken.size() != 1) {
      throw std::runtime_error("expected one message, found " + std::to_string(taken.size()));
    }
    return std::move(taken.front());
  }

  /// @return the recorded actions of one type for a caller
  template<typename T>
  std::vector<T> replies(CallerId aCaller) const
  {
    std::vector<T> found;
    for (const Action& action : out) {
      const auto* reply = std::get_if<T>(&action);
      if (reply != nullptr && reply->caller == aCaller) {
        found.push_back(*reply);
      }
    }
    return found;
  }

  std::string body(CallerId aCaller) const
  {
    std::string text;
    for (const ReplyBody& part : replies<ReplyBody>(aCaller)) {
      text += part.data;
    }
    return text;
  }

  std::int32_t httpStatus(CallerId aCaller) const
  {
    const auto heads = replies<ReplyHead>(aCaller);
    return heads.size() == 1 ? heads.front().httpStatus : 0;
  }

  bool ended(CallerId aCaller) const { return replies<ReplyEnd>(aCaller).size() == 1; }
  bool aborted(CallerId aCaller) const { return replies<ReplyAbort>(aCaller).size() == 1; }

  void head(const InstanceId& aAgent, const RunId& aRun, std::int32_t aStatus = 200)
  {
    fromAgent(aAgent, RunHead{ aRun, aStatus, "text/event-stream" });
  }

  void chunk(const InstanceId& aAgent, const RunId& aRun, std::uint64_t aOffset, const std::string& aData)
  {
    fromAgent(aAgent, StreamChunk{ aRun, aOffset, { aData } });
  }

  static RunDone done(const RunId& aRun, std::uint64_t aBytes, Tokens aCharge)
  {
    RunDone done;
    done.run = aRun;
    done.httpStatus = 200;
    done.contentType = "text/event-stream";
    done.totalBytes = aBytes;
    done.charge = aCharge;
    return done;
  }

  double metric(const std::string& aName) const
  {
    for (const Metric& metric : role.metrics()) {
      if (metric.name == aName) {
        return metric.value;
      }
    }
    return -1;
  }

  RouterRole role;
  TimePoint now{ Duration{ 1'000'000 } };
  Actions out;
  ConfigState config;
  ConfigPoll lastPoll;
  InstanceId lastReceiver;
  std::uint64_t callers = 0;
  bool answerPolls = true;
  bool agentsReport = true;
};

} // namespace rhubarbarch::router
