#pragma once

#include "oracle.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::fuzz {

enum class Kind : std::uint8_t
{
  kAdvance,
  kModelCall,
  kOrder,
  kRetry,
  kOtherBody,
  kTopUp,
  kTogglePlan,
  kRace,
  kResend,
  kCutRouter,
  kCutController,
  kCutAgent,
  kHeal,
  kKill,
  kRestart,
  kPause,
  kResume,
  kLoseDisk,
  kLoss,
  kDrain,
  kShutDown,
  kLeave
};

/// One command; what the numbers mean depends on the kind.
struct Step
{
  Kind kind = Kind::kAdvance;
  unsigned a = 0;
  unsigned b = 0;
};

/// A fleet under test with its oracle.
class World
{
public:
  explicit World(std::uint64_t aSeed);

  /// Performs a command and then checks everything that must always hold.
  void perform(const Step& aStep);

  /// Ends all faults, lets everything settle and checks the end state.
  void finish();

private:
  void run(const Step& aStep);
  void runFault(const Step& aStep);
  void runNodeFault(const Step& aStep);
  void modelCall(const Step& aStep);
  void order(const Step& aStep);
  void retry(const Step& aStep);
  void otherBody(const Step& aStep);
  void ask(Ask aAsk, const InstanceId& aRouter);
  void topUp(const Step& aStep);
  void togglePlan(const Step& aStep);
  void race(const Step& aStep);
  void resend(const Step& aStep);
  void submit(const controller::ApplyUses& aOperation, const InstanceId& aController);
  void loseDisk(const InstanceId& aName);
  void shutDown(const InstanceId& aRouter);
  void leave(const Step& aStep);
  void report(const std::vector<InstanceId>& aLeaving);
  void drainAll();
  void watchControllers();
  bool up(const InstanceId& aName) const;
  const InstanceId& name(unsigned aNumber) const { return mNames[aNumber % mNames.size()]; }
  controller::ApplyUses usesWith(const PlanId& aPlan, Tokens aMore);
  Tokens unspent(const PlanId& aPlan) const;
  void restoreLists();
  void finishShutdowns();
  void checkService();
  std::string describe() const;

  testing::Fleet mFleet;
  Oracle mOracle;
  std::vector<InstanceId> mNames;
  std::vector<InstanceId> mControllers;
  TimePoint mCalmSince{};         ///< since when all controllers run and reach each other
  std::set<InstanceId> mStopping; ///< routers in a graceful shutdown
  bool mDiskLost = false;
  bool mCuts = false;
  unsigned mNumber = 0; ///< makes bodies, keys and operator requests unique
};

} // namespace rhubarbarch::fuzz
