#include "controllers.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::controller {

namespace {

void
recordSession(Context& aContext, const ConfigPoll& aPoll)
{
  auto& session = aContext.memory.sessions[aPoll.session];
  session.lastSeen = aContext.now;
  session.polled = true;
  session.plansRevision = aPoll.plansRevision;
  session.usesRevision = aPoll.usesRevision;
  session.directoryRevision = aPoll.directoryRevision;
  session.movesRevision = aPoll.movesRevision;
  session.load = aPoll.load;
}

// A router that is partitioned from the controllers but still connected to an agent is not lost: it continues to serve
// from its grants, which fencing would stop.
void
recordAgentContacts(Context& aContext, const ConfigPoll& aPoll)
{
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    if (!router.fenced &&
        std::ranges::find(aPoll.load.heardRouters, router.instance) != aPoll.load.heardRouters.end()) {
      aContext.memory.sessions[id].lastAgentContactAt = aContext.now;
    }
  }
}

void
recordDemand(Context& aContext, const ConfigPoll& aPoll)
{
  for (const auto& demand : aPoll.demand) {
    aContext.memory.plans[demand.plan].demand[aPoll.session] = { demand.tokensPerSecond,
                                                                 demand.reserved,
                                                                 aContext.now };
  }
}

// The confirmation reduces the tokens that a later fence leaves in doubt. It is replicated only when it covers a
// superseded or removed agent that the session's earlier confirmation did not cover.
void
proposeSettled(Context& aContext, const ConfigPoll& aPoll)
{
  const auto& sessions = aContext.state.sessions;
  const auto found = sessions.routers.find(aPoll.session);
  if (found == sessions.routers.end() || found->second.fenced) {
    return;
  }
  const auto lastLoss = std::max(toNumber(sessions.lastAgentSuperseded), toNumber(sessions.lastAgentRemoved));
  if (lastLoss > toNumber(found->second.settledDirectory) && toNumber(aPoll.settledDirectory) >= lastLoss) {
    proposeForSession(aContext, aPoll.session, state::MarkSettled{ aPoll.session, aPoll.settledDirectory });
  }
}

void
proposeDrained(Context& aContext, const ConfigPoll& aPoll)
{
  const auto found = aContext.state.sessions.agents.find(aPoll.session);
  if (aPoll.load.drained && found != aContext.state.sessions.agents.end() && !found->second.drained) {
    proposeForSession(aContext, aPoll.session, state::MarkDrained{ aPoll.session });
  }
}

bool
isLive(const state::ReplicatedState& aState, const ConfigPoll& aPoll)
{
  return aPoll.role == Role::kRouter ? state::isLiveRouter(aState.sessions, aPoll.session)
                                     : state::isLiveAgent(aState.sessions, aPoll.session);
}

std::vector<AgentEntry>
directory(const state::Sessions& aSessions)
{
  std::vector<AgentEntry> agents;
  agents.reserve(aSessions.agents.size());
  for (const auto& [id, agent] : aSessions.agents) {
    agents.push_back(agent.entry);
  }
  return agents;
}

// The latest move of each model; it is active or shows whether its version was rolled back.
std::vector<Move>
currentMoves(const state::Moves& aMoves)
{
  std::map<ModelName, Move> latest;
  for (const auto& move : aMoves.moves) {
    latest.insert_or_assign(move.model, move);
  }
  std::vector<Move> moves;
  moves.reserve(latest.size());
  for (auto& [model, move] : latest) {
    moves.push_back(std::move(move));
  }
  return moves;
}

std::vector<VersionShare>
shares(const state::Moves& aMoves)
{
  std::vector<VersionShare> all;
  for (const auto& [model, versions] : aMoves.shares) {
    all.insert(all.end(), versions.begin(), versions.end());
  }
  return all;
}

bool
hasNewerLists(const Lists& aLists, const ConfigPoll& aPoll)
{
  return aLists.plansRevision > aPoll.plansRevision || aLists.usesRevision > aPoll.usesRevision;
}

void
addLists(ConfigState& aAnswer, const Lists& aLists, const ConfigPoll& aPoll)
{
  if (hasNewerLists(aLists, aPoll)) {
    aAnswer.hasLists = true;
    aAnswer.lists = aLists;
  }
}

// Agents use no entry of the lists; they only report which revisions they have received.
void
addListRevisions(ConfigState& aAnswer, const Lists& aLists, const ConfigPoll& aPoll)
{
  if (hasNewerLists(aLists, aPoll)) {
    aAnswer.hasLists = true;
    aAnswer.lists.plansRevision = aLists.plansRevision;
    aAnswer.lists.usesRevision = aLists.usesRevision;
  }
}

void
addDirectory(ConfigState& aAnswer, const state::Sessions& aSessions, const ConfigPoll& aPoll)
{
  aAnswer.directoryRevision = aSessions.directoryRevision;
  if (aSessions.directoryRevision > aPoll.directoryRevision) {
    aAnswer.hasDirectory = true;
    aAnswer.agents = directory(aSessions);
  }
}

void
addMoves(ConfigState& aAnswer, const state::Moves& aMoves, const ConfigPoll& aPoll)
{
  aAnswer.movesRevision = aMoves.revision;
  if (aMoves.revision > aPoll.movesRevision) {
    aAnswer.hasMoves = true;
    aAnswer.shares = shares(aMoves);
    aAnswer.moves = currentMoves(aMoves);
  }
}

void
addGrants(ConfigState& aAnswer, const state::Ledger& aLedger, SessionId aSession)
{
  for (const auto id : state::grantsOf(aLedger, aSession)) {
    aAnswer.grants.push_back(state::view(*state::findGrant(aLedger, id)));
  }
}

// Routers without contact for half the timeout. Agents that are connected to one report it before the timeout expires.
std::vector<InstanceId>
silentRouters(const Context& aContext)
{
  std::vector<InstanceId> unresponsive;
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    if (!router.fenced && aContext.now - lastSeen(aContext, id) >= aContext.options.sessions.routerTimeout / 2) {
      unresponsive.push_back(router.instance);
    }
  }
  return unresponsive;
}

ConfigState
answer(const state::ReplicatedState& aState, const ConfigPoll& aPoll)
{
  ConfigState state;
  state.number = aPoll.number;
  state.session = aPoll.session;
  state.readIndex = aState.applied;
  state.sessionLive = isLive(aState, aPoll);
  if (aPoll.role == Role::kRouter) {
    addLists(state, aState.lists.lists, aPoll);
    addDirectory(state, aState.sessions, aPoll);
    addMoves(state, aState.moves, aPoll);
    addGrants(state, aState.ledger, aPoll.session);
  } else {
    addListRevisions(state, aState.lists.lists, aPoll);
  }
  return state;
}

} // namespace

bool
handleConfig(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  const auto* poll = std::get_if<ConfigPoll>(&aMessage);
  if (poll == nullptr) {
    return false;
  }
  recordSession(aContext, *poll);
  if (!poll->load.heardRouters.empty()) {
    recordAgentContacts(aContext, *poll);
  }
  recordDemand(aContext, *poll);
  proposeSettled(aContext, *poll);
  proposeDrained(aContext, *poll);
  // Passes the samples to the moves controller here, because dispatch ends with the first controller that handles a
  // message.
  handleMoves(aContext, aFrom, aMessage);
  auto waiting = *poll;
  waiting.demand.clear();
  waiting.samples.clear();
  aContext.memory.nextRead.polls.push_back({ aFrom, std::move(waiting) });
  return true;
}

void
tickConfig(Context& aContext)
{
  // Removes sessions that ended long ago.
  std::erase_if(aContext.memory.sessions, [&](const auto& aItem) {
    const auto& sessions = aContext.state.sessions;
    return !sessions.routers.contains(aItem.first) && !sessions.agents.contains(aItem.first) &&
           aContext.now - aItem.second.lastSeen > aContext.options.sessions.agentRemovalTime;
  });
}

std::optional<std::uint64_t>
beginRead(Memory& aMemory, std::uint64_t& aLastRead)
{
  const auto& waiting = aMemory.nextRead;
  if (waiting.polls.empty() && waiting.gatewayPolls.empty() && waiting.shows.empty()) {
    return std::nullopt;
  }
  const auto read = ++aLastRead;
  aMemory.reads[read] = std::exchange(aMemory.nextRead, {});
  return read;
}

void
answerRead(Context& aContext, std::uint64_t aRead)
{
  const auto read = aContext.memory.reads.extract(aRead);
  if (read.empty()) {
    return;
  }
  const auto unresponsive = silentRouters(aContext);
  for (const auto& pending : read.mapped().polls) {
    auto state = answer(aContext.state, pending.poll);
    if (pending.poll.role == Role::kAgent) {
      state.silentRouters = unresponsive;
    }
    send(aContext, pending.from, state);
  }
  for (const auto& pending : read.mapped().gatewayPolls) {
    confirmPoll(aContext, pending.poll.session, pending.poll.number);
    answerGateway(aContext, pending.from, pending.poll);
  }
  for (const auto& show : read.mapped().shows) {
    runOperator(aContext, show);
  }
}

} // namespace rhubarbarch::controller
