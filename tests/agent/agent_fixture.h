#pragma once

#include "rhubarbarch/agent/agent_role.h"

#include <cstdlib>
#include <limits>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbarch::agent {

inline const Address kController{ "c1", Role::kController };
inline const Address kRouter{ "r1", Role::kRouter };
inline const Address kOtherRouter{ "r2", Role::kRouter };
inline constexpr Boot kBoot{ 7 };
inline constexpr SessionId kRouterSession{ 40 };
inline constexpr SessionId kOtherSession{ 41 };
inline constexpr SessionId kAgentSession{ 50 };
inline constexpr GrantId kGrant{ 60 };

inline std::uint64_t
seed()
{
  const char* text = std::getenv("RHUBARBARCH_SEED");
  static const std::uint64_t kSeed = text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
  return kSeed;
}

inline AgentOptions
testOptions()
{
  AgentOptions options;
  options.instance = "a1";
  options.dataCentre = "dc1";
  options.endpoint = "127.0.0.1:1";
  options.controllers = { "c1" };
  options.upstream.kvCapacityBytes = 1000000;
  options.kvBytesPerToken = 100;
  options.kvHeadroomPerMille = 0;
  options.maxRunning = 2;
  options.maxQueued = 4;
  options.window = 100;
  options.chunkBytes = 64;
  return options;
}

/// Drives an agent with events and collects its actions.
class Driver
{
public:
  explicit Driver(AgentOptions aOptions = testOptions(), Boot aBoot = kBoot)
    : mRole(std::move(aOptions), aBoot, std::mt19937_64{ seed() })
  {
  }

  void event(const Event& aEvent)
  {
    auto actions = mRole.handle(aEvent, mNow);
    mActions.insert(mActions.end(), std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
  }
  void message(const Address& aFrom, Message aMessage) { event(PeerMessage{ aFrom, std::move(aMessage) }); }
  void tick(Duration aAfter)
  {
    mNow += aAfter;
    event(Tick{});
  }
  void clear() { mActions.clear(); }

  /// Registers the agent, loads model `m` version `1` and clears the actions.
  void start(std::vector<SessionId> aLive = { kRouterSession, kOtherSession })
  {
    tick(kTickPeriod);
    message(kController, SessionRegistered{ kBoot, kAgentSession, LogIndex{ 50 }, std::move(aLive) });
    ConfigState state;
    state.number = last<ConfigPoll>().number;
    message(kController, state);
    report(0);
    clear();
  }
  void report(std::int64_t aUsed) { event(LoadReport{ aUsed, 0, 0, { { "m", "1" } } }); }

  /// All collected actions of type T.
  template<typename T>
  std::vector<T> actions() const
  {
    std::vector<T> found;
    for (const auto& action : mActions) {
      if (const auto* match = std::get_if<T>(&action)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  /// All sent messages of type T, optionally only those to one receiver.
  template<typename T>
  std::vector<T> sent(const Address& aTo = {}) const
  {
    std::vector<T> found;
    for (const auto& send : actions<Send>()) {
      const auto* match = std::get_if<T>(&send.message);
      if (match != nullptr && (aTo.instance.empty() || aTo == send.to)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  template<typename T>
  T last(const Address& aTo = {}) const
  {
    const auto all = sent<T>(aTo);
    return all.empty() ? T{} : all.back();
  }
  ExchangeId exchange() const
  {
    const auto starts = actions<UpstreamStart>();
    return starts.empty() ? ExchangeId{} : starts.back().exchange;
  }
  /// The answer bytes sent to a router, in order; a gap or an overlap adds `!` to the text.
  std::string answer(const Address& aTo, std::uint64_t aFrom = 0) const
  {
    std::string text;
    for (const auto& chunk : sent<StreamChunk>(aTo)) {
      text += chunk.offset == aFrom + text.size() ? chunk.data.data : "!";
    }
    return text;
  }
  void data(ExchangeId aExchange, const std::string& aText) { event(UpstreamData{ aExchange, aText }); }
  void head(ExchangeId aExchange, std::int32_t aStatus = 200, const std::string& aType = "text/event-stream")
  {
    event(UpstreamHead{ aExchange, aStatus, aType });
  }

  AgentRole& role() { return mRole; }
  TimePoint now() const { return mNow; }

private:
  AgentRole mRole;
  TimePoint mNow{ Duration{ 1000000 } };
  Actions mActions;
};

inline Dispatch
dispatchOf(const RequestId& aRequest, Tokens aReserved = 500)
{
  Dispatch dispatch;
  dispatch.run = { aRequest, 1 };
  dispatch.routerSession = kRouterSession;
  dispatch.expectedBoot = kBoot;
  dispatch.grant = kGrant;
  dispatch.plan = "p";
  dispatch.reserved = aReserved;
  dispatch.outputCap = 100;
  dispatch.timeoutMs = 60000;
  dispatch.stream = true;
  dispatch.method = "POST";
  dispatch.path = "/v1/chat/completions";
  dispatch.contentType = "application/json";
  dispatch.model = "m";
  dispatch.version = "1";
  dispatch.body.data = "{}";
  dispatch.creditUntil = 1000;
  return dispatch;
}

inline const std::string kUsageTail =
  "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":30,\"completion_tokens\":12}}\n\ndata: [DONE]\n\n";

} // namespace rhubarbarch::agent
