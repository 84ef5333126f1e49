#include "world.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbarch::fuzz {

using namespace rhubarbarch::testing;

namespace {

const std::vector<TestPlan> kPlans = { { "gold", 60'000 }, { "tin", 1500 } };
const std::vector<InstanceId> kRouters = { "r1", "r2" };

/// Until a controller that lost its disk counts again, in virtual time without any fault between controllers.
constexpr Duration kRepairTime{ 15'000 };

const PlanId&
planOf(unsigned aNumber)
{
  return kPlans[aNumber % kPlans.size()].plan;
}

bool
isController(const InstanceId& aName)
{
  return aName.starts_with("c");
}

} // namespace

World::World(std::uint64_t aSeed)
  : mFleet([aSeed] {
    FleetOptions options;
    options.seed = aSeed;
    options.tuneController = [](controller::ControllerOptions& aOptions) { aOptions.snapshotEntries = 64; };
    return options;
  }())
{
  constexpr std::size_t kLogLines = 60;
  mFleet.logLinesKept = kLogLines;
  for (const auto& [name, node] : mFleet.nodes) {
    mNames.push_back(name);
    if (node.controller) {
      mControllers.push_back(name);
    }
  }
  if (!applyLists(mFleet, kPlans) || !waitReady(mFleet)) {
    throw Violation("the fleet did not start");
  }
  mCalmSince = mFleet.now;
}

void
World::perform(const Step& aStep)
{
  run(aStep);
  watchControllers();
  mFleet.advance(Duration{ 10 + 10 * (aStep.b % 8) });
  watchControllers();
  mOracle.check(mFleet);
}

void
World::run(const Step& aStep)
{
  switch (aStep.kind) {
    case Kind::kAdvance:
      mFleet.advance(Duration{ 20 * static_cast<int>(aStep.a) + (aStep.b % 16 == 0 ? 10'000 : 0) });
      return;
    case Kind::kModelCall:
      modelCall(aStep);
      return;
    case Kind::kOrder:
      order(aStep);
      return;
    case Kind::kRetry:
      retry(aStep);
      return;
    case Kind::kOtherBody:
      otherBody(aStep);
      return;
    case Kind::kTopUp:
      topUp(aStep);
      return;
    case Kind::kTogglePlan:
      togglePlan(aStep);
      return;
    case Kind::kRace:
      race(aStep);
      return;
    case Kind::kResend:
      resend(aStep);
      return;
    default:
      runFault(aStep);
  }
}

void
World::runFault(const Step& aStep)
{
  const auto& controller = mControllers[aStep.a % mControllers.size()];
  const auto& router = kRouters[aStep.a % kRouters.size()];
  switch (aStep.kind) {
    case Kind::kCutRouter:
      mFleet.cut(router, isController);
      return;
    case Kind::kCutController:
      mCuts = true;
      mFleet.isolate(controller);
      return;
    case Kind::kCutAgent:
      mFleet.cut(router, [&](const InstanceId& aName) {
        return aName == (aStep.b % 3 == 0 ? "s1" : aStep.b % 3 == 1 ? "e1" : "e2");
      });
      return;
    case Kind::kHeal:
      mCuts = false;
      mFleet.heal();
      return;
    case Kind::kLoss:
      mFleet.options.dropPercent = static_cast<int>(aStep.a % 6);
      return;
    case Kind::kDrain:
      drainAll();
      return;
    case Kind::kLoseDisk:
      loseDisk(controller);
      return;
    case Kind::kShutDown:
      shutDown(router);
      return;
    case Kind::kLeave:
      leave(aStep);
      return;
    default:
      runNodeFault(aStep);
  }
}

void
World::runNodeFault(const Step& aStep)
{
  const auto& target = name(aStep.a);
  switch (aStep.kind) {
    case Kind::kKill:
      mFleet.kill(target);
      mOracle.forget(target);
      mStopping.erase(target);
      return;
    case Kind::kRestart:
      if (!mFleet.node(target).running) {
        mFleet.restart(target);
        mOracle.forget(target);
        mStopping.erase(target);
      }
      return;
    case Kind::kPause:
      mFleet.pause(target);
      return;
    case Kind::kResume:
      mFleet.resume(target);
      return;
    default:
      return;
  }
}

bool
World::up(const InstanceId& aName) const
{
  const auto& node = mFleet.nodes.at(aName);
  return node.running && !node.paused;
}

/// Notes since when the controllers have been free of faults.
void
World::watchControllers()
{
  const bool calm = !mCuts && std::ranges::all_of(mControllers, [this](const auto& aName) { return up(aName); });
  if (!calm) {
    mCalmSince = mFleet.now;
  }
}

void
World::ask(Ask aAsk, const InstanceId& aRouter)
{
  if (mFleet.node(aRouter).paused) {
    return; // a connection to a paused process is never answered
  }
  aAsk.router = aRouter;
  aAsk.checked = false;
  aAsk.caller = mFleet.ask(aRouter, aAsk.plan + "-key", aAsk.path, aAsk.body, aAsk.key);
  mOracle.asks.push_back(std::move(aAsk));
}

void
World::modelCall(const Step& aStep)
{
  Ask made;
  made.plan = planOf(aStep.a);
  made.path = kChatPath;
  made.tokens = 1 + aStep.b * (aStep.a % 5 == 0 ? 20 : 2);
  made.stream = aStep.a % 4 != 0;
  const auto text = "ask " + std::to_string(++mNumber);
  made.body = chatBody(made.tokens + aStep.a, made.tokens, made.stream, text);
  made.key = aStep.b % 2 == 0 ? text : "";
  ask(std::move(made), kRouters[(aStep.a / 2) % kRouters.size()]);
  if (aStep.b % 5 == 0 && !mOracle.asks.empty()) {
    mFleet.slowCallers.insert(mOracle.asks.back().caller);
  }
}

void
World::order(const Step& aStep)
{
  Ask made;
  made.plan = planOf(aStep.a);
  made.path = "/orders/new";
  made.key = "order " + std::to_string(++mNumber);
  made.body = made.key;
  mFleet.node("s1").upstream->serviceTicks = aStep.b % 7 == 0 ? 200 : 3;
  ask(std::move(made), kRouters[(aStep.a / 2) % kRouters.size()]);
}

void
World::retry(const Step& aStep)
{
  std::vector<std::size_t> keyed;
  for (std::size_t index = 0; index < mOracle.asks.size(); ++index) {
    if (!mOracle.asks[index].key.empty()) {
      keyed.push_back(index);
    }
  }
  if (keyed.empty()) {
    return;
  }
  // Mostly one of the last ones, as callers retry at once.
  const auto back = aStep.b % 4 == 0 ? aStep.a % keyed.size() : aStep.a % std::min<std::size_t>(keyed.size(), 3);
  ask(mOracle.asks[keyed[keyed.size() - 1 - back]], kRouters[aStep.b % kRouters.size()]);
}

void
World::otherBody(const Step& aStep)
{
  const auto found = std::ranges::find_if(mOracle.asks, [](const auto& aAsk) { return aAsk.path != kChatPath; });
  if (found == mOracle.asks.end()) {
    return;
  }
  auto changed = *found;
  changed.body = "other " + std::to_string(++mNumber);
  ask(std::move(changed), kRouters[aStep.b % kRouters.size()]);
}

/// The uses list in force with more budget for a plan, which is added when it is not listed.
controller::ApplyUses
World::usesWith(const PlanId& aPlan, Tokens aMore)
{
  const auto& state = mFleet.leaderState();
  const auto& lists = state.lists.lists;
  controller::ApplyUses operation{ "uses " + std::to_string(++mNumber), lists.usesRevision, lists.uses, testRoutes() };
  const auto isPlan = [&](const UseEntry& aEntry) { return aEntry.plan == aPlan; };
  if (std::ranges::none_of(operation.uses, isPlan)) {
    operation.uses.push_back(useEntries({ { aPlan, 0 } }).front());
  }
  auto& entry = *std::ranges::find_if(operation.uses, isPlan);
  const auto* account = state::findAccount(state.ledger, aPlan);
  entry.budgetTokens = std::max(entry.budgetTokens, account == nullptr ? 0 : account->budget) + aMore;
  return operation;
}

void
World::submit(const controller::ApplyUses& aOperation, const InstanceId& aController)
{
  mOracle.changes.push_back({ aOperation, { mFleet.operate(aController, aOperation) } });
}

void
World::topUp(const Step& aStep)
{
  if (const auto leader = mFleet.leaderName(); !leader.empty()) {
    submit(usesWith(planOf(aStep.a), 100 + aStep.b * 10), leader);
  }
}

void
World::togglePlan(const Step& aStep)
{
  const auto leader = mFleet.leaderName();
  if (leader.empty()) {
    return;
  }
  const auto& lists = mFleet.leaderState().lists.lists;
  const auto& plan = planOf(aStep.a);
  if (aStep.b % 2 == 0) {
    auto operation = usesWith(plan, 0);
    if (operation.uses.size() == lists.uses.size()) {
      std::erase_if(operation.uses, [&](const auto& aEntry) { return aEntry.plan == plan; });
    }
    submit(operation, leader);
    return;
  }
  controller::ApplyPlans operation{ "plans " + std::to_string(++mNumber), lists.plansRevision, lists.plans };
  if (std::erase_if(operation.plans, [&](const auto& aEntry) { return aEntry.plan == plan; }) == 0) {
    operation.plans.push_back(planEntries({ { plan, 0 } }).front());
  }
  mOracle.changes.push_back({ operation, { mFleet.operate(leader, operation) } });
}

void
World::race(const Step& aStep)
{
  if (mFleet.leaderName().empty()) {
    return;
  }
  for (const auto& controller : mControllers) {
    for (Tokens more = 1; up(controller) && more <= 2; ++more) {
      submit(usesWith(planOf(aStep.a), 10 * more + static_cast<Tokens>(aStep.b)), controller);
    }
  }
}

void
World::resend(const Step& aStep)
{
  if (mOracle.changes.empty()) {
    return;
  }
  const auto back = aStep.a % std::min<std::size_t>(mOracle.changes.size(), 10);
  auto& change = mOracle.changes[mOracle.changes.size() - 1 - back];
  const auto leader = mFleet.leaderName();
  const auto& target = leader.empty() ? mControllers.front() : leader;
  if (up(target)) {
    std::visit([&](const auto& aItem) { change.attempts.push_back(mFleet.operate(target, aItem)); }, change.operation);
  }
}

/// Loses a disk unless the last loss may not be repaired yet.
void
World::loseDisk(const InstanceId& aName)
{
  if (mDiskLost && mFleet.now - mCalmSince < kRepairTime) {
    return;
  }
  mDiskLost = true;
  mFleet.loseDisk(aName);
  mOracle.forget(aName);
}

void
World::shutDown(const InstanceId& aRouter)
{
  if (up(aRouter)) {
    mFleet.shutDownRouter(aRouter);
    mOracle.forget(aRouter);
    mStopping.insert(aRouter);
  }
}

void
World::report(const std::vector<InstanceId>& aLeaving)
{
  std::vector<InstanceId> live;
  std::ranges::copy_if(mNames, std::back_inserter(live), [&](const auto& aName) {
    return std::ranges::find(aLeaving, aName) == aLeaving.end();
  });
  for (const auto& controller : mControllers) {
    mFleet.reportPlatform(controller, live, aLeaving);
  }
}

void
World::leave(const Step& aStep)
{
  static const std::vector<std::vector<InstanceId>> kChoices = { { "e1" }, {}, { "e2" }, { "s1" } };
  report(kChoices[aStep.a % kChoices.size()]);
}

void
World::drainAll()
{
  for (const auto caller : mFleet.slowCallers) {
    mFleet.drain(caller);
  }
}

/// Waits for routers in a graceful shutdown to stop and starts them again.
void
World::finishShutdowns()
{
  // A chat request may take two minutes, the return of the grants half a minute.
  constexpr Duration kLongest{ 160'000 };
  const auto stopped = [this] {
    return std::ranges::none_of(mStopping, [this](const auto& aName) { return mFleet.node(aName).running; });
  };
  if (!mFleet.advanceUntil(stopped, kLongest)) {
    throw Violation("a graceful shutdown did not end" + describe());
  }
  for (const auto& name : mStopping) {
    mFleet.restart(name);
  }
}

void
World::finish()
{
  mFleet.heal();
  mFleet.options.dropPercent = 0;
  std::erase_if(mStopping, [this](const auto& aName) { return !mFleet.node(aName).running; });
  for (const auto& name : mNames) {
    mFleet.resume(name);
    mFleet.restart(name);
  }
  report({});
  drainAll();
  mFleet.slowCallers.clear();
  finishShutdowns();
  constexpr Duration kSettle{ 60'000 };
  mFleet.advance(kSettle);
  mOracle.checkEnd(mFleet);
  restoreLists();
  checkService();
}

void
World::restoreLists()
{
  std::vector<TestPlan> plans;
  plans.reserve(kPlans.size());
  for (const auto& plan : kPlans) {
    plans.push_back({ plan.plan, state::findAccount(mFleet.leaderState().ledger, plan.plan)->budget });
  }
  if (!applyLists(mFleet, plans)) {
    throw Violation("the lists cannot be changed at the end" + describe());
  }
  mFleet.advance(Duration{ 10'000 });
}

Tokens
World::unspent(const PlanId& aPlan) const
{
  const auto& account = *state::findAccount(mFleet.leaderState().ledger, aPlan);
  return account.budget - account.settled - account.inDoubt - account.chargedOpen;
}

/// A small request at each router must succeed while budget remains.
void
World::checkService()
{
  constexpr Tokens kEnough = 5000;
  for (const auto& router : kRouters) {
    if (unspent("gold") < kEnough) {
      return;
    }
    Ask made;
    made.plan = "gold";
    made.path = kChatPath;
    made.tokens = 7;
    made.stream = true;
    made.body = chatBody(20, made.tokens, made.stream, "ask " + std::to_string(++mNumber));
    ask(made, router);
    const auto& view = mFleet.callers.at(mOracle.asks.back().caller);
    mFleet.advanceUntil([&] { return view.finished(); }, Duration{ 10'000 });
    if (view.status != 200 || !view.ended) {
      throw Violation("no service at the end at " + router + ": status " + std::to_string(view.status) + " " +
                      view.body + describe());
    }
    mOracle.check(mFleet);
  }
}

std::string
World::describe() const
{
  std::string text = "; leader " + mFleet.leaderName();
  if (!mFleet.leaderName().empty()) {
    for (const auto& [plan, account] : mFleet.leaderState().ledger.accounts) {
      text += "; " + plan + " budget " + std::to_string(account.budget) + " settled " +
              std::to_string(account.settled) + " in doubt " + std::to_string(account.inDoubt) + " granted " +
              std::to_string(account.granted);
    }
  }
  for (const auto& line : mFleet.logLines) {
    text += "\n  " + line.event + " " + line.fields.dump();
  }
  return text;
}

} // namespace rhubarbarch::fuzz
