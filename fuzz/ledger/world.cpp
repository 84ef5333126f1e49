#include "world.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace rhubarbarch::fuzz {

namespace {

constexpr std::size_t kRouters = 2;
constexpr std::size_t kAgents = 2;
constexpr Tokens kLargestRequest = 60;
const PlanId kPlan = "gold";

template<typename Key, typename Value>
std::optional<Key>
pick(const std::map<Key, Value>& aItems, std::uint32_t aWhich)
{
  if (aItems.empty()) {
    return std::nullopt;
  }
  return std::next(aItems.begin(), static_cast<std::ptrdiff_t>(aWhich % aItems.size()))->first;
}

void
require(bool aHolds, const std::string& aText)
{
  if (!aHolds) {
    throw std::logic_error(aText);
  }
}

} // namespace

World::World(Tokens aBudget)
  : mBudget(aBudget)
{
  mLog.setBudget(kPlan, aBudget);
  for (std::size_t i = 0; i < kAgents; ++i) {
    mAgents.emplace_back();
    mAgents.back().instance = "a" + std::to_string(i);
    openAgent(mAgents.back());
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    mRouters.emplace_back();
    mRouters.back().instance = "r" + std::to_string(i);
    openRouter(mRouters.back());
  }
}

void
World::step(std::uint32_t aChoice, std::uint32_t aFirst, std::uint32_t aSecond, std::uint32_t aThird)
{
  // Steps that stand more than once are taken more often.
  static constexpr std::array kHandlers = { &World::issue,           &World::issue,           &World::dispatch,
                                            &World::dispatch,        &World::dispatch,        &World::deliverDispatch,
                                            &World::deliverDispatch, &World::deliverDispatch, &World::finishRun,
                                            &World::finishRun,       &World::chargeByRouter,  &World::chargeByRouter,
                                            &World::deliverMessage,  &World::deliverMessage,  &World::deliverMessage,
                                            &World::deliverMessage,  &World::giveBack,        &World::closeGrant,
                                            &World::fenceRouter,     &World::restartRouter,   &World::reportFences,
                                            &World::reportFences,    &World::restartAgent,    &World::drainAgent,
                                            &World::removeAgent,     &World::returnAgent,     &World::poll,
                                            &World::topUp,           &World::restoreSnapshot };
  (this->*kHandlers.at(aChoice % kHandlers.size()))(aFirst, aSecond, aThird);
}

void
World::openRouter(RouterModel& aRouter)
{
  const auto instance = aRouter.instance;
  const auto boot = aRouter.boot;
  aRouter = RouterModel{};
  aRouter.instance = instance;
  aRouter.boot = boot;
  aRouter.session = mLog.router(instance, boot);
  aRouter.directory = mLog.state.sessions.directoryRevision;
}

void
World::openAgent(AgentModel& aAgent)
{
  const auto outcome = mLog.open(aAgent.instance, aAgent.boot, Role::kAgent);
  aAgent.session = outcome.session;
  aAgent.registered = outcome.readIndex;
  aAgent.liveAtRegistration = { outcome.liveRouters.begin(), outcome.liveRouters.end() };
  aAgent.fenced.clear();
  aAgent.runs.clear();
  aAgent.drained = false;
}

// The rule of docs/design.md 7.3.
bool
World::accepts(const AgentModel& aAgent, SessionId aRouter) const
{
  return !aAgent.drained && !aAgent.fenced.contains(aRouter) &&
         (toNumber(aRouter) > toNumber(aAgent.registered) || aAgent.liveAtRegistration.contains(aRouter));
}

Tokens
World::unreserved(const RouterModel& aRouter, GrantId aGrant) const
{
  auto tokens = aRouter.issued.at(aGrant) - aRouter.returned.at(aGrant);
  for (const auto& [request, reservation] : aRouter.reservations) {
    tokens -= reservation.grant == aGrant && !reservation.charged ? reservation.tokens : 0;
  }
  const auto charges = aRouter.charges.find(aGrant);
  if (charges != aRouter.charges.end()) {
    for (const auto& [request, charged] : charges->second) {
      tokens -= charged;
    }
  }
  return tokens;
}

void
World::issue(std::uint32_t aRouter, std::uint32_t aTokens, std::uint32_t aNumber)
{
  auto& router = mRouters[aRouter % kRouters];
  const auto tokens = static_cast<Tokens>(aTokens % 300 + 1);
  const auto outcome = mLog.apply<state::IssueOutcome>(
    state::IssueGrant{ router.session, aNumber % 5, kPlan, tokens, 1, router.directory });
  // A grant that the router has asked to close may still be named in answers; it is never taken up again.
  if (outcome.issued && !router.closed.contains(outcome.grant.grant)) {
    router.issued[outcome.grant.grant] = outcome.grant.issued;
    router.returned.try_emplace(outcome.grant.grant, 0);
  }
}

void
World::dispatch(std::uint32_t aRouter, std::uint32_t aAgent, std::uint32_t aTokens)
{
  auto& router = mRouters[aRouter % kRouters];
  const auto grant = pick(router.issued, aTokens / 7);
  const auto which = aAgent % kAgents;
  const auto tokens = static_cast<Tokens>(aTokens % kLargestRequest + 1);
  // A router that holds a directory without a removed agent sends it nothing.
  const bool known = state::isLiveAgent(mLog.state.sessions, mAgents[which].session) ||
                     toNumber(router.directory) < toNumber(mAgents[which].removedAt);
  if (!known || !grant || unreserved(router, *grant) < tokens) {
    return;
  }
  const auto request = router.instance + "-" + std::to_string(router.boot) + "-" + std::to_string(++mRequests);
  router.reservations[request] = { *grant, tokens, mAgents[which].session, false };
  mDispatches.push_back({ { request, *grant, router.session, tokens, std::nullopt }, which, mAgents[which].boot });
}

void
World::deliverDispatch(std::uint32_t aWhich, std::uint32_t aRepeat, std::uint32_t /*aUnused*/)
{
  if (mDispatches.empty()) {
    return;
  }
  const auto at = mDispatches.begin() + static_cast<std::ptrdiff_t>(aWhich % mDispatches.size());
  const DispatchInFlight sent{ at->run, at->agent, at->boot };
  if (aRepeat % 4 != 0) {
    mDispatches.erase(at);
  }
  auto& agent = mAgents[sent.agent];
  const bool known = std::ranges::any_of(agent.runs, [&](const Run& aRun) { return aRun.request == sent.run.request; });
  if (agent.boot == sent.boot && !known && accepts(agent, sent.run.router)) {
    agent.runs.push_back(sent.run);
  }
}

void
World::finishRun(std::uint32_t aAgent, std::uint32_t aRun, std::uint32_t aTokens)
{
  auto& agent = mAgents[aAgent % kAgents];
  if (agent.runs.empty()) {
    return;
  }
  auto& run = agent.runs[aRun % agent.runs.size()];
  if (!run.spent) {
    run.spent = static_cast<Tokens>(aTokens) % (run.reserved + 1);
    mSpent[run.request] = *run.spent;
    mBillable[run.request] = std::max(mBillable[run.request], *run.spent);
  }
  mMessages.emplace_back(state::ChargeGrant{ run.grant, { { run.request, *run.spent } } });
}

void
World::chargeByRouter(std::uint32_t aRouter, std::uint32_t aWhich, std::uint32_t /*aUnused*/)
{
  auto& router = mRouters[aRouter % kRouters];
  settleAtLostAgents(router);
  const auto request = pick(router.reservations, aWhich);
  if (!request || !mSpent.contains(*request)) {
    return;
  }
  auto& reservation = router.reservations.at(*request);
  if (!reservation.charged) {
    reservation.charged = true;
    router.charges[reservation.grant][*request] = mSpent.at(*request);
  }
  mMessages.emplace_back(
    state::ChargeGrant{ reservation.grant, { { *request, router.charges[reservation.grant][*request] } } });
}

// A live router that learns of an agent's loss bills what it had reserved there.
void
World::settleAtLostAgents(RouterModel& aRouter)
{
  for (auto& [request, reservation] : aRouter.reservations) {
    if (!reservation.charged && !state::isLiveAgent(mLog.state.sessions, reservation.agent)) {
      reservation.charged = true;
      aRouter.charges[reservation.grant][request] = reservation.tokens;
      mBillable[request] = reservation.tokens;
      mLog.charge(reservation.grant, request, reservation.tokens);
    }
  }
}

void
World::deliverMessage(std::uint32_t aWhich, std::uint32_t aRepeat, std::uint32_t /*aUnused*/)
{
  if (mMessages.empty()) {
    return;
  }
  const auto at = mMessages.begin() + static_cast<std::ptrdiff_t>(aWhich % mMessages.size());
  mLog.run(*at);
  if (aRepeat % 3 != 0) {
    mMessages.erase(at);
  }
}

void
World::giveBack(std::uint32_t aRouter, std::uint32_t aGrant, std::uint32_t aTokens)
{
  auto& router = mRouters[aRouter % kRouters];
  const auto grant = pick(router.issued, aGrant);
  if (!grant) {
    return;
  }
  const auto idle = unreserved(router, *grant);
  router.returned[*grant] += idle > 0 ? static_cast<Tokens>(aTokens) % (idle + 1) : 0;
  mMessages.emplace_back(state::ReturnGrant{ *grant, router.returned[*grant] });
}

void
World::closeGrant(std::uint32_t aRouter, std::uint32_t aGrant, std::uint32_t /*aUnused*/)
{
  auto& router = mRouters[aRouter % kRouters];
  const auto grant = pick(router.issued, aGrant);
  if (!grant) {
    return;
  }
  const auto* stored = state::findGrant(std::as_const(mLog.state.ledger), *grant);
  if (stored == nullptr) {
    return;
  }
  const bool open = std::ranges::any_of(router.reservations, [&](const auto& aItem) {
    return aItem.second.grant == *grant && (!aItem.second.charged || !stored->charges.contains(aItem.first));
  });
  if (open) {
    return;
  }
  mMessages.emplace_back(state::SettleGrant{ *grant });
  router.closed.insert(*grant);
  router.issued.erase(*grant);
  router.returned.erase(*grant);
}

void
World::fenceRouter(std::uint32_t aRouter, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  // The router does not know: it is cut off or paused, and goes on sending.
  mLog.run(state::FenceRouter{ mRouters[aRouter % kRouters].session });
}

void
World::restartRouter(std::uint32_t aRouter, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& router = mRouters[aRouter % kRouters];
  ++router.boot;
  openRouter(router);
}

void
World::reportFences(std::uint32_t aAgent, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& agent = mAgents[aAgent % kAgents];
  for (const auto& [id, router] : mLog.state.sessions.routers) {
    if (!router.fenced || !router.agents.contains(agent.session)) {
      continue;
    }
    agent.fenced.insert(id);
    std::map<GrantId, GrantReport> reports;
    for (const auto& run : agent.runs) {
      if (run.router == id) {
        auto& report = reports[run.grant];
        report.grant = run.grant;
        report.openReserved += run.spent ? 0 : run.reserved;
        if (run.spent) {
          report.charges.push_back({ run.request, *run.spent });
        }
      }
    }
    SessionFenced message{ id, agent.session, {} };
    for (const auto& [grant, report] : reports) {
      message.grants.push_back(report);
    }
    mMessages.emplace_back(state::ReportFence{ message });
  }
}

void
World::restartAgent(std::uint32_t aAgent, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& agent = mAgents[aAgent % kAgents];
  for (const auto& run : agent.runs) {
    mSpent.try_emplace(run.request, run.reserved);
  }
  ++agent.boot;
  openAgent(agent);
}

// The agent does not know: it is out of reach of the controllers, and goes on running.
void
World::removeAgent(std::uint32_t aAgent, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& agent = mAgents[aAgent % kAgents];
  if (state::isLiveAgent(mLog.state.sessions, agent.session)) {
    mLog.run(state::RemoveAgent{ agent.session });
    agent.removedAt = mLog.index;
  }
}

// A removed agent registers again in the same process, with its runs.
void
World::returnAgent(std::uint32_t aAgent, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& agent = mAgents[aAgent % kAgents];
  if (state::isLiveAgent(mLog.state.sessions, agent.session)) {
    return;
  }
  const auto runs = agent.runs;
  const auto fenced = agent.fenced;
  const bool drained = agent.drained;
  openAgent(agent);
  agent.runs = runs;
  agent.fenced = fenced;
  agent.drained = drained;
}

void
World::drainAgent(std::uint32_t aAgent, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& agent = mAgents[aAgent % kAgents];
  const bool idle = std::ranges::all_of(agent.runs, [](const Run& aRun) { return aRun.spent.has_value(); });
  if (!idle) {
    return;
  }
  agent.drained = true;
  for (const auto& run : agent.runs) {
    mLog.charge(run.grant, run.request, run.spent.value_or(0));
  }
  mLog.run(state::MarkDrained{ agent.session });
}

// The router takes the newest directory, settles its runs at agents that are gone and proves it.
void
World::poll(std::uint32_t aRouter, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  auto& router = mRouters[aRouter % kRouters];
  if (!state::isLiveRouter(mLog.state.sessions, router.session)) {
    return;
  }
  router.directory = mLog.state.sessions.directoryRevision;
  settleAtLostAgents(router);
  bool proved = true;
  for (const auto& [request, reservation] : router.reservations) {
    const auto* grant = state::findGrant(std::as_const(mLog.state.ledger), reservation.grant);
    const bool gone = !state::isLiveAgent(mLog.state.sessions, reservation.agent);
    proved = proved && (!gone || grant == nullptr || grant->charges.contains(request));
  }
  if (proved) {
    mLog.run(state::MarkSettled{ router.session, router.directory });
  }
}

void
World::topUp(std::uint32_t aTokens, std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/)
{
  mBudget += static_cast<Tokens>(aTokens % 100);
  mLog.setBudget(kPlan, mBudget);
}

void
World::restoreSnapshot(std::uint32_t /*aUnused*/, std::uint32_t /*aUnused2*/, std::uint32_t /*aUnused3*/)
{
  auto restored = state::decode(state::encode(mLog.state));
  require(restored.has_value(), "the snapshot cannot be read");
  mLog.state = std::move(restored).value();
}

Tokens
World::possiblySpent() const
{
  Tokens total = 0;
  for (const auto& [request, tokens] : mSpent) {
    total += tokens;
  }
  std::set<RequestId> counted;
  for (const auto& agent : mAgents) {
    for (const auto& run : agent.runs) {
      total += mSpent.contains(run.request) ? 0 : run.reserved;
      counted.insert(run.request);
    }
  }
  for (const auto& sent : mDispatches) {
    const auto& agent = mAgents[sent.agent];
    const bool mayRun = agent.boot == sent.boot && accepts(agent, sent.run.router);
    if (mayRun && !mSpent.contains(sent.run.request) && counted.insert(sent.run.request).second) {
      total += sent.run.reserved;
    }
  }
  return total;
}

void
World::checkSums(const state::Account& aAccount) const
{
  Tokens granted = 0;
  Tokens charged = 0;
  std::set<RequestId> billed;
  for (const auto& [id, grant] : mLog.state.ledger.grants) {
    granted += state::held(grant);
    charged += grant.charged;
    require(grant.charged <= state::held(grant), "charges pass what their grant holds");
    for (const auto& [request, tokens] : grant.charges) {
      require(billed.insert(request).second, "request " + request + " is billed under two grants");
      require(mBillable.contains(request) && tokens <= mBillable.at(request),
              "request " + request + " is billed too much");
    }
  }
  require(granted == aAccount.granted, "granted does not add up");
  require(charged == aAccount.chargedOpen, "charges do not add up");
}

void
World::check() const
{
  const auto& account = mLog.account(kPlan);
  require(state::committed(account) <= account.budget, "more is committed than the budget");
  require(account.inDoubt >= 0 && account.settled >= 0, "a balance is negative");
  checkSums(account);
  Tokens billable = 0;
  for (const auto& [request, tokens] : mBillable) {
    billable += tokens;
  }
  require(account.settled + account.chargedOpen <= billable, "a request is billed twice");
  // What is free must not be needed by anything that ran, runs, or may still be started.
  require(possiblySpent() + state::available(account) <= account.budget, "tokens became free that may be spent");
}

} // namespace rhubarbarch::fuzz
