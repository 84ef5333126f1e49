// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "controller_harness.h"

#include "rhubarbarch/gateway/gateway_role.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::ControllerHarness;

namespace {

using Cost = std::chrono::microseconds;

constexpr int kGateways = 40;
constexpr Cost kUsualCost{ 400 };
constexpr Cost kOverloadCost{ 4000 };
constexpr Duration kCallPeriod{ 20 };
const Address kHolder{ "holder", Role::kRouter };

/// One leader that takes messages in order of arrival and needs a time for each, and gateways whose callers all wait
/// for tokens that an idle holder does not give back.
class LockServer
{
public:
  LockServer()
  {
    RoutingTable table;
    table.version = 3;
    table.routes = { route() };
    table.services = { { "engine", "/healthz", 100, true, { 4, 10000, 3 } } };
    table.plans = { { "gold", { "gold-key" }, 1, 1'000'000 } };
    mFleet.operate(controller::PutRouting{ table, "source", "digest" });
    holdAll();
    for (int i = 0; i < kGateways; ++i) {
      gateway::GatewayOptions options;
      options.instance = "g" + std::to_string(i);
      options.controllers = { mFleet.leader() };
      mNames.push_back({ options.instance, Role::kRouter });
      mGateways.push_back(std::make_unique<gateway::GatewayRole>(
        options, Boot{ static_cast<std::uint64_t>(i) + 1 }, std::mt19937_64(static_cast<std::uint64_t>(i))));
    }
  }

  void run(Duration aTime, Cost aCost)
  {
    for (const auto end = mFleet.now + aTime; mFleet.now < end;) {
      mFleet.run(kTickPeriod);
      serve(aCost);
      for (std::size_t i = 0; i < mGateways.size(); ++i) {
        for (auto& message : std::exchange(mFleet.inboxes[mNames[i]], {})) {
          handle(i, gateway::PeerMessage{ { mFleet.leader(), Role::kController }, std::move(message) });
        }
        if (mFleet.now.time_since_epoch() % kCallPeriod == Duration{ 0 }) {
          handle(i, call());
        }
        handle(i, gateway::Tick{});
      }
    }
  }

  std::deque<Envelope> queue; ///< on its way to the leader

private:
  static Route route()
  {
    Route route;
    route.name = "review";
    route.host = "shop.example";
    route.pathPrefix = "/";
    route.kind = CallKind::kStream;
    route.services = { { "engine", 1 } };
    route.timeoutMs = 4000;
    route.targetLatencyMs = 500;
    return route;
  }

  void holdAll()
  {
    GatewayPoll poll;
    poll.instance = kHolder.instance;
    poll.boot = Boot{ 99 };
    poll.number = 1;
    mFleet.send(kHolder, poll);
    mFleet.run(kTickPeriod);
    poll.session = mFleet.last<GatewayState>(kHolder).session;
    poll.number = 2;
    poll.plans = { { "gold", 0, 0, 0, 1'000'000, 0 } };
    mFleet.send(kHolder, poll);
    mFleet.run(kTickPeriod);
  }

  gateway::CallerCall call()
  {
    gateway::CallerCall call;
    call.caller = gateway::CallerId{ ++mCalls };
    call.requestId = "q" + std::to_string(mCalls);
    call.method = "POST";
    call.host = "shop.example";
    call.target = "/review/";
    call.key = "gold-key";
    call.body = std::make_shared<const std::string>("body");
    call.deadline = Duration{ 4000 };
    call.promptTokens = 10;
    call.maxOutputTokens = 10;
    return call;
  }

  void handle(std::size_t aGateway, const gateway::Event& aEvent)
  {
    for (auto& action : mGateways[aGateway]->handle(aEvent, mFleet.now)) {
      if (auto* sent = std::get_if<gateway::Send>(&action)) {
        queue.push_back({ mNames[aGateway], sent->to, std::move(sent->message) });
      }
    }
  }

  void serve(Cost aCost)
  {
    mTime += kTickPeriod;
    while (!queue.empty() && mTime >= aCost) {
      mTime -= aCost;
      const auto envelope = std::move(queue.front());
      queue.pop_front();
      mFleet.send(envelope.from, envelope.message);
    }
    if (queue.empty()) {
      mTime = Cost{ 0 };
    }
  }

  ControllerHarness mFleet;
  std::vector<Address> mNames;
  std::vector<std::unique_ptr<gateway::GatewayRole>> mGateways;
  Cost mTime{ 0 }; ///< of the leader's processor, not used yet
  std::uint64_t mCalls = 0;
};

} // namespace

TEST_GROUP(LeaderOverload){};

// Load pattern: retry storm at a lock server. All gateways wait for tokens of one plan, and for two seconds the leader
// needs ten times as long for each message. Guards against an overload that feeds itself: whoever waits asks again,
// each question costs the leader time, a late leader makes more requests wait (large Great Lakes, quiet-1: from 20 s
// on the leader answered nobody while traffic lasted).
TEST(LeaderOverload, endsWithItsCause)
{
  LockServer server;
  server.run(Duration{ 1000 }, kUsualCost);
  CHECK(server.queue.size() <= kGateways);
  server.run(Duration{ 2000 }, kOverloadCost);
  server.run(Duration{ 1000 }, kUsualCost);
  CHECK(server.queue.size() <= kGateways);
}
