#include "controllers.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::controller {

namespace {

void
rememberSession(Context& aContext, const ConfigPoll& aPoll)
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

// A router that is cut off from the controllers and still connected to an agent is not lost: it goes on serving from
// its grants, which a fence would stop.
void
rememberHeard(Context& aContext, const ConfigPoll& aPoll)
{
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    if (!router.fenced &&
        std::ranges::find(aPoll.load.heardRouters, router.instance) != aPoll.load.heardRouters.end()) {
      aContext.memory.sessions[id].heardByAgent = aContext.now;
    }
  }
}

void
rememberDemand(Context& aContext, const ConfigPoll& aPoll)
{
  for (const auto& demand : aPoll.demand) {
    aContext.memory.plans[demand.plan].demand[aPoll.session] = { demand.tokensPerSecond,
                                                                 demand.reserved,
                                                                 aContext.now };
  }
}

// The proof shortens what a later fence leaves in doubt. It is replicated only when it covers an agent's loss that the
// session's earlier proof did not.
void
rememberSettled(Context& aContext, const ConfigPoll& aPoll)
{
  const auto& sessions = aContext.state.sessions;
  const auto found = sessions.routers.find(aPoll.session);
  if (found == sessions.routers.end() || found->second.fenced) {
    return;
  }
  const auto lost = std::max(toNumber(sessions.lastAgentSuperseded), toNumber(sessions.lastAgentRemoved));
  if (lost > toNumber(found->second.settledDirectory) && toNumber(aPoll.settledDirectory) >= lost) {
    proposeForSession(aContext, aPoll.session, state::MarkSettled{ aPoll.session, aPoll.settledDirectory });
  }
}

void
rememberDrained(Context& aContext, const ConfigPoll& aPoll)
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

// Active moves, and the last one of each model, which tells whether its version was taken back.
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

// Agents act on no entry of the lists; they only report which revisions they have seen.
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

// Agents are asked after these in time for their answers to arrive before a router counts as lost.
std::vector<InstanceId>
silentRouters(const Context& aContext)
{
  std::vector<InstanceId> silent;
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    if (!router.fenced && aContext.now - lastSeen(aContext, id) >= aContext.options.sessions.routerLost / 2) {
      silent.push_back(router.instance);
    }
  }
  return silent;
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
  rememberSession(aContext, *poll);
  if (!poll->load.heardRouters.empty()) {
    rememberHeard(aContext, *poll);
  }
  rememberDemand(aContext, *poll);
  rememberSettled(aContext, *poll);
  rememberDrained(aContext, *poll);
  // Samples go to the moves controller, which sees the same message next.
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
  // Sessions that ended long ago are forgotten.
  std::erase_if(aContext.memory.sessions, [&](const auto& aItem) {
    const auto& sessions = aContext.state.sessions;
    return !sessions.routers.contains(aItem.first) && !sessions.agents.contains(aItem.first) &&
           aContext.now - aItem.second.lastSeen > aContext.options.sessions.agentRemoved;
  });
}

std::optional<std::uint64_t>
takeRead(Memory& aMemory, std::uint64_t& aNextRead)
{
  const auto& waiting = aMemory.nextRead;
  if (waiting.polls.empty() && waiting.gatewayPolls.empty() && waiting.shows.empty()) {
    return std::nullopt;
  }
  const auto read = ++aNextRead;
  aMemory.reads[read] = std::exchange(aMemory.nextRead, {});
  return read;
}

void
readReady(Context& aContext, std::uint64_t aRead)
{
  const auto read = aContext.memory.reads.extract(aRead);
  if (read.empty()) {
    return;
  }
  const auto silent = silentRouters(aContext);
  for (const auto& pending : read.mapped().polls) {
    auto state = answer(aContext.state, pending.poll);
    if (pending.poll.role == Role::kAgent) {
      state.silentRouters = silent;
    }
    send(aContext, pending.from, state);
  }
  for (const auto& pending : read.mapped().gatewayPolls) {
    answerGateway(aContext, pending.from, pending.poll);
  }
  for (const auto& show : read.mapped().shows) {
    runOperator(aContext, show);
  }
}

} // namespace rhubarbarch::controller
