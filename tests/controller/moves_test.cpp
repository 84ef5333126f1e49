#include "controller_harness.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

namespace {

controller::ControllerOptions
quickMoves()
{
  controller::ControllerOptions options;
  options.moves.loadTime = Duration{ 1000 };
  options.moves.shortestStep = Duration{ 500 };
  options.moves.watchPeriod = Duration{ 3000 };
  options.moves.unloadDelay = Duration{ 1000 };
  options.moves.orderRepeat = Duration{ 500 };
  return options;
}

const Address kRouter{ "r1", Role::kRouter };
const Address kAgent{ "a1", Role::kAgent };

} // namespace

TEST_GROUP(MovesController)
{
  ControllerHarness fleet{ 1, quickMoves() };

  void setup() override
  {
    fleet.join("r1", Role::kRouter);
    auto& agent = fleet.join("a1", Role::kAgent);
    agent.poll.load.loaded = { { "m", "v1" } };
    fleet.run(Duration{ 600 });
    CHECK_EQUAL(200, request("first", "v1", Duration{ 1 }).httpStatus);
  }

  controller::OperatorReply request(const std::string& aId, const VersionName& aVersion, Duration aUntilDeadline)
  {
    return fleet.answered(controller::RequestMove{ aId, "m", aVersion, fleet.wall + aUntilDeadline });
  }

  // Loads and unloads versions as ordered, as the agent's upstream would.
  void executeOrders()
  {
    auto& loaded = fleet.peers.at(kAgent).poll.load.loaded;
    for (const auto& order : fleet.received<Order>(kAgent)) {
      const LoadedVersion version{ order.model, order.version };
      std::erase(loaded, version);
      if (order.kind == OrderKind::kLoadVersion) {
        loaded.push_back(version);
      }
    }
  }

  // Runs for a time with traffic in proportion to the traffic shares; buckets are powers of two of milliseconds.
  void traffic(Duration aTime, std::int64_t aErrorPercentOfNew, std::size_t aOldBucket, std::size_t aNewBucket)
  {
    auto& poll = fleet.peers.at(kRouter).poll;
    for (const auto end = fleet.now + aTime; fleet.now < end;) {
      executeOrders();
      poll.samples.clear();
      for (const auto& share : fleet.state().moves.shares.at("m")) {
        const bool isNew = share.version != "v1";
        TrafficSample sample{ "m", share.version, "/chat", 10L * share.perMille, 0, {} };
        sample.errors = isNew ? sample.requests * aErrorPercentOfNew / 100 : 0;
        sample.latencyBuckets.resize(20);
        sample.latencyBuckets[isNew ? aNewBucket : aOldBucket] = sample.requests;
        poll.samples.push_back(sample);
      }
      fleet.run(Duration{ 500 });
    }
  }

  const Move& move(const std::string& aId)
  {
    return *state::findMove(fleet.state().moves, aId);
  }
};

// Guards against accepting a move that cannot be finished in time.
TEST(MovesController, refusesADeadlineThatCannotBeMet)
{
  const auto refused = request("second", "v2", Duration{ 2000 });
  CHECK_EQUAL(422, refused.httpStatus);
  CHECK(refused.body["error"] == "deadline_cannot_be_met");
  CHECK_EQUAL(200, request("second", "v2", Duration{ 4000 }).httpStatus);
}

// Guards against a good version missing its deadline, and the old one being unloaded before the move is done.
TEST(MovesController, goodVersionTakesOverInTime)
{
  CHECK_EQUAL(200, request("second", "v2", Duration{ 20'000 }).httpStatus);
  const auto deadline = move("second").deadlineUnixMs;
  traffic(Duration{ 1000 }, 0, 5, 5);
  CHECK(move("second").perMille < 100);
  while (move("second").state != MoveState::kWatching && fleet.wall.time_since_epoch().count() < deadline) {
    traffic(Duration{ 500 }, 0, 5, 5);
  }
  CHECK(move("second").state == MoveState::kWatching);
  CHECK_EQUAL(state::kWholeShare, move("second").perMille);
  const auto isUnload = [](const Order& aOrder) { return aOrder.kind == OrderKind::kUnloadVersion; };
  CHECK(std::ranges::none_of(fleet.received<Order>(kAgent), isUnload));
  traffic(Duration{ 8000 }, 0, 5, 5);
  CHECK(move("second").state == MoveState::kDone);
  const auto orders = fleet.received<Order>(kAgent);
  const auto unload = std::ranges::find_if(orders, isUnload);
  CHECK(unload != orders.end());
  CHECK(unload->version == "v1");
  CHECK(unload->fence > orders.front().fence);
}

// Guards against a version without traffic delaying the move past its deadline.
TEST(MovesController, sharesAdvanceWithoutTraffic)
{
  request("second", "v2", Duration{ 10'000 });
  for (int i = 0; i < 19; ++i) {
    executeOrders();
    fleet.run(Duration{ 500 });
  }
  CHECK(move("second").state == MoveState::kWatching);
}

// Guards against a failing version keeping its traffic, and receiving traffic again without a new move.
TEST(MovesController, failingVersionIsRolledBackForGood)
{
  request("second", "v2", Duration{ 20'000 });
  traffic(Duration{ 6000 }, 30, 5, 5);
  CHECK(move("second").state == MoveState::kTakenBack);
  CHECK(move("second").reason.find("error rate") != std::string::npos);
  traffic(Duration{ 3000 }, 0, 5, 5);
  CHECK_EQUAL(1U, fleet.state().moves.shares.at("m").size());
  CHECK(fleet.state().moves.shares.at("m").front().version == "v1");
  CHECK_EQUAL(200, request("third", "v2", Duration{ 20'000 }).httpStatus);
}

// Guards against a slow version keeping its traffic.
TEST(MovesController, slowVersionIsRolledBack)
{
  request("second", "v2", Duration{ 20'000 });
  traffic(Duration{ 6000 }, 0, 5, 7);
  CHECK(move("second").state == MoveState::kTakenBack);
}

// Guards against load that slows both versions being treated as a fault of the new one.
TEST(MovesController, loadCommonToBothIsNoFault)
{
  request("second", "v2", Duration{ 20'000 });
  traffic(Duration{ 2000 }, 0, 5, 5);
  traffic(Duration{ 4000 }, 0, 8, 8);
  CHECK(state::isActive(move("second")));
}

// Guards against ignoring a fault that only routers detect, and against a local fault of one router ending a good move.
TEST(MovesController, brakeReportsAreConfirmed)
{
  request("second", "v2", Duration{ 20'000 });
  traffic(Duration{ 3000 }, 0, 5, 5);
  fleet.send(kRouter, BrakeReport{ SessionId{ 1 }, "m", "v2", "/chat", "slow" });
  fleet.run(Duration{ 20 });
  CHECK(state::isActive(move("second")));
  fleet.send({ "r2", Role::kRouter }, BrakeReport{ SessionId{ 2 }, "m", "v2", "/chat", "slow" });
  fleet.run(Duration{ 20 });
  CHECK(move("second").state == MoveState::kTakenBack);
}

// Guards against a version that never loads leaving the move open forever.
TEST(MovesController, versionThatDoesNotLoadIsRolledBack)
{
  request("second", "v2", Duration{ 6000 });
  fleet.run(Duration{ 6000 });
  CHECK(move("second").state == MoveState::kTakenBack);
}
