#include "control.h"

#include "claims.h"
#include "filters.h"
#include "runs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace rhubarbarch::router {

namespace {

/// Minimum and maximum delay before the next GrantRequest while the leader recalls tokens from other routers.
constexpr Duration kMinRequestDelay{ 20 };
constexpr Duration kMaxRequestDelay{ 500 };

/// @return the directory revision if every run at an agent session that the directory does not list is charged and the
/// charge acknowledged, else zero
Revision
settledDirectory(const State& aState)
{
  const auto listed = [&](const InstanceId& aAgent, SessionId aSession) {
    const auto agent = aState.agents.find(aAgent);
    return agent != aState.agents.end() && agent->second.listed && agent->second.entry.session == aSession;
  };
  const bool runs = std::ranges::all_of(aState.requests, [&](const auto& aEntry) {
    const Run& run = aEntry.second.run;
    return !run.dispatched || run.attached || listed(run.agent, run.agentSession);
  });
  const bool charges = allPendingCharges(
    aState.grants, [&](const PendingCharge& aCharge) { return listed(aCharge.agent, aCharge.agentSession); });
  return runs && charges ? aState.config.directoryRevision : Revision{};
}

void
sendPoll(State& aState)
{
  ConfigPoll poll;
  poll.instance = aState.options.instance;
  poll.role = Role::kRouter;
  poll.session = aState.link.session;
  poll.number = ++aState.link.polls;
  poll.readIndex = aState.config.readIndex;
  poll.plansRevision = aState.config.lists.plansRevision;
  poll.usesRevision = aState.config.lists.usesRevision;
  poll.directoryRevision = aState.config.directoryRevision;
  poll.movesRevision = aState.config.movesRevision;
  poll.settledDirectory = settledDirectory(aState);
  poll.demand = planDemand(aState.grants);
  poll.samples = samplesForPoll(aState.breakers, poll.number);
  sendToLeader(aState, std::move(poll));
}

void
sendRegistration(State& aState)
{
  RegisterSession message;
  message.instance = aState.options.instance;
  message.boot = aState.boot;
  message.role = Role::kRouter;
  message.dataCentre = aState.options.dataCentre;
  message.endpoint = aState.options.endpoint;
  sendToLeader(aState, std::move(message));
}

void
updateConnections(State& aState, const std::vector<AgentEntry>& aEntries)
{
  const DirectoryChange change = applyDirectory(aState.agents, aEntries);
  for (const InstanceId& instance : change.connect) {
    const AgentView& agent = aState.agents.at(instance);
    aState.actions.emplace_back(Connect{ { instance, Role::kAgent }, agent.entry.endpoint });
  }
  checkAgentBoots(aState);
}

/// Closes connections to agents that are no longer listed and that no request uses.
void
removeUnlistedAgents(State& aState)
{
  std::erase_if(aState.agents, [&](const auto& aEntry) {
    const auto& [instance, agent] = aEntry;
    const bool inUse =
      std::ranges::any_of(aState.requests, [&](const auto& aRequest) { return aRequest.second.run.agent == instance; });
    if (agent.listed || inUse) {
      return false;
    }
    aState.actions.emplace_back(Connect{ { instance, Role::kAgent }, {} });
    return true;
  });
}

void
onConfigState(State& aState, const ConfigState& aMessage)
{
  const bool otherSession = aMessage.session != SessionId{} && aMessage.session != aState.link.session;
  if (aState.link.session == SessionId{} || otherSession || aMessage.number < aState.link.firstPoll) {
    return; // belongs to an ended session
  }
  samplesAnswered(aState.breakers, aMessage.number);
  if (!aMessage.sessionLive) {
    endControlSession(aState);
    return;
  }
  const bool wasHeld = aState.config.held;
  const ConfigChange change = applyConfig(aState.config, aMessage);
  if (!change.applied) {
    return;
  }
  if (change.directory) {
    updateConnections(aState, aMessage.agents);
  }
  if (change.moves) {
    applyShares(aState.breakers, aState.config.shares, aState.config.moves);
  }
  applyGrantList(aState.grants, aMessage.grants, aMessage.number, aState.link.polls, aState.now);
  if (change.lists || !wasHeld) {
    log(aState,
        Severity::kInfo,
        "configuration",
        { { "plans_revision", toNumber(aState.config.lists.plansRevision) },
          { "uses_revision", toNumber(aState.config.lists.usesRevision) } });
  }
  advanceWaiting(aState);
}

Refusal
grantRefusal(const GrantReply& aReply)
{
  const Duration retry{ std::max<std::int64_t>(aReply.retryAfterMs, 0) };
  switch (aReply.status) {
    case GrantStatus::kExhausted:
      return { 402,
               "budget_exhausted",
               "the prepaid budget of the plan does not cover this request",
               Ran::kNo,
               std::max(retry, Duration{ 1000 }) };
    case GrantStatus::kNoSuchPlan:
      return { 403, "unknown_plan", "the plan has no account", Ran::kNo, {} };
    case GrantStatus::kReservedByRuns:
      return { 429,
               "budget_reserved",
               "the rest of the budget is reserved by requests in progress",
               Ran::kNo,
               std::max(retry, Duration{ 1 }) };
    case GrantStatus::kHeldElsewhere:
    case GrantStatus::kGranted:
      break;
  }
  return { 429,
           "budget_held_elsewhere",
           "the rest of the budget is being called back from other routers",
           Ran::kNo,
           std::max(retry, Duration{ 1000 }) };
}

void
onGrantReply(State& aState, const GrantReply& aReply)
{
  const auto account = aState.grants.plans.find(aReply.plan);
  if (account == aState.grants.plans.end()) {
    return;
  }
  std::optional<PendingGrantRequest>& pendingRequest = account->second.pendingRequest;
  if (!pendingRequest || pendingRequest->number != aReply.number) {
    return;
  }
  const Tokens wanted = pendingRequest->wanted;
  pendingRequest.reset();
  if (aReply.status == GrantStatus::kGranted) {
    acceptGrant(aState.grants, aReply.grant, aState.link.polls, aState.now);
    advanceWaiting(aState);
    return;
  }
  const bool held = aReply.status == GrantStatus::kHeldElsewhere;
  if (held) {
    // The leader can then issue one grant that is large enough.
    returnFragments(aState.grants, aReply.plan);
    account->second.nextRequestAt =
      aState.now + std::clamp(Duration{ aReply.retryAfterMs }, kMinRequestDelay, kMaxRequestDelay);
  }
  for (auto& [key, request] : aState.requests) {
    // A refusal only applies to requests that need at least as many tokens as the GrantRequest.
    if (request.stage == Stage::kReserve && request.plan == aReply.plan && request.worstCase >= wanted) {
      (held ? request.heldElsewhere : request.leaderRefusal) = grantRefusal(aReply);
    }
  }
  advanceWaiting(aState);
}

void
onChargeAck(State& aState, const ChargeAck& aAck)
{
  for (const PendingCharge& charge : acknowledgeCharges(aState.grants, aAck)) {
    sendToAgent(aState, charge.agent, ChargeSettled{ charge.run });
  }
}

void
onRegistered(State& aState, const SessionRegistered& aReply)
{
  if (applyRegistered(aState.link, aReply, aState.boot, aState.now)) {
    log(aState, Severity::kInfo, "registered", { { "session", toNumber(aReply.session) } });
  }
}

void
onCallback(State& aState, const GrantCallback& aCallback)
{
  if (auto answer = returnOnCallback(aState.grants, aCallback, aState.options, aState.now)) {
    sendToLeader(aState, *answer);
  }
}

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

} // namespace

void
connectControllers(State& aState)
{
  for (const ControllerPeer& peer : aState.options.controllers) {
    aState.actions.emplace_back(Connect{ { peer.instance, Role::kController }, peer.endpoint });
  }
}

void
endControlSession(State& aState)
{
  log(aState, Severity::kWarning, "session_fenced", { { "session", toNumber(aState.link.session) } });
  endSession(aState.link, aState.now);
  endSession(aState.grants);
}

bool
handleControlMessage(State& aState, const InstanceId& aFrom, const Message& aMessage)
{
  if (std::ranges::find(aState.link.controllers, aFrom) == aState.link.controllers.end()) {
    return false;
  }
  if (const auto* hint = std::get_if<NotLeader>(&aMessage)) {
    followHint(aState.link, aFrom, *hint, aState.now);
    return true;
  }
  if (const auto* query = std::get_if<ExplainQuery>(&aMessage)) {
    const Message reply = ExplainReply{ query->number, decisionsOn(aState.explanations, query->request) };
    send(aState, { aFrom, Role::kController }, reply);
    return true;
  }
  noteLeaderAnswer(aState.link, aFrom, aState.now);
  return std::visit(
    Overloaded{
      [&](const SessionRegistered& aReply) { return onRegistered(aState, aReply), true; },
      [&](const ConfigState& aReply) { return onConfigState(aState, aReply), true; },
      [&](const GrantReply& aReply) { return onGrantReply(aState, aReply), true; },
      [&](const GrantCallback& aCall) { return onCallback(aState, aCall), true; },
      [&](const GrantReturned& aReply) { return acknowledgeReturn(aState.grants, aReply), true; },
      [&](const ChargeAck& aReply) { return onChargeAck(aState, aReply), true; },
      [&](const GrantClosed& aReply) { return acknowledgeClose(aState.grants, aReply, aState.link.polls), true; },
      [&](const ClaimReply& aReply) { return onClaimReply(aState, aReply), true; },
      [](const auto&) { return false; },
    },
    aMessage);
}

void
tickControl(State& aState)
{
  rotateOnTimeout(aState.link, aState.options, aState.now);
  if (aState.link.session == SessionId{}) {
    if (aState.now >= aState.link.registerAt) {
      aState.link.registerAt = aState.now + aState.options.resendPeriod;
      sendRegistration(aState);
    }
  } else if (aState.now >= aState.link.pollAt) {
    aState.link.pollAt = aState.now + aState.options.pollPeriod;
    sendPoll(aState);
  }
  const bool leaving = aState.leaving && aState.requests.empty();
  const bool connected = controlConnected(aState.link, aState.options, aState.now);
  for (Message& message :
       dueGrantMessages(aState.grants, aState.link.session, aState.options, connected, leaving, aState.now)) {
    sendToLeader(aState, std::move(message));
  }
  resendClaims(aState);
  tripBreakers(aState);
  if (aState.link.session != SessionId{}) {
    for (BrakeReport& report : dueReports(aState.breakers, aState.link.session, aState.options, aState.now)) {
      sendToLeader(aState, std::move(report));
    }
  }
  removeUnlistedAgents(aState);
}

} // namespace rhubarbarch::router
