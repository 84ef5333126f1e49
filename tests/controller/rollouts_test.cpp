#include "controller_harness.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

namespace {

const controller::OrderRollout kOrder{ "chat", "v2", 60 };

} // namespace

TEST_GROUP(RolloutOrders)
{
  ControllerHarness fleet{ 3 };

  void setup() override
  {
    RoutingTable table;
    table.version = 3;
    table.services = { { "chat", "/healthz", 100, false, {} } };
    fleet.operate(controller::PutRouting{ table, "source", "digest" });
    list({ "v1", "v2" });
  }

  void list(const std::vector<VersionName>& aVersions)
  {
    controller::UpstreamsRead read;
    for (const auto& version : aVersions) {
      read.upstreams.push_back({ "u-" + version, "chat", "10.1.0.1:80", "a", version, 4, 0, false });
    }
    for (auto& [name, role] : fleet.roles) {
      role->handle(read, fleet.now);
    }
  }

  std::int32_t put(const std::string& aService, const VersionName& aTarget, std::int64_t aDurationS)
  {
    return fleet.answered(controller::OrderRollout{ aService, aTarget, aDurationS }).httpStatus;
  }

  std::string shown()
  {
    return fleet.answered(controller::ShowRollout{ "chat" }).body.value("state", "");
  }
};

// Guards against a repeat after a lost acknowledgement being refused, and against an order that nobody can read.
TEST(RolloutOrders, repeatsAreAcknowledged)
{
  CHECK_EQUAL(404, fleet.answered(controller::ShowRollout{ "chat" }).httpStatus);
  CHECK_EQUAL(200, fleet.answered(kOrder).httpStatus);
  CHECK_EQUAL(200, fleet.answered(kOrder).httpStatus);
  CHECK(shown() == "running");
  list({ "v2" });
  CHECK_EQUAL(200, fleet.answered(kOrder).httpStatus);
}

// Guards against orders that cannot be carried out being acknowledged.
TEST(RolloutOrders, refusesBadOrdersByField)
{
  CHECK_EQUAL(400, put("other", "v2", 60));
  CHECK_EQUAL(400, put("chat", "", 60));
  CHECK_EQUAL(400, put("chat", "v2", 0));
  CHECK_EQUAL(400, put("chat", "v2", -3));
  list({ "v1" });
  const auto same = fleet.answered(controller::OrderRollout{ "chat", "v1", 60 });
  CHECK_EQUAL(400, same.httpStatus);
  CHECK(same.body.value("detail", "").starts_with("target:"));
}

// Guards against two operators' orders both being acknowledged when only one of them can be carried out.
TEST(RolloutOrders, theSecondOfTwoOperatorsIsRefused)
{
  const auto first = fleet.start(fleet.leader(), kOrder);
  const auto second = fleet.start(fleet.leader(), controller::OrderRollout{ "chat", "v3", 60 });
  fleet.run(Duration{ 1500 });
  CHECK_EQUAL(200, fleet.answerTo(first).httpStatus);
  CHECK_EQUAL(422, fleet.answerTo(second).httpStatus);
  CHECK(fleet.answerTo(second).body.value("detail", "").starts_with("target:"));
}

// Guards against an acknowledged order being lost with its leader, and against an order without a quorum being
// acknowledged.
TEST(RolloutOrders, surviveAChangeOfLeader)
{
  CHECK_EQUAL(200, fleet.answered(kOrder).httpStatus);
  const auto old = fleet.leader();
  fleet.cut.insert(old);
  const auto lost = fleet.start(old, controller::OrderRollout{ "chat", "v3", 60 });
  fleet.run(Duration{ 6000 });
  CHECK_EQUAL(503, fleet.answerTo(lost).httpStatus);
  CHECK(shown() == "running");
  CHECK_EQUAL(200, fleet.answered(kOrder).httpStatus);
}

// Guards against a rollout without proof running for ever, and against its verdict being lost with the leader.
TEST(RolloutOrders, rollsBackWithoutProof)
{
  CHECK_EQUAL(200, put("chat", "v2", 5));
  fleet.run(Duration{ 2000 });
  CHECK(shown() == "running");
  fleet.run(Duration{ 2500 });
  CHECK(shown() == "rolled_back");
  CHECK_EQUAL(1U, fleet.countLines("rollout_stepped"));
  fleet.cut.insert(fleet.leader());
  fleet.run(Duration{ 6000 });
  CHECK(shown() == "rolled_back");
  CHECK_EQUAL(200, put("chat", "v2", 5));
  CHECK(shown() == "rolled_back");
}
