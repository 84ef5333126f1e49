#include "rhubarbarch/state/replicated_state.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::state;

TEST_GROUP(Rollouts)
{
  ReplicatedState state;
  std::uint64_t index = 0;

  RolloutOutcome commit(const Command& aCommand)
  {
    return std::get<RolloutOutcome>(apply(state, decodeCommand(encodeCommand(aCommand)).value(), LogIndex{ ++index }));
  }

  RolloutOutcome order(const VersionName& aTarget, std::int64_t aDurationS = 60)
  {
    return commit(OrderRollout{ "chat", aTarget, aDurationS, 1000 });
  }

  RolloutOutcome step(RolloutPhase aPhase)
  {
    return commit(StepRollout{ "chat", newest().rule.orderedAt, aPhase, "test" });
  }

  const Rollout& newest() const
  {
    return *findRollout(state.rollouts, "chat");
  }
};

// Guards against an order that is sent again after a lost acknowledgement being refused, or restarting the rollout.
TEST(Rollouts, repeatsOfTheNewestOrderChangeNothing)
{
  CHECK(order("v2") == RolloutOutcome::kAccepted);
  CHECK(order("v2") == RolloutOutcome::kRepeated);
  CHECK(newest().rule.orderedAt == LogIndex{ 1 });
  CHECK_EQUAL(61'000, newest().deadlineUnixMs);
  CHECK(step(RolloutPhase::kRolledBack) == RolloutOutcome::kChanged);
  CHECK(order("v2") == RolloutOutcome::kRepeated);
  CHECK(newest().rule.phase == RolloutPhase::kRolledBack);
}

// Guards against a second operator's order replacing a rollout that is running.
TEST(Rollouts, oneRolloutOfAServiceRunsAtATime)
{
  order("v2");
  CHECK(order("v3") == RolloutOutcome::kRunning);
  CHECK(order("v2", 30) == RolloutOutcome::kRunning);
  CHECK(commit(OrderRollout{ "desk", "v3", 60, 1000 }) == RolloutOutcome::kAccepted);
  step(RolloutPhase::kSucceeded);
  CHECK(order("v2", 30) == RolloutOutcome::kSameVersion);
  CHECK(order("v3") == RolloutOutcome::kAccepted);
}

// Guards against a verdict being reverted, or a late one of an earlier rollout ending its successor.
TEST(Rollouts, verdictsAreFinal)
{
  order("v2");
  const auto first = newest().rule.orderedAt;
  CHECK(step(RolloutPhase::kRolledBack) == RolloutOutcome::kChanged);
  CHECK(step(RolloutPhase::kSucceeded) == RolloutOutcome::kUnchanged);
  order("v3");
  CHECK(commit(StepRollout{ "chat", first, RolloutPhase::kSucceeded, "late" }) == RolloutOutcome::kUnchanged);
  CHECK(newest().rule.phase == RolloutPhase::kRunning);
}

// Guards against the share dealt out being forgotten: a new leader would deal it out again.
TEST(Rollouts, exposureOnlyGrows)
{
  order("v2");
  const auto at = newest().rule.orderedAt;
  CHECK(commit(AllotExposure{ "chat", at, 500, 90 }) == RolloutOutcome::kChanged);
  commit(AllotExposure{ "chat", at, 400, 80 });
  CHECK_EQUAL(500, newest().counted);
  CHECK_EQUAL(90, newest().dealt);
  CHECK(commit(AllotExposure{ "chat", LogIndex{ 99 }, 600, 100 }) == RolloutOutcome::kUnchanged);
}

// Guards against calls to a version that was rolled back, that is unproved, or that a successful rollout has replaced.
TEST(Rollouts, rulesSayWhichVersionsServe)
{
  order("v2");
  CHECK(versionUse(newest().rule, "v2") == VersionUse::kByPermit);
  CHECK(versionUse(newest().rule, "v1") == VersionUse::kServes);
  step(RolloutPhase::kRolledBack);
  CHECK(versionUse(newest().rule, "v2") == VersionUse::kNone);
  CHECK(versionUse(newest().rule, "v1") == VersionUse::kServes);
  order("v3");
  CHECK(versionUse(newest().rule, "v2") == VersionUse::kNone);
  step(RolloutPhase::kMoving);
  CHECK(versionUse(newest().rule, "v3") == VersionUse::kServes);
  CHECK(versionUse(newest().rule, "v1") == VersionUse::kReserve);
  CHECK(versionUse(newest().rule, "v2") == VersionUse::kNone);
  step(RolloutPhase::kSucceeded);
  CHECK(versionUse(newest().rule, "v3") == VersionUse::kServes);
  CHECK(versionUse(newest().rule, "v1") == VersionUse::kNone);
  order("v4");
  CHECK(versionUse(newest().rule, "v3") == VersionUse::kServes);
  CHECK(versionUse(newest().rule, "v1") == VersionUse::kNone);
}

// Guards against orders being lost when a snapshot replaces their log entries, and against snapshots of earlier
// software versions, which have no rollouts, being refused.
TEST(Rollouts, surviveASnapshot)
{
  order("v2");
  const auto restored = decode(encode(state));
  CHECK(restored.has_value());
  CHECK((restored.value().rollouts.rollouts.at(0).rule == newest().rule));
  CHECK_EQUAL(61'000, restored.value().rollouts.rollouts.at(0).deadlineUnixMs);
  auto json = nlohmann::json::from_cbor(encode(state));
  json.erase("rollouts");
  std::string earlier;
  nlohmann::json::to_cbor(json, earlier);
  CHECK(decode(earlier).has_value());
  CHECK(decode(earlier).value().rollouts.rollouts.empty());
}
