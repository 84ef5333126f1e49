#pragma once

#include "state_builder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::fuzz {

/// A run at an agent. What the engine may have spent is known only while the run's agent lives.
struct Run
{
  RequestId request;
  GrantId grant{};
  SessionId router{};
  Tokens reserved = 0;
  std::optional<Tokens> spent; ///< set when finished
};

struct AgentModel
{
  InstanceId instance;
  std::uint64_t boot = 1;
  SessionId session{};
  LogIndex registered{};
  LogIndex removedAt{};
  std::set<SessionId> liveAtRegistration;
  std::set<SessionId> fenced;
  std::vector<Run> runs;
  bool drained = false;
};

struct Reservation
{
  GrantId grant{};
  Tokens tokens = 0;
  SessionId agent{};
  bool charged = false; ///< its charge is on the way
};

struct RouterModel
{
  InstanceId instance;
  std::uint64_t boot = 1;
  SessionId session{};
  std::map<GrantId, Tokens> returned;
  std::map<GrantId, Tokens> issued;
  std::map<RequestId, Reservation> reservations;
  std::map<GrantId, std::map<RequestId, Tokens>> charges; ///< sent, under grants that are not closed
  std::set<GrantId> closed;                               ///< asked to be closed
  Revision directory{};
};

struct DispatchInFlight
{
  Run run;
  std::size_t agent = 0;
  std::uint64_t boot = 0;
};

/// Routers, agents, a network that delays, repeats and drops, and the truth about what was spent.
class World
{
public:
  explicit World(Tokens aBudget);

  void step(std::uint32_t aChoice, std::uint32_t aFirst, std::uint32_t aSecond, std::uint32_t aThird);
  /// Throws std::logic_error when an invariant does not hold.
  void check() const;

private:
  using Handler = void (World::*)(std::uint32_t, std::uint32_t, std::uint32_t);

  void issue(std::uint32_t aRouter, std::uint32_t aTokens, std::uint32_t aNumber);
  void dispatch(std::uint32_t aRouter, std::uint32_t aAgent, std::uint32_t aTokens);
  void deliverDispatch(std::uint32_t aWhich, std::uint32_t aRepeat, std::uint32_t aUnused);
  void finishRun(std::uint32_t aAgent, std::uint32_t aRun, std::uint32_t aTokens);
  void chargeByRouter(std::uint32_t aRouter, std::uint32_t aWhich, std::uint32_t aUnused);
  void deliverMessage(std::uint32_t aWhich, std::uint32_t aRepeat, std::uint32_t aUnused);
  void giveBack(std::uint32_t aRouter, std::uint32_t aGrant, std::uint32_t aTokens);
  void closeGrant(std::uint32_t aRouter, std::uint32_t aGrant, std::uint32_t aUnused);
  void fenceRouter(std::uint32_t aRouter, std::uint32_t aUnused, std::uint32_t aUnused2);
  void restartRouter(std::uint32_t aRouter, std::uint32_t aUnused, std::uint32_t aUnused2);
  void reportFences(std::uint32_t aAgent, std::uint32_t aUnused, std::uint32_t aUnused2);
  void restartAgent(std::uint32_t aAgent, std::uint32_t aUnused, std::uint32_t aUnused2);
  void removeAgent(std::uint32_t aAgent, std::uint32_t aUnused, std::uint32_t aUnused2);
  void returnAgent(std::uint32_t aAgent, std::uint32_t aUnused, std::uint32_t aUnused2);
  void drainAgent(std::uint32_t aAgent, std::uint32_t aUnused, std::uint32_t aUnused2);
  void poll(std::uint32_t aRouter, std::uint32_t aUnused, std::uint32_t aUnused2);
  void topUp(std::uint32_t aTokens, std::uint32_t aUnused, std::uint32_t aUnused2);
  void restoreSnapshot(std::uint32_t aUnused, std::uint32_t aUnused2, std::uint32_t aUnused3);

  void openRouter(RouterModel& aRouter);
  void openAgent(AgentModel& aAgent);
  bool accepts(const AgentModel& aAgent, SessionId aRouter) const;
  Tokens unreserved(const RouterModel& aRouter, GrantId aGrant) const;
  void settleAtLostAgents(RouterModel& aRouter);
  Tokens possiblySpent() const;
  void checkSums(const state::Account& aAccount) const;

  testing::StateBuilder mLog;
  Tokens mBudget = 0;
  std::vector<RouterModel> mRouters;
  std::vector<AgentModel> mAgents;
  std::vector<DispatchInFlight> mDispatches;
  std::vector<state::Command> mMessages;
  std::map<RequestId, Tokens> mSpent;    ///< truth: spent, or at most spent by a run lost with its agent
  std::map<RequestId, Tokens> mBillable; ///< largest charge that router or agent could send
  std::uint64_t mRequests = 0;
};

} // namespace rhubarbarch::fuzz
