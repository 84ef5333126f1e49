// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "fleet_sums.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::controller;

TEST_GROUP(FleetSums){};

// Guards against running sums that differ from the sum over all sessions after sessions changed and ended in any order.
TEST(FleetSums, equalTheSumOverAllSessions)
{
  std::mt19937 random(7);
  FleetSums sums;
  std::map<SessionId, std::map<PlanId, PlanSum>> parts;
  for (int step = 0; step < 2000; ++step) {
    const SessionId session{ random() % 7 };
    if (random() % 20 == 0) {
      removeSession(sums, session);
      parts.erase(session);
      continue;
    }
    const PlanId plan = "p" + std::to_string(random() % 5);
    const PlanSum part{ static_cast<Tokens>(random() % 1000), static_cast<Tokens>(random() % 1000) };
    updatePlanSum(sums, session, plan, part);
    parts[session][plan] = part;
  }
  for (int plan = 0; plan < 5; ++plan) {
    PlanSum expected;
    for (const auto& [session, plans] : parts) {
      const auto found = plans.find("p" + std::to_string(plan));
      expected.held += found == plans.end() ? 0 : found->second.held;
      expected.used += found == plans.end() ? 0 : found->second.used;
    }
    const auto sum = planSum(sums, "p" + std::to_string(plan));
    CHECK_EQUAL(expected.held, sum.held);
    CHECK_EQUAL(expected.used, sum.used);
  }
}

// Guards against a gateway's own calls, or calls of a session that has ended, being reported as those of others.
TEST(FleetSums, reportsOnlyCallsOfOthers)
{
  FleetSums sums;
  updateUpstreamSums(sums, SessionId{ 1 }, { { "e1", 2, 100 }, { "e2", 1, 0 } });
  updateUpstreamSums(sums, SessionId{ 2 }, { { "e1", 3, 50 } });
  const auto others = othersUse(sums, SessionId{ 1 });
  CHECK_EQUAL(1U, others.size());
  CHECK_EQUAL(3, others.front().running);
  CHECK_EQUAL(50, others.front().prefillTokens);
  removeSession(sums, SessionId{ 2 });
  CHECK(othersUse(sums, SessionId{ 1 }).empty());
}
