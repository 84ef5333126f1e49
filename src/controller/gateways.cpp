#include "controllers.h"
#include "gateway_documents.h"
#include "quarantine.h"
#include "rollouts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbarch::controller {

namespace {

const state::GatewaySession*
findSession(const Context& aContext, const GatewayPoll& aPoll)
{
  const auto found = aContext.state.allowances.sessions.find(aPoll.session);
  const bool own = found != aContext.state.allowances.sessions.end() && found->second.instance == aPoll.instance &&
                   found->second.boot == aPoll.boot;
  return own ? &found->second : nullptr;
}

state::Allowance
allowanceOf(const state::GatewaySession& aSession, const PlanId& aPlan)
{
  const auto found = aSession.allowances.find(aPlan);
  return found == aSession.allowances.end() ? state::Allowance{} : found->second;
}

Tokens
closedUse(const Context& aContext, const PlanId& aPlan)
{
  const auto& closed = aContext.state.allowances.closed;
  const auto found = closed.find(aPlan);
  return found == closed.end() ? 0 : found->second.spent + found->second.inDoubt;
}

Tokens
unissued(const Context& aContext, const PlanId& aPlan)
{
  const auto prepaid = state::prepaid(aContext.state.routing.table, aPlan);
  return prepaid - closedUse(aContext, aPlan) - planSum(aContext.memory.sums, aPlan).held;
}

/// Tokens of a plan that a session holds and has used: from the replicated state, and from its polls if this leader has
/// received any.
PlanSum
sessionPart(const Context& aContext, SessionId aSession, const state::GatewaySession& aState, const PlanId& aPlan)
{
  const auto allowance = allowanceOf(aState, aPlan);
  PlanSum part{ state::held(allowance), allowance.spent, allowance.committed };
  const auto gateway = aContext.memory.gateways.find(aSession);
  if (gateway != aContext.memory.gateways.end()) {
    const auto use = gateway->second.uses.find(aPlan);
    if (use != gateway->second.uses.end()) {
      part.used = std::max(part.used, use->second.spent + use->second.reserved);
      part.committed = use->second.committed;
    }
  }
  return part;
}

void
updateSessionSum(Context& aContext, SessionId aSession, const state::GatewaySession& aState, const PlanId& aPlan)
{
  updatePlanSum(aContext.memory.sums, aSession, aPlan, sessionPart(aContext, aSession, aState, aPlan));
}

/// Recomputes the plan sums of all sessions; needed when sessions were opened or closed.
void
recomputeSums(Context& aContext)
{
  auto& sums = aContext.memory.sums;
  sums.plans.clear();
  sums.plansBySession.clear();
  for (const auto& [id, session] : aContext.state.allowances.sessions) {
    for (const auto& [plan, allowance] : session.allowances) {
      updateSessionSum(aContext, id, session, plan);
    }
  }
}

/// Tokens used by closed sessions, by plan: `[spent, in doubt]`.
nlohmann::json
closedUses(const Context& aContext)
{
  auto closed = nlohmann::json::object();
  for (const auto& [plan, use] : aContext.state.allowances.closed) {
    closed[plan] = { use.spent, use.inDoubt };
  }
  return closed;
}

/// Opens a session for a new boot; the gateway's next poll contains its id.
void
openSession(Context& aContext, const Address& aFrom, const GatewayPoll& aPoll)
{
  if (aContext.memory.gatewaysOpening.contains(aPoll.instance)) {
    return;
  }
  const bool proposed =
    propose(aContext,
            state::OpenGateway{ aPoll.instance, aPoll.boot },
            [aFrom, poll = aPoll](Context& aDone, const state::Outcome& aOutcome) {
              const auto session = std::get<state::GatewayOutcome>(aOutcome).session;
              aDone.memory.gatewaysOpening.erase(poll.instance);
              recomputeSums(aDone);
              log(aDone,
                  "gateway_opened",
                  { { "gateway", poll.instance }, { "session", toNumber(session) }, { "closed", closedUses(aDone) } });
              auto answered = poll;
              answered.session = session;
              answerGateway(aDone, aFrom, answered);
            });
  if (proposed) {
    aContext.memory.gatewaysOpening.insert(aPoll.instance);
  }
}

bool
hasContactWithin(const Context& aContext, SessionId aSession, Duration aTime)
{
  const auto found = aContext.memory.gateways.find(aSession);
  return found != aContext.memory.gateways.end() && aContext.now - found->second.lastSeen < aTime;
}

/// @return whether a gateway other than that of `aSession` has requests that wait for tokens of a plan
bool
othersWait(const Context& aContext, SessionId aSession, const PlanId& aPlan)
{
  const auto found = aContext.memory.waitingFor.find(aPlan);
  return found != aContext.memory.waitingFor.end() && std::ranges::any_of(found->second, [&](const auto& aItem) {
           return aItem.first != aSession && aContext.now - aItem.second < aContext.options.gateways.demandRetention;
         });
}

/// Tokens that a session may still be issued. What the open requests of the other sessions may cost is left to them; a
/// session gets the tokens for its own commitments in any case.
Tokens
issuable(const Context& aContext, SessionId aSession, const state::GatewaySession& aState, const PlanId& aPlan)
{
  const auto free = unissued(aContext, aPlan);
  const auto own = sessionPart(aContext, aSession, aState, aPlan).committed;
  const auto others = planSum(aContext.memory.sums, aPlan).committed - own;
  return std::max(free - others, std::min(own, free));
}

/// Changes to the replicated budgets that a gateway's polls require: returned tokens and tokens to issue.
state::ReportAllowances
allowanceChanges(const Context& aContext, SessionId aSession, const GatewayMemory& aGateway)
{
  state::ReportAllowances report;
  report.session = aSession;
  const auto found = aContext.state.allowances.sessions.find(aSession);
  if (found == aContext.state.allowances.sessions.end()) {
    return report;
  }
  for (const auto& [plan, use] : aGateway.uses) {
    const auto allowance = allowanceOf(found->second, plan);
    // While requests wait at other gateways, no tokens are issued in advance.
    const auto asked = othersWait(aContext, aSession, plan) ? use.spent + use.reserved + use.waiting : use.target;
    const auto wanted = std::min(asked, state::held(allowance) + issuable(aContext, aSession, found->second, plan));
    const bool returns = use.returned > allowance.returned;
    const bool wants = wanted > state::held(allowance) && unissued(aContext, plan) > 0;
    if (returns || wants) {
      report.plans.push_back({ plan, use.returned, use.spent, wanted, use.committed });
    }
  }
  return report;
}

/// Part of the budget that is neither spent nor reserved nor committed according to the reports that this leader has.
/// Unused tokens that sessions hold count as remaining because the leader can recall them.
Tokens
remaining(const Context& aContext, const PlanAccess& aPlan)
{
  const auto sum = planSum(aContext.memory.sums, aPlan.plan);
  return aPlan.prepaid - closedUse(aContext, aPlan.plan) - sum.used - sum.committed;
}

PlanAllowance
planAllowance(const Context& aContext, SessionId aId, const state::GatewaySession& aSession, const PlanAccess& aPlan)
{
  const auto free = unissued(aContext, aPlan.plan);
  const bool recall = free < 0 || (free == 0 && othersWait(aContext, aId, aPlan.plan));
  const auto part = sessionPart(aContext, aId, aSession, aPlan.plan);
  return {
    aPlan.plan, allowanceOf(aSession, aPlan.plan).issued, remaining(aContext, aPlan), recall, part.used + part.committed
  };
}

/// @return whether the next answer to a gateway must include a plan
bool
needsUpdate(const Context& aContext,
            const PlanAllowance& aAllowance,
            const PlanAccess& aPlan,
            const GatewayMemory* aGateway)
{
  if (aAllowance.recall || aAllowance.remaining < aPlan.prepaid / aContext.options.gateways.nearEndDivisor) {
    return true;
  }
  if (aGateway == nullptr) {
    return aAllowance.issued > 0;
  }
  const auto use = aGateway->uses.find(aPlan.plan);
  return use == aGateway->uses.end()
           ? aAllowance.issued > 0
           : use->second.issued != aAllowance.issued || use->second.waiting > 0 || use->second.committed > 0;
}

std::vector<PlanAllowance>
planAllowances(const Context& aContext, SessionId aId, const state::GatewaySession& aSession)
{
  const auto found = aContext.memory.gateways.find(aId);
  const auto* gateway = found == aContext.memory.gateways.end() ? nullptr : &found->second;
  std::vector<PlanAllowance> plans;
  for (const auto& plan : aContext.state.routing.table.plans) {
    if (plan.prepaid < 0) {
      continue;
    }
    auto allowance = planAllowance(aContext, aId, aSession, plan);
    if (needsUpdate(aContext, allowance, plan, gateway)) {
      plans.push_back(std::move(allowance));
    }
  }
  return plans;
}

/// An answer without routing, upstreams and plans.
GatewayState
minimalAnswer(const Context& aContext, const GatewayPoll& aPoll)
{
  GatewayState answer;
  answer.instance = aPoll.instance;
  answer.boot = aPoll.boot;
  answer.number = aPoll.number;
  answer.session = aPoll.session;
  answer.routingVersion = aContext.state.routing.table.version;
  if (const auto gateway = aContext.memory.gateways.find(aPoll.session); gateway != aContext.memory.gateways.end()) {
    answer.confirmedPoll = gateway->second.confirmedPoll;
  }
  answer.hasOthersUse = false;
  answer.evacuationsRevision = toNumber(aContext.state.evacuations.changedAt);
  answer.evacuated = aContext.state.evacuations.dataCentres;
  answer.rolloutsRevision = toNumber(aContext.state.rollouts.changedAt);
  std::ranges::transform(aContext.state.rollouts.rollouts, std::back_inserter(answer.rollouts), &state::Rollout::rule);
  addSuspects(answer, aContext);
  addQuarantine(answer, aContext, aPoll);
  answer.gateways = static_cast<std::uint32_t>(std::ranges::count_if(aContext.memory.gateways, [&](const auto& aItem) {
    return hasContactWithin(aContext, aItem.first, aContext.options.gateways.gatewayTimeout);
  }));
  return answer;
}

/// Asks all gateways at once for what they know of new suspects, since a crash counts only after `crashSettleTime`.
void
askForSuspects(Context& aContext)
{
  for (const auto& [session, gateway] : aContext.memory.gateways) {
    if (hasContactWithin(aContext, session, aContext.options.gateways.gatewayTimeout)) {
      send(aContext, gateway.from, minimalAnswer(aContext, gateway.poll));
    }
  }
}

void
recordPoll(Context& aContext, const Address& aFrom, const GatewayPoll& aPoll, const state::GatewaySession& aSession)
{
  auto& memory = aContext.memory;
  auto& gateway = memory.gateways[aPoll.session];
  gateway.from = aFrom;
  gateway.pendingReplyTo.insert(aFrom);
  gateway.lastSeen = aContext.now;
  gateway.poll = aPoll;
  gateway.poll.plans.clear();
  gateway.poll.upstreams.clear();
  gateway.poll.broken.clear();
  gateway.poll.subjects.clear();
  for (const auto& use : aPoll.plans) {
    gateway.uses[use.plan] = use;
    updateSessionSum(aContext, aPoll.session, aSession, use.plan);
    if (use.waiting > 0) {
      memory.waitingFor[use.plan][aPoll.session] = aContext.now;
    } else if (const auto found = memory.waitingFor.find(use.plan); found != memory.waitingFor.end()) {
      found->second.erase(aPoll.session);
    }
  }
  recordLimits(memory.limits, aPoll.limits, aContext.now);
  if (recordEvidence(aContext, aPoll)) {
    askForSuspects(aContext);
  }
  if (!aPoll.partial) {
    updateUpstreamSums(memory.sums, aPoll.session, aPoll.upstreams);
  }
}

/// @return whether a poll is a duplicate or arrived after a later poll of the same session
bool
isStale(const Context& aContext, const GatewayPoll& aPoll)
{
  const auto found = aContext.memory.gateways.find(aPoll.session);
  return found != aContext.memory.gateways.end() && aPoll.number <= found->second.poll.number;
}

/// Adds the calls that a poll's answers permit. An answer to an earlier poll than the last one permits none.
void
addPermits(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll)
{
  auto* gateway = findGateway(aContext, aPoll.session);
  if (gateway == nullptr || aPoll.number < gateway->permits.poll) {
    return;
  }
  if (aPoll.number > gateway->permits.poll) {
    const auto& platform = aContext.platform;
    if (platform.upstreamsReadAt) {
      recordColdUpstreams(aContext.memory.limits,
                          platform.upstreams,
                          aContext.state.routing.table.services,
                          *platform.upstreamsReadAt,
                          aContext.now);
    }
    gateway->permits = { aPoll.number,
                         permitCalls(aContext.memory.limits, aPoll.limits, aContext.options.gateways, aContext.now) };
  }
  aAnswer.hasPermits = true;
  aAnswer.permits = gateway->permits.permits;
}

/// Recalls idle tokens of a plan for which other gateways wait. The recall is sent at once: the holders' next polls
/// would come too late for requests that wait only some hundred milliseconds.
void
recall(Context& aContext, SessionId aWaiting, const PlanAccess& aPlan)
{
  const auto pause = aContext.options.gateways.recallPause;
  if (!isDue(aContext, aContext.memory.recalledAt[aPlan.plan], pause / 2)) {
    return;
  }
  for (auto& [session, gateway] : aContext.memory.gateways) {
    const auto found = aContext.state.allowances.sessions.find(session);
    if (session == aWaiting || found == aContext.state.allowances.sessions.end()) {
      continue;
    }
    const auto part = sessionPart(aContext, session, found->second, aPlan.plan);
    if (part.held > part.used && isDue(aContext, gateway.recalledAt[aPlan.plan], pause)) {
      auto answer = minimalAnswer(aContext, gateway.poll);
      answer.plans.push_back(planAllowance(aContext, session, found->second, aPlan));
      send(aContext, gateway.from, std::move(answer));
    }
  }
}

void
recallForWaiting(Context& aContext, SessionId aSession)
{
  const auto& gateway = aContext.memory.gateways.at(aSession);
  for (const auto& plan : aContext.state.routing.table.plans) {
    const auto use = gateway.uses.find(plan.plan);
    if (use != gateway.uses.end() && use->second.waiting > 0 && unissued(aContext, plan.plan) <= 0) {
      recall(aContext, aSession, plan);
    }
  }
}

/// Adds the sessions that wait for tokens of a reported plan to the next batch if tokens of that plan are available.
void
queueWaiting(Context& aContext, const state::ReportAllowances& aReport)
{
  auto& memory = aContext.memory;
  for (const auto& plan : aReport.plans) {
    const auto found = memory.waitingFor.find(plan.plan);
    if (found == memory.waitingFor.end() || unissued(aContext, plan.plan) <= 0) {
      continue;
    }
    for (const auto& [session, at] : found->second) {
      if (aContext.now - at < aContext.options.gateways.demandRetention) {
        memory.reports.due.try_emplace(session, false);
      }
    }
  }
}

/// Proposes the reports that are due, unless a batch is in progress or less than `reportPause` has passed since the
/// last one.
void
proposeReports(Context& aContext);

/// Answers a gateway at each address from which its polls came. A gateway without direct answers polls both directly
/// and through a relay, and would continue to do so if only the relay received answers.
void
answerPending(Context& aContext, GatewayMemory& aGateway)
{
  auto pendingReplyTo = std::exchange(aGateway.pendingReplyTo, {});
  if (pendingReplyTo.empty()) {
    pendingReplyTo.insert(aGateway.from);
  }
  std::ranges::for_each(pendingReplyTo, [&](const Address& aTo) { answerGateway(aContext, aTo, aGateway.poll); });
}

/// Answers the latest polls of the gateways whose reports were applied; these may be later than the reported polls.
void
reportsApplied(Context& aContext, const state::ReportBatch& aBatch)
{
  auto& memory = aContext.memory;
  memory.reports.proposed = false;
  for (const auto& [session, poll] : std::exchange(memory.reports.polls, {})) {
    confirmPoll(aContext, session, poll);
  }
  const auto& sessions = aContext.state.allowances.sessions;
  for (const auto& report : aBatch.reports) {
    if (const auto found = sessions.find(report.session); found != sessions.end()) {
      std::ranges::for_each(report.plans, [&](const auto& aPlan) {
        updateSessionSum(aContext, report.session, found->second, aPlan.plan);
      });
    }
  }
  for (const auto& report : aBatch.reports) {
    const auto found = memory.gateways.find(report.session);
    if (found != memory.gateways.end()) {
      answerPending(aContext, found->second);
      recallForWaiting(aContext, report.session);
      memory.reports.due.try_emplace(report.session, false);
    }
    queueWaiting(aContext, report);
  }
  proposeReports(aContext);
}

/// Takes the reports that are due, starting after the session that was first in the last batch. Without this
/// rotation, the same session would always be the last to receive the remaining tokens of a plan.
state::ReportBatch
takeDue(Context& aContext)
{
  auto& queue = aContext.memory.reports;
  const auto due = std::exchange(queue.due, {});
  state::ReportBatch batch;
  const auto take = [&](const auto& aItem) {
    const auto& [session, waits] = aItem;
    auto* gateway = findGateway(aContext, session);
    if (gateway == nullptr) {
      return;
    }
    auto report = allowanceChanges(aContext, session, *gateway);
    if (!report.plans.empty()) {
      batch.reports.push_back(std::move(report));
      queue.polls[session] = gateway->poll.number;
    } else if (waits) {
      for (const auto& from : std::exchange(gateway->pendingReplyTo, {})) {
        aContext.memory.nextRead.gatewayPolls.push_back({ from, gateway->poll });
      }
    }
  };
  const auto first = due.upper_bound(queue.lastFirst);
  std::for_each(first, due.end(), take);
  std::for_each(due.begin(), first, take);
  if (!batch.reports.empty()) {
    queue.lastFirst = batch.reports.front().session;
  }
  return batch;
}

void
proposeReports(Context& aContext)
{
  auto& queue = aContext.memory.reports;
  if (queue.proposed || queue.due.empty() ||
      !isDue(aContext, queue.proposedAt, aContext.options.gateways.reportPause)) {
    return;
  }
  queue.polls.clear();
  auto batch = takeDue(aContext);
  if (batch.reports.empty()) {
    return;
  }
  const auto proposed = batch;
  queue.proposed = propose(aContext, std::move(batch), [proposed](Context& aDone, const state::Outcome& /*aOutcome*/) {
    reportsApplied(aDone, proposed);
  });
}

} // namespace

void
confirmPoll(Context& aContext, SessionId aSession, std::uint64_t aPoll)
{
  if (auto* gateway = findGateway(aContext, aSession)) {
    gateway->confirmedPoll = std::max(gateway->confirmedPoll, aPoll);
  }
}

void
answerGateway(Context& aContext, const Address& aTo, const GatewayPoll& aPoll)
{
  auto answer = minimalAnswer(aContext, aPoll);
  const auto* session = findSession(aContext, aPoll);
  answer.superseded = session == nullptr;
  addRouting(answer, aContext, aPoll, aTo);
  addUpstreams(answer, aContext, aPoll, aTo);
  if (session != nullptr) {
    answer.plans = planAllowances(aContext, aPoll.session, *session);
    addPermits(answer, aContext, aPoll);
  }
  if (!aPoll.partial) {
    answer.hasOthersUse = true;
    answer.othersUse = othersUse(aContext.memory.sums, aPoll.session);
    answer.controllers = aContext.proposer.members();
  }
  send(aContext, aTo, std::move(answer));
}

void
announceToGateways(Context& aContext)
{
  for (const auto& [session, gateway] : aContext.memory.gateways) {
    if (hasContactWithin(aContext, session, aContext.options.gateways.gatewayTimeout)) {
      answerGateway(aContext, gateway.from, gateway.poll);
    }
  }
}

bool
handleGateways(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  const auto* poll = std::get_if<GatewayPoll>(&aMessage);
  if (poll == nullptr) {
    return false;
  }
  if (poll->session == SessionId{}) {
    openSession(aContext, aFrom, *poll);
    return true;
  }
  if (isStale(aContext, *poll)) {
    return true;
  }
  const auto* session = findSession(aContext, *poll);
  if (session == nullptr) {
    aContext.memory.nextRead.gatewayPolls.push_back({ aFrom, *poll });
    return true;
  }
  recordPoll(aContext, aFrom, *poll, *session);
  auto& gateway = aContext.memory.gateways.at(poll->session);
  // A committed entry confirms the leadership as a quorum-confirmed read does, and its answer includes the issued
  // tokens.
  if (!allowanceChanges(aContext, poll->session, gateway).plans.empty()) {
    aContext.memory.reports.due[poll->session] = true;
    proposeReports(aContext);
  } else {
    gateway.pendingReplyTo.erase(aFrom);
    aContext.memory.nextRead.gatewayPolls.push_back({ aFrom, gateway.poll });
    recallForWaiting(aContext, poll->session);
  }
  return true;
}

void
tickGateways(Context& aContext)
{
  auto& memory = aContext.memory;
  const bool reads = aContext.options.gateways.readUpstreams && !memory.gateways.empty();
  if (reads && isDue(aContext, memory.upstreamsRequestedAt, aContext.options.gateways.readPeriod)) {
    aContext.actions.emplace_back(ReadUpstreams{});
  }
  proposeReports(aContext);
  expireLimits(memory.limits, aContext.options.gateways, aContext.now);
  tickQuarantine(aContext);
  tickRollouts(aContext);
  for (auto& [session, gateway] : memory.gateways) {
    if (!hasContactWithin(aContext, session, aContext.options.gateways.gatewayTimeout) &&
        memory.sums.upstreamsBySession.contains(session)) {
      updateUpstreamSums(memory.sums, session, {});
      memory.sums.upstreamsBySession.erase(session);
    }
  }
  std::erase_if(memory.gateways, [&](const auto& aItem) {
    const bool ended = !aContext.state.allowances.sessions.contains(aItem.first);
    if (ended) {
      removeSession(memory.sums, aItem.first);
      std::ranges::for_each(memory.waitingFor, [&](auto& aPlan) { aPlan.second.erase(aItem.first); });
    }
    return ended;
  });
}

void
initialiseGateways(Context& aContext)
{
  recomputeSums(aContext);
}

} // namespace rhubarbarch::controller
