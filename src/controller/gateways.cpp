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
unissued(const Context& aContext, const PlanId& aPlan)
{
  return state::unissued(aContext.state.allowances, aPlan, state::prepaid(aContext.state.routing.table, aPlan));
}

/// What ended sessions used, by plan: `[spent, in doubt]`.
nlohmann::json
closedUse(const Context& aContext)
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
              log(aDone,
                  "gateway_opened",
                  { { "gateway", poll.instance }, { "session", toNumber(session) }, { "closed", closedUse(aDone) } });
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

/// What changes in the replicated budgets because of a poll: tokens given back, and tokens to issue.
state::ReportAllowances
changes(const Context& aContext, const state::GatewaySession& aSession, const GatewayPoll& aPoll)
{
  state::ReportAllowances report;
  report.session = aPoll.session;
  for (const auto& use : aPoll.plans) {
    const auto allowance = allowanceOf(aSession, use.plan);
    const bool returns = use.returned > allowance.returned;
    const bool wants = use.target > state::held(allowance) && unissued(aContext, use.plan) > 0;
    if (returns || wants) {
      report.plans.push_back({ use.plan, use.returned, use.spent, use.target });
    }
  }
  return report;
}

bool
waitsFor(const GatewayPoll& aPoll, const PlanId& aPlan)
{
  return std::ranges::any_of(aPoll.plans, [&](const PlanUse& aUse) { return aUse.plan == aPlan && aUse.waiting > 0; });
}

/// Whether a gateway other than `aSession` has requests that wait for tokens of a plan.
bool
othersWait(const Context& aContext, SessionId aSession, const PlanId& aPlan)
{
  return std::ranges::any_of(aContext.memory.gateways, [&](const auto& aItem) {
    const auto& [session, gateway] = aItem;
    return session != aSession && known(aContext, session, aContext.options.gateways.demandKept) &&
           waitsFor(gateway.poll, aPlan);
  });
}

/// Spent and reserved by one session: what it reported to this leader, or what the log holds of one not heard yet.
Tokens
used(const Context& aContext, SessionId aSession, const state::GatewaySession& aState, const PlanId& aPlan)
{
  const auto replicated = allowanceOf(aState, aPlan).spent;
  const auto found = aContext.memory.gateways.find(aSession);
  if (found == aContext.memory.gateways.end()) {
    return replicated;
  }
  const auto& plans = found->second.poll.plans;
  const auto use = std::ranges::find(plans, aPlan, &PlanUse::plan);
  return use == plans.end() ? replicated : std::max(replicated, use->spent + use->reserved);
}

/// Part of the budget that is neither spent nor reserved as far as this leader knows; what sessions hold unused counts
/// as left, since it can be recalled.
Tokens
remaining(const Context& aContext, const PlanAccess& aPlan)
{
  const auto& allowances = aContext.state.allowances;
  const auto closed = allowances.closed.find(aPlan.plan);
  auto left = aPlan.prepaid;
  left -= closed == allowances.closed.end() ? 0 : closed->second.spent + closed->second.inDoubt;
  for (const auto& [id, session] : allowances.sessions) {
    left -= used(aContext, id, session, aPlan.plan);
  }
  return left;
}

std::vector<PlanAllowance>
planAllowances(const Context& aContext, SessionId aId, const state::GatewaySession& aSession)
{
  std::vector<PlanAllowance> plans;
  for (const auto& plan : aContext.state.routing.table.plans) {
    if (plan.prepaid < 0) {
      continue;
    }
    const auto free = unissued(aContext, plan.plan);
    const bool recall = free < 0 || (free == 0 && othersWait(aContext, aId, plan.plan));
    plans.push_back({ plan.plan, allowanceOf(aSession, plan.plan).issued, remaining(aContext, plan), recall });
  }
  return plans;
}

std::vector<UpstreamUse>
othersUse(const Context& aContext, SessionId aSession)
{
  std::map<std::string, UpstreamUse> sums;
  for (const auto& [session, gateway] : aContext.memory.gateways) {
    if (session == aSession || !known(aContext, session, aContext.options.gateways.lost)) {
      continue;
    }
    for (const auto& use : gateway.poll.upstreams) {
      auto& sum = sums[use.id];
      sum.id = use.id;
      sum.running += use.running;
      sum.prefillTokens += use.prefillTokens;
    }
  }
  std::vector<UpstreamUse> uses;
  std::ranges::transform(sums, std::back_inserter(uses), [](const auto& aItem) { return aItem.second; });
  return uses;
}

void
addRouting(GatewayState& aAnswer, const RoutingTable& aTable, const GatewayPoll& aPoll)
{
  aAnswer.routingVersion = aTable.version;
  if (aTable.version > aPoll.routingVersion) {
    aAnswer.hasRouting = true;
    aAnswer.routing = aTable;
  }
}

void
addUpstreams(GatewayState& aAnswer, const Context& aContext, const GatewayPoll& aPoll)
{
  const auto& platform = aContext.platform;
  if (!platform.upstreamsReadAt) {
    return;
  }
  aAnswer.upstreamsAgeMs = (aContext.now - *platform.upstreamsReadAt).count();
  aAnswer.upstreamsRevision = platform.upstreamsRevision;
  if (platform.upstreamsRevision != aPoll.upstreamsRevision) {
    aAnswer.hasUpstreams = true;
    aAnswer.upstreams = platform.upstreams;
  }
}

void
remember(Context& aContext, const Address& aFrom, const GatewayPoll& aPoll)
{
  auto& gateway = aContext.memory.gateways[aPoll.session];
  gateway.from = aFrom;
  gateway.lastSeen = aContext.now;
  gateway.poll = aPoll;
}

/// A poll that was overtaken by a later one, or repeated on the way, says nothing new.
bool
overtaken(const Context& aContext, const GatewayPoll& aPoll)
{
  const auto found = aContext.memory.gateways.find(aPoll.session);
  return found != aContext.memory.gateways.end() && aPoll.number <= found->second.poll.number;
}

/// Tells gateways at once that others wait for tokens of a plan: their next polls would come too late for requests
/// that wait for some hundred milliseconds.
void
recall(Context& aContext, SessionId aWaiting, const PlanId& aPlan)
{
  for (auto& [session, gateway] : aContext.memory.gateways) {
    const auto found = aContext.state.allowances.sessions.find(session);
    if (session == aWaiting || found == aContext.state.allowances.sessions.end() ||
        aContext.now - gateway.recalledAt < aContext.options.gateways.recallPause) {
      continue;
    }
    const auto idle = state::held(allowanceOf(found->second, aPlan)) - used(aContext, session, found->second, aPlan);
    if (idle > 0) {
      gateway.recalledAt = aContext.now;
      answerGateway(aContext, gateway.from, gateway.poll);
    }
  }
}

void
recallForWaiting(Context& aContext, const GatewayPoll& aPoll)
{
  for (const auto& use : aPoll.plans) {
    if (use.waiting > 0 && unissued(aContext, use.plan) <= 0) {
      recall(aContext, aPoll.session, use.plan);
    }
  }
}

/// Proposes what changes because of a gateway's last poll, if anything does.
/// @return false when nothing changes
bool
proposeChanges(Context& aContext, SessionId aSession);

/// Issues returned tokens to gateways whose requests wait for them, without waiting for their next polls.
void
serveWaiting(Context& aContext, const state::ReportAllowances& aReport)
{
  for (const auto& item : aContext.memory.gateways) {
    const auto session = item.first;
    const auto& poll = item.second.poll;
    const bool waits = std::ranges::any_of(
      aReport.plans, [&poll](const state::AllowanceReport& aPlan) { return waitsFor(poll, aPlan.plan); });
    if (session != aReport.session && waits && known(aContext, session, aContext.options.gateways.demandKept)) {
      proposeChanges(aContext, session);
    }
  }
}

/// Answers the last poll of a gateway whose report is applied; it may be a later one than that of the report.
void
reportApplied(Context& aContext, const state::ReportAllowances& aReport)
{
  const auto found = aContext.memory.gateways.find(aReport.session);
  if (found != aContext.memory.gateways.end()) {
    auto& gateway = found->second;
    gateway.reportProposed = false;
    answerGateway(aContext, gateway.from, gateway.poll);
    recallForWaiting(aContext, gateway.poll);
    proposeChanges(aContext, aReport.session);
  }
  serveWaiting(aContext, aReport);
}

bool
proposeChanges(Context& aContext, SessionId aSession)
{
  auto& gateway = aContext.memory.gateways.at(aSession);
  const auto* session = findSession(aContext, gateway.poll);
  if (session == nullptr) {
    return false;
  }
  auto report = changes(aContext, *session, gateway.poll);
  if (report.plans.empty()) {
    return false;
  }
  // While commits are slow each poll would propose the same again: one report of a session at a time, and what
  // changed meanwhile after it.
  if (!gateway.reportProposed) {
    const auto proposed = report;
    gateway.reportProposed =
      propose(aContext, std::move(report), [proposed](Context& aDone, const state::Outcome& /*aOutcome*/) {
        reportApplied(aDone, proposed);
      });
  }
  return true;
}

} // namespace

void
answerGateway(Context& aContext, const Address& aTo, const GatewayPoll& aPoll)
{
  GatewayState answer;
  answer.instance = aPoll.instance;
  answer.boot = aPoll.boot;
  answer.number = aPoll.number;
  answer.session = aPoll.session;
  const auto* session = findSession(aContext, aPoll);
  answer.superseded = session == nullptr;
  addRouting(answer, aContext.state.routing.table, aPoll);
  addUpstreams(answer, aContext, aPoll);
  if (session != nullptr) {
    answer.plans = planAllowances(aContext, aPoll.session, *session);
  }
  answer.othersUse = othersUse(aContext, aPoll.session);
  answer.controllers = aContext.proposer.members();
  answer.gateways = static_cast<std::uint32_t>(std::ranges::count_if(aContext.memory.gateways, [&](const auto& aItem) {
    return known(aContext, aItem.first, aContext.options.gateways.lost);
  }));
  send(aContext, aTo, std::move(answer));
}

void
announceRouting(Context& aContext)
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
  if (findSession(aContext, *poll) == nullptr) {
    aContext.memory.nextRead.gatewayPolls.push_back({ aFrom, *poll });
    return true;
  }
  remember(aContext, aFrom, *poll);
  // A committed entry proves the leadership as a confirmed read does, and its answer can name what was issued.
  if (!proposeChanges(aContext, poll->session)) {
    aContext.memory.nextRead.gatewayPolls.push_back({ aFrom, *poll });
    recallForWaiting(aContext, *poll);
  }
  return true;
}

void
tickGateways(Context& aContext)
{
  const bool reads = aContext.options.gateways.readUpstreams && !aContext.memory.gateways.empty();
  if (reads && isDue(aContext, aContext.memory.upstreamsAsked, aContext.options.gateways.readPeriod)) {
    aContext.actions.emplace_back(ReadUpstreams{});
  }
  std::erase_if(aContext.memory.gateways,
                [&](const auto& aItem) { return !aContext.state.allowances.sessions.contains(aItem.first); });
}

} // namespace rhubarbarch::controller
