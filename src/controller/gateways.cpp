#include "controllers.h"

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

/// What a session has of a plan by the log, and by its polls where this leader has heard it.
PlanSum
shareOf(const Context& aContext, SessionId aSession, const state::GatewaySession& aState, const PlanId& aPlan)
{
  const auto allowance = allowanceOf(aState, aPlan);
  PlanSum share{ state::held(allowance), allowance.spent };
  const auto gateway = aContext.memory.gateways.find(aSession);
  if (gateway != aContext.memory.gateways.end()) {
    const auto use = gateway->second.uses.find(aPlan);
    if (use != gateway->second.uses.end()) {
      share.used = std::max(share.used, use->second.spent + use->second.reserved);
    }
  }
  return share;
}

void
countSession(Context& aContext, SessionId aSession, const state::GatewaySession& aState, const PlanId& aPlan)
{
  countPlan(aContext.memory.sums, aSession, aPlan, shareOf(aContext, aSession, aState, aPlan));
}

/// Adds up all sessions anew; needed when sessions began or ended.
void
countAll(Context& aContext)
{
  auto& sums = aContext.memory.sums;
  sums.plans.clear();
  sums.plansBySession.clear();
  for (const auto& [id, session] : aContext.state.allowances.sessions) {
    for (const auto& [plan, allowance] : session.allowances) {
      countSession(aContext, id, session, plan);
    }
  }
}

/// What ended sessions used, by plan: `[spent, in doubt]`.
nlohmann::json
closedUses(const Context& aContext)
{
  auto closed = nlohmann::json::object();
  for (const auto& [plan, use] : aContext.state.allowances.closed) {
    closed[plan] = { use.spent, use.inDoubt };
  }
  return closed;
}

/// Opens a session for a new boot; its next poll names it.
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
              countAll(aDone);
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
known(const Context& aContext, SessionId aSession, Duration aTime)
{
  const auto found = aContext.memory.gateways.find(aSession);
  return found != aContext.memory.gateways.end() && aContext.now - found->second.lastSeen < aTime;
}

/// Whether a gateway other than `aSession` has requests that wait for tokens of a plan.
bool
othersWait(const Context& aContext, SessionId aSession, const PlanId& aPlan)
{
  const auto found = aContext.memory.waitingFor.find(aPlan);
  return found != aContext.memory.waitingFor.end() && std::ranges::any_of(found->second, [&](const auto& aItem) {
           return aItem.first != aSession && aContext.now - aItem.second < aContext.options.gateways.demandKept;
         });
}

/// What changes in the replicated budgets because of a gateway's polls: tokens given back, and tokens to issue.
state::ReportAllowances
changes(const Context& aContext, SessionId aSession, const GatewayMemory& aGateway)
{
  state::ReportAllowances report;
  report.session = aSession;
  const auto found = aContext.state.allowances.sessions.find(aSession);
  if (found == aContext.state.allowances.sessions.end()) {
    return report;
  }
  for (const auto& [plan, use] : aGateway.uses) {
    const auto allowance = allowanceOf(found->second, plan);
    // While requests wait elsewhere nobody gets tokens for requests that may come.
    const auto wanted = othersWait(aContext, aSession, plan) ? use.spent + use.reserved + use.waiting : use.target;
    const bool returns = use.returned > allowance.returned;
    const bool wants = wanted > state::held(allowance) && unissued(aContext, plan) > 0;
    if (returns || wants) {
      report.plans.push_back({ plan, use.returned, use.spent, wanted });
    }
  }
  return report;
}

/// Part of the budget that is neither spent nor reserved as far as this leader knows; what sessions hold unused counts
/// as left, since it can be recalled.
Tokens
remaining(const Context& aContext, const PlanAccess& aPlan)
{
  return aPlan.prepaid - closedUse(aContext, aPlan.plan) - planSum(aContext.memory.sums, aPlan.plan).used;
}

PlanAllowance
planAllowance(const Context& aContext, SessionId aId, const state::GatewaySession& aSession, const PlanAccess& aPlan)
{
  const auto free = unissued(aContext, aPlan.plan);
  const bool recall = free < 0 || (free == 0 && othersWait(aContext, aId, aPlan.plan));
  return { aPlan.plan, allowanceOf(aSession, aPlan.plan).issued, remaining(aContext, aPlan), recall };
}

/// Whether a gateway has to hear of a plan now.
bool
isNews(const Context& aContext, const PlanAllowance& aAllowance, const PlanAccess& aPlan, const GatewayMemory* aGateway)
{
  if (aAllowance.recall || aAllowance.remaining < aPlan.prepaid / aContext.options.gateways.nearEndDivisor) {
    return true;
  }
  if (aGateway == nullptr) {
    return aAllowance.issued > 0;
  }
  const auto use = aGateway->uses.find(aPlan.plan);
  return use == aGateway->uses.end() ? aAllowance.issued > 0
                                     : use->second.issued != aAllowance.issued || use->second.waiting > 0;
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
    if (isNews(aContext, allowance, plan, gateway)) {
      plans.push_back(std::move(allowance));
    }
  }
  return plans;
}

/// Notes that a document is sent. @return false when the same one was sent there a moment ago
bool
noteSent(const Context& aContext, SentDocument& aSent, std::uint64_t aRevision, const Address& aTo)
{
  const bool again =
    aSent.revision == aRevision && aSent.to == aTo && aContext.now - aSent.at < aContext.options.gateways.documentPause;
  if (!again) {
    aSent = { aRevision, aTo, aContext.now };
  }
  return !again;
}

GatewayMemory*
findGateway(Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.gateways.find(aSession);
  return found == aContext.memory.gateways.end() ? nullptr : &found->second;
}

/// Keeps the document in force, so that the next one can be told as a change of it.
void
keepDocument(Context& aContext)
{
  const auto& table = aContext.state.routing.table;
  auto& memory = aContext.memory;
  if (table.version == 0 || memory.documents.contains(table.version)) {
    return;
  }
  memory.documents.emplace(table.version, table);
  memory.documentDeltas.clear();
  if (memory.documents.size() > aContext.options.gateways.documentsKept) {
    memory.documents.erase(memory.documents.begin());
  }
}

/// @return what changed since a version; null when that document is not kept
const RoutingDelta*
deltaSince(Context& aContext, std::int64_t aVersion)
{
  auto& memory = aContext.memory;
  const auto held = memory.documents.find(aVersion);
  if (held == memory.documents.end()) {
    return nullptr;
  }
  const auto found = memory.documentDeltas.find(aVersion);
  if (found != memory.documentDeltas.end()) {
    return &found->second;
  }
  auto delta = makeDelta(held->second, aContext.state.routing.table);
  return &memory.documentDeltas.emplace(aVersion, std::move(delta)).first->second;
}

void
addRouting(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll, const Address& aTo)
{
  keepDocument(aContext);
  const auto& table = aContext.state.routing.table;
  auto* gateway = findGateway(aContext, aPoll.session);
  const auto revision = static_cast<std::uint64_t>(table.version);
  if (table.version <= aPoll.routingVersion ||
      (gateway != nullptr && !noteSent(aContext, gateway->routing, revision, aTo))) {
    return;
  }
  if (const auto* delta = deltaSince(aContext, aPoll.routingVersion)) {
    aAnswer.hasRoutingDelta = true;
    aAnswer.routingDelta = *delta;
  } else {
    aAnswer.hasRouting = true;
    aAnswer.routing = table;
  }
}

void
addUpstreams(GatewayState& aAnswer, Context& aContext, const GatewayPoll& aPoll, const Address& aTo)
{
  const auto& platform = aContext.platform;
  if (!platform.upstreamsReadAt) {
    return;
  }
  aAnswer.upstreamsAgeMs = (aContext.now - *platform.upstreamsReadAt).count();
  aAnswer.upstreamsRevision = platform.upstreamsRevision;
  auto* gateway = findGateway(aContext, aPoll.session);
  if (platform.upstreamsRevision != aPoll.upstreamsRevision &&
      (gateway == nullptr || noteSent(aContext, gateway->upstreams, platform.upstreamsRevision, aTo))) {
    aAnswer.hasUpstreams = true;
    aAnswer.upstreams = platform.upstreams;
  }
}

void
remember(Context& aContext, const Address& aFrom, const GatewayPoll& aPoll, const state::GatewaySession& aSession)
{
  auto& memory = aContext.memory;
  auto& gateway = memory.gateways[aPoll.session];
  gateway.from = aFrom;
  gateway.owed.insert(aFrom);
  gateway.lastSeen = aContext.now;
  gateway.poll = aPoll;
  gateway.poll.plans.clear();
  gateway.poll.upstreams.clear();
  for (const auto& use : aPoll.plans) {
    gateway.uses[use.plan] = use;
    countSession(aContext, aPoll.session, aSession, use.plan);
    if (use.waiting > 0) {
      memory.waitingFor[use.plan][aPoll.session] = aContext.now;
    } else if (const auto found = memory.waitingFor.find(use.plan); found != memory.waitingFor.end()) {
      found->second.erase(aPoll.session);
    }
  }
  if (!aPoll.partial) {
    countUpstreams(memory.sums, aPoll.session, aPoll.upstreams);
  }
}

/// A poll that was overtaken by a later one, or repeated on the way, says nothing new.
bool
overtaken(const Context& aContext, const GatewayPoll& aPoll)
{
  const auto found = aContext.memory.gateways.find(aPoll.session);
  return found != aContext.memory.gateways.end() && aPoll.number <= found->second.poll.number;
}

/// An answer without what the poll's routing and upstreams call for.
GatewayState
shortAnswer(const Context& aContext, const GatewayPoll& aPoll)
{
  GatewayState answer;
  answer.instance = aPoll.instance;
  answer.boot = aPoll.boot;
  answer.number = aPoll.number;
  answer.session = aPoll.session;
  answer.routingVersion = aContext.state.routing.table.version;
  answer.hasOthersUse = false;
  answer.evacuationsRevision = toNumber(aContext.state.evacuations.changedAt);
  answer.evacuated = aContext.state.evacuations.dataCentres;
  answer.gateways = static_cast<std::uint32_t>(std::ranges::count_if(aContext.memory.gateways, [&](const auto& aItem) {
    return known(aContext, aItem.first, aContext.options.gateways.lost);
  }));
  return answer;
}

/// Tells gateways at once that others wait for tokens of a plan: their next polls would come too late for requests
/// that wait for some hundred milliseconds.
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
    const auto share = shareOf(aContext, session, found->second, aPlan.plan);
    if (share.held > share.used && isDue(aContext, gateway.recalledAt[aPlan.plan], pause)) {
      auto answer = shortAnswer(aContext, gateway.poll);
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

/// Puts sessions into the next batch that wait for a plan of which something was given back or issued anew.
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
      if (aContext.now - at < aContext.options.gateways.demandKept) {
        memory.reports.due.try_emplace(session, false);
      }
    }
  }
}

/// Proposes the reports that are due, unless a batch is under way or the last one has only just been proposed.
void
proposeReports(Context& aContext);

/// Answers a gateway on each way on which it has asked. It asks directly and through a relay when it has heard nothing
/// directly, and would go on so if only the relay brought answers.
void
answerOwed(Context& aContext, GatewayMemory& aGateway)
{
  auto owed = std::exchange(aGateway.owed, {});
  if (owed.empty()) {
    owed.insert(aGateway.from);
  }
  std::ranges::for_each(owed, [&](const Address& aTo) { answerGateway(aContext, aTo, aGateway.poll); });
}

/// Answers the last polls of the gateways whose reports are applied; they may be later ones than those reported.
void
reportsApplied(Context& aContext, const state::ReportBatch& aBatch)
{
  auto& memory = aContext.memory;
  memory.reports.proposed = false;
  const auto& sessions = aContext.state.allowances.sessions;
  for (const auto& report : aBatch.reports) {
    if (const auto found = sessions.find(report.session); found != sessions.end()) {
      std::ranges::for_each(
        report.plans, [&](const auto& aPlan) { countSession(aContext, report.session, found->second, aPlan.plan); });
    }
  }
  for (const auto& report : aBatch.reports) {
    const auto found = memory.gateways.find(report.session);
    if (found != memory.gateways.end()) {
      answerOwed(aContext, found->second);
      recallForWaiting(aContext, report.session);
      memory.reports.due.try_emplace(report.session, false);
    }
    queueWaiting(aContext, report);
  }
  proposeReports(aContext);
}

/// The reports that are due, beginning after the session that came first in the last batch: no session is always the
/// last one to be given what is left of a plan.
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
    auto report = changes(aContext, session, *gateway);
    if (!report.plans.empty()) {
      batch.reports.push_back(std::move(report));
    } else if (waits) {
      for (const auto& from : std::exchange(gateway->owed, {})) {
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
answerGateway(Context& aContext, const Address& aTo, const GatewayPoll& aPoll)
{
  auto answer = shortAnswer(aContext, aPoll);
  const auto* session = findSession(aContext, aPoll);
  answer.superseded = session == nullptr;
  addRouting(answer, aContext, aPoll, aTo);
  addUpstreams(answer, aContext, aPoll, aTo);
  if (session != nullptr) {
    answer.plans = planAllowances(aContext, aPoll.session, *session);
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
    if (known(aContext, session, aContext.options.gateways.lost)) {
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
  if (overtaken(aContext, *poll)) {
    return true;
  }
  const auto* session = findSession(aContext, *poll);
  if (session == nullptr) {
    aContext.memory.nextRead.gatewayPolls.push_back({ aFrom, *poll });
    return true;
  }
  remember(aContext, aFrom, *poll, *session);
  auto& gateway = aContext.memory.gateways.at(poll->session);
  // A committed entry proves the leadership as a confirmed read does, and its answer can name what was issued.
  if (!changes(aContext, poll->session, gateway).plans.empty()) {
    aContext.memory.reports.due[poll->session] = true;
    proposeReports(aContext);
  } else {
    gateway.owed.erase(aFrom);
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
  if (reads && isDue(aContext, memory.upstreamsAsked, aContext.options.gateways.readPeriod)) {
    aContext.actions.emplace_back(ReadUpstreams{});
  }
  proposeReports(aContext);
  for (auto& [session, gateway] : memory.gateways) {
    if (!known(aContext, session, aContext.options.gateways.lost) && memory.sums.upstreamsBySession.contains(session)) {
      countUpstreams(memory.sums, session, {});
      memory.sums.upstreamsBySession.erase(session);
    }
  }
  std::erase_if(memory.gateways, [&](const auto& aItem) {
    const bool ended = !aContext.state.allowances.sessions.contains(aItem.first);
    if (ended) {
      dropSession(memory.sums, aItem.first);
      std::ranges::for_each(memory.waitingFor, [&](auto& aPlan) { aPlan.second.erase(aItem.first); });
    }
    return ended;
  });
}

void
beginGateways(Context& aContext)
{
  countAll(aContext);
}

} // namespace rhubarbarch::controller
