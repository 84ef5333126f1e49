#include "agent_fixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::agent;

TEST_GROUP(Control)
{
  Driver driver;

  Order order(std::uint64_t aNumber, std::uint64_t aFence, OrderKind aKind = OrderKind::kLoadVersion)
  {
    return { aNumber, FenceNumber{ aFence }, aKind, "m", "2" };
  }
  std::vector<Address> registrations(const Driver& aDriver)
  {
    std::vector<Address> receivers;
    for (const auto& send : aDriver.actions<Send>()) {
      if (std::holds_alternative<RegisterSession>(send.message)) {
        receivers.push_back(send.to);
      }
    }
    return receivers;
  }
};

// Guards against an agent that keeps polling a controller that is unresponsive or not the leader.
TEST(Control, findsTheLeader)
{
  auto options = testOptions();
  options.controllers = { "c1", "c2", "c3" };
  Driver agent{ options };
  agent.tick(kTickPeriod);
  const auto first = registrations(agent).at(0);
  agent.tick(options.controllerTimeout);
  const auto second = registrations(agent).back();
  CHECK(second != first);
  agent.clear();
  agent.message(second, NotLeader{ first.instance });
  CHECK(registrations(agent) == std::vector<Address>{ first });
  agent.clear();
  agent.message(second, NotLeader{});
  agent.tick(options.pollPeriod);
  CHECK(registrations(agent) == std::vector<Address>{ first });
  agent.clear();
  agent.message(first, NotLeader{});
  agent.tick(options.pollPeriod);
  CHECK(registrations(agent).at(0) != first);
}

// Guards against an unbounded message rate when two controllers name each other as leader.
TEST(Control, followsLeaderHintsAtABoundedRate)
{
  auto options = testOptions();
  options.controllers = { "c1", "c2" };
  Driver agent{ options };
  agent.tick(kTickPeriod);
  for (int i = 0; i < 100; ++i) {
    const auto last = registrations(agent).back();
    agent.message(last, NotLeader{ last.instance == "c1" ? "c2" : "c1" });
  }
  CHECK(registrations(agent).size() <= 3);
}

// Guards against a late reply lowering the revisions that the agent reports.
TEST(Control, appliesRevisionsMonotonically)
{
  driver.start();
  driver.tick(testOptions().pollPeriod);
  ConfigState state;
  state.number = driver.last<ConfigPoll>().number;
  state.hasLists = true;
  state.lists.plansRevision = Revision{ 9 };
  state.lists.usesRevision = Revision{ 8 };
  driver.message(kController, state);
  state.lists.plansRevision = Revision{ 3 };
  driver.message(kController, state);
  driver.tick(testOptions().pollPeriod);
  CHECK(driver.last<ConfigPoll>().plansRevision == Revision{ 9 });
  CHECK(driver.last<ConfigPoll>().usesRevision == Revision{ 8 });
}

// Guards against an old leader's order undoing a newer one at an upstream that does not check the number.
TEST(Control, refusesOldFencingNumbers)
{
  driver.start();
  driver.message(kController, order(1, 5));
  auto starts = driver.actions<UpstreamStart>();
  CHECK_EQUAL(std::string("/engine/load_version"), starts.at(0).path);
  CHECK(starts[0].fence == FenceNumber{ 5 });
  CHECK_EQUAL(std::string(R"({"model":"m","version":"2"})"), starts[0].body);
  driver.message(kController, order(1, 5));
  driver.message(kController, order(2, 6));
  driver.message(kController, order(3, 7, OrderKind::kUnloadVersion));
  driver.message(kController, order(4, 4));
  CHECK_FALSE(driver.last<OrderReply>().accepted);
  CHECK_EQUAL(4U, driver.last<OrderReply>().number);
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
  driver.head(starts[0].exchange, 202, "");
  driver.event(UpstreamEnd{ starts[0].exchange });
  // Order 3 arrived while order 2 was waiting, so only order 3 may still be sent.
  starts = driver.actions<UpstreamStart>();
  CHECK_EQUAL(2U, starts.size());
  CHECK_EQUAL(std::string("/engine/unload_version"), starts[1].path);
  const auto replies = driver.sent<OrderReply>();
  CHECK(std::ranges::any_of(replies, [](const auto& aReply) { return aReply.number == 1 && aReply.accepted; }));
  CHECK(std::ranges::any_of(replies, [](const auto& aReply) { return aReply.number == 2 && !aReply.accepted; }));
}

// Guards against a repeated order being sent to the upstream twice.
TEST(Control, sendsARepeatedOrderOnce)
{
  driver.start();
  driver.message(kController, order(1, 5));
  driver.message(kController, order(1, 5));
  driver.head(driver.exchange(), 202, "");
  driver.event(UpstreamEnd{ driver.exchange() });
  driver.message(kController, order(1, 5));
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
  CHECK_EQUAL(2U, driver.sent<OrderReply>().size());
  CHECK(driver.last<OrderReply>().accepted);
}

// Guards against an order being reported as accepted although the upstream refused it, and against a drain that is not
// announced to the routers.
TEST(Control, reportsWhatTheUpstreamAnswered)
{
  driver.start();
  driver.message(kRouter, RunQuery{ { "r1-1-1", 1 }, kBoot });
  driver.message(kController, order(1, 5, OrderKind::kDrain));
  driver.head(driver.exchange(), 409, "");
  driver.event(UpstreamEnd{ driver.exchange() });
  CHECK_FALSE(driver.last<OrderReply>().accepted);
  CHECK(driver.role().ready());
  driver.message(kController, order(1, 5, OrderKind::kDrain));
  driver.head(driver.exchange(), 202, "");
  driver.event(UpstreamEnd{ driver.exchange() });
  CHECK(driver.last<OrderReply>().accepted);
  CHECK_FALSE(driver.role().ready());
  CHECK(driver.last<AgentStatus>(kRouter).leaving);
}

// Guards against reporting prefixes that a missed event may have evicted, and against an unbounded list.
TEST(Control, clearsCachedPrefixesOnAGap)
{
  driver.start();
  driver.event(PeerUp{ kRouter });
  const auto prefixes = [&] {
    driver.tick(testOptions().statusPeriod);
    return driver.last<AgentStatus>(kRouter).cachedPrefixes;
  };
  for (std::uint64_t i = 1; i <= 70; ++i) {
    driver.event(CacheEvent{ i, true, i });
  }
  driver.event(CacheEvent{ 70, false, 69 });
  CHECK_EQUAL(64U, prefixes().size());
  driver.event(CacheEvent{ 71, false, 70 });
  CHECK_EQUAL(63U, prefixes().size());
  driver.event(CacheEvent{ 73, true, 500 });
  CHECK(prefixes() == std::vector<std::uint64_t>{ 500 });
}

// Guards against a newly loaded version being announced to routers with a delay.
TEST(Control, announcesLoadedVersionsAtOnce)
{
  driver.start();
  driver.event(PeerUp{ kRouter });
  driver.clear();
  driver.report(0);
  CHECK(driver.sent<AgentStatus>().empty());
  driver.event(LoadReport{ 0, 0, 0, { { "m", "1" }, { "m", "2" } } });
  CHECK_EQUAL(2U, driver.last<AgentStatus>(kRouter).loaded.size());
}

// Guards against a refusal without a recorded reason, and against an unbounded record of decisions.
TEST(Control, explainsDecisions)
{
  auto options = testOptions();
  options.maxDecisions = 2;
  Driver agent{ options };
  agent.start();
  auto dispatch = dispatchOf("r1-1-1");
  dispatch.version = "9";
  agent.message(kRouter, dispatch);
  agent.message(kController, ExplainQuery{ 4, "r1-1-1" });
  const auto reply = agent.last<ExplainReply>(kController);
  CHECK_EQUAL(4U, reply.number);
  CHECK_EQUAL(1U, reply.decisions.size());
  CHECK(reply.decisions[0].find("not_loaded") != std::string::npos);
  for (const auto* request : { "r1-1-2", "\xff" }) {
    agent.message(kRouter, RunQuery{ { request, 1 }, kBoot });
  }
  agent.message(kController, ExplainQuery{ 5, "r1-1-1" });
  CHECK(agent.last<ExplainReply>().decisions.empty());
}
