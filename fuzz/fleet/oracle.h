#pragma once

#include "fleet_setup.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbarch::fuzz {

/// A request of a caller and the answer that it must get.
struct Ask
{
  router::CallerId caller{};
  InstanceId router;
  PlanId plan;
  std::string path;
  std::string body; ///< unique, but for retries of one key
  std::string key;
  Tokens tokens = 0;
  bool stream = false;
  bool checked = false; ///< its final answer was judged
};

/// A list change that an operator sent, once or several times.
struct Change
{
  std::variant<controller::ApplyPlans, controller::ApplyUses> operation;
  std::vector<controller::OperatorId> attempts;
};

/// Content of the lists by revision, as told by an accepted change or seen at a controller.
struct ListHistory
{
  std::map<Revision, std::vector<PlanEntry>> plans;
  std::map<Revision, std::vector<UseEntry>> uses;
};

/// What one life of a controller or router has shown; it may only grow.
struct ProcessSeen
{
  Revision plans{};
  Revision uses{};
  std::map<PlanId, Tokens> budgets;
};

/// Thrown when the fleet breaks a promise.
struct Violation : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Compares what callers and operators were told, and what the upstreams really did, with what must hold.
class Oracle
{
public:
  std::vector<Ask> asks;
  std::vector<Change> changes;

  /// A process starts again: a controller may show an older committed state than before, a router has no lists.
  void forget(const InstanceId& aName) { mSeen.erase(aName); }

  /// Checks that hold at any moment.
  void check(const testing::Fleet& aFleet);

  /// Checks that hold once all faults have ended and everything has settled.
  void checkEnd(const testing::Fleet& aFleet);

  /// Real spend at the upstreams by plan.
  std::map<PlanId, Tokens> spendByPlan(const testing::Fleet& aFleet) const;

private:
  void checkAnswers(const testing::Fleet& aFleet);
  void checkOrders(const testing::Fleet& aFleet) const;
  void checkLists(const testing::Fleet& aFleet);
  void checkReplies(const testing::Fleet& aFleet);
  void checkRaces(const testing::Fleet& aFleet) const;
  void checkController(const InstanceId& aName, const state::ReplicatedState& aState);
  void checkRouter(const InstanceId& aName, const router::RouterRole& aRouter);
  void checkLedger(const state::Ledger& aLedger);
  void checkSpend(const testing::Fleet& aFleet) const;

  std::map<RequestId, std::string> mNotRun; ///< whose callers were told that they did not run, with the refusal
  std::map<RequestId, GrantId> mChargedAt;  ///< grant in which a charge was seen
  std::map<PlanId, Tokens> mBudgets;        ///< largest budget seen in force
  std::map<InstanceId, ProcessSeen> mSeen;
  ListHistory mHistory;
};

} // namespace rhubarbarch::fuzz
