// False refusals while a third of the routers is cut off from the controllers, by the part of a budget that is placed
// in advance. The reference is one central ledger with the same reservations. Real state machines, virtual clock.

#include "fleet_setup.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <vector>

DEFINE_uint64(seed, 20261204, "seed of the run");
DEFINE_int32(cut_seconds, 120, "length of the partition");

using namespace rhubarbarch;
using namespace rhubarbarch::testing;

namespace {

constexpr std::size_t kRouters = 6;
constexpr std::size_t kCutRouters = 2;
constexpr Tokens kCap = 200;
constexpr Tokens kGenerated = 80;
constexpr Duration kInterval{ 200 }; ///< between requests, over all routers

struct Tracked
{
  router::CallerId caller{};
  Tokens reserved = 0;
  Tokens real = 0;
  bool acceptedByReference = false;
  bool settledInReference = false;
};

/// One ledger for everybody: reserves the worst case, then keeps the real spend.
class CentralLedger
{
public:
  explicit CentralLedger(Tokens aBudget)
    : mBudget(aBudget)
  {
  }

  bool reserve(Tokens aTokens)
  {
    if (mSpent + mReserved + aTokens > mBudget) {
      return false;
    }
    mReserved += aTokens;
    return true;
  }

  void settle(Tokens aReserved, Tokens aReal)
  {
    mReserved -= aReserved;
    mSpent += aReal;
  }

private:
  Tokens mBudget;
  Tokens mSpent = 0;
  Tokens mReserved = 0;
};

struct Figures
{
  int requests = 0;
  int refused = 0;
  int refusedFalsely = 0;
  Tokens spend = 0;
};

bool
isRefusal(const CallerView& aView)
{
  return aView.status == 402 || aView.status == 429 || aView.status == 503;
}

/// Runs the workload: demand shifts to the other routers half way through the partition, where a top-up also arrives.
class Trial
{
public:
  Trial(std::int32_t aAdvancePercent, std::int32_t aBudgetPercent)
    : mFleet(fleetOptions(aAdvancePercent))
    , mNeed(need())
    , mBudget(mNeed * aBudgetPercent / 100)
    , mReference(mBudget)
  {
  }

  Figures run()
  {
    const auto topUp = mBudget / 10;
    applyLists(mFleet, { { "gold", mBudget - topUp } });
    waitReady(mFleet);
    ask(Duration{ 20'000 }, { 1, 1, 1, 1, 1, 1 });
    for (std::size_t index = 1; index <= kCutRouters; ++index) {
      mFleet.cut("r" + std::to_string(index), [](const InstanceId& aOther) { return aOther.starts_with('c'); });
    }
    const Duration half{ FLAGS_cut_seconds * 500 };
    ask(half, { 1, 1, 1, 1, 1, 1 });
    applyLists(mFleet, { { "gold", mBudget } });
    ask(half, { 1, 1, 2, 2, 1, 1 });
    mFleet.heal();
    ask(Duration{ 10'000 }, { 1, 1, 1, 1, 1, 1 });
    mFleet.advance(Duration{ 10'000 });
    return count();
  }

  Tokens budget() const { return mBudget; }

private:
  static FleetOptions fleetOptions(std::int32_t aAdvancePercent)
  {
    FleetOptions options;
    options.seed = FLAGS_seed;
    options.routers = kRouters;
    options.engines = 3;
    options.services = 0;
    options.tuneController = [aAdvancePercent](controller::ControllerOptions& aOptions) {
      aOptions.grants.advancePercent = aAdvancePercent;
    };
    return options;
  }

  static Tokens need()
  {
    const auto seconds = FLAGS_cut_seconds + 30;
    const auto requests = Duration{ seconds * 1000 } / kInterval;
    return requests * (kGenerated + static_cast<Tokens>(chatBody(kCap, kGenerated).size()) / 4);
  }

  void ask(Duration aTime, const std::vector<int>& aWeights)
  {
    const auto until = mFleet.now + aTime;
    std::discrete_distribution<int> pick(aWeights.begin(), aWeights.end());
    while (mFleet.now < until) {
      const auto body = chatBody(kCap, kGenerated);
      Tracked tracked;
      tracked.reserved = kCap + static_cast<Tokens>(body.size());
      tracked.real = kGenerated + static_cast<Tokens>(body.size()) / 4;
      tracked.acceptedByReference = mReference.reserve(tracked.reserved);
      tracked.caller = mFleet.ask("r" + std::to_string(pick(mFleet.random) + 1), "gold-key", kChatPath, body);
      mTracked.push_back(tracked);
      mFleet.advance(kInterval);
      settleReference();
    }
  }

  /// The reference serves what it accepts in the time that a run takes.
  void settleReference()
  {
    constexpr std::size_t kRunIntervals = 3;
    if (mTracked.size() > kRunIntervals) {
      auto& item = mTracked[mTracked.size() - 1 - kRunIntervals];
      if (item.acceptedByReference && !item.settledInReference) {
        mReference.settle(item.reserved, item.real);
        item.settledInReference = true;
      }
    }
  }

  Figures count()
  {
    Figures figures;
    figures.requests = static_cast<int>(mTracked.size());
    for (const auto& item : mTracked) {
      const bool refused = isRefusal(mFleet.callers.at(item.caller));
      figures.refused += refused ? 1 : 0;
      figures.refusedFalsely += refused && item.acceptedByReference ? 1 : 0;
    }
    figures.spend = realSpend(mFleet);
    return figures;
  }

  Fleet mFleet;
  Tokens mNeed;
  Tokens mBudget;
  CentralLedger mReference;
  std::vector<Tracked> mTracked;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::printf("seed %llu, %zu routers, %zu cut off for %d s, a top-up of 10%% during the cut\n",
              static_cast<unsigned long long>(FLAGS_seed),
              kRouters,
              kCutRouters,
              FLAGS_cut_seconds);
  for (const int budgetPercent : { 120, 60 }) {
    for (const int percent : { 5, 60, 90, 100 }) {
      Trial trial(percent, budgetPercent);
      const auto figures = trial.run();
      std::printf("budget %3d%% of need, %3d%% in advance: %4d requests, %4d refused, %4d of them falsely (%4.1f%%), "
                  "spend %lld of %lld\n",
                  budgetPercent,
                  percent,
                  figures.requests,
                  figures.refused,
                  figures.refusedFalsely,
                  100.0 * figures.refusedFalsely / figures.requests,
                  static_cast<long long>(figures.spend),
                  static_cast<long long>(trial.budget()));
    }
  }
  return 0;
}
