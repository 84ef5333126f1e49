#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

namespace {

/// Longer than a change may take to be in force everywhere.
Duration
tooLong()
{
  return GatewayOptions{}.maxConfirmationAge + Duration{ 100 };
}

} // namespace

TEST_GROUP(GatewayConfiguration)
{
  Fixture fleet;

  std::int32_t statusOf(const std::string& aTarget)
  {
    fleet.clearActions();
    fleet.call(aTarget);
    return fleet.status();
  }

  std::int32_t statusWithKey(const std::string& aKey)
  {
    fleet.clearActions();
    CallerCall call;
    call.caller = CallerId{ 1000 };
    call.requestId = "unknown-key";
    call.method = "POST";
    call.host = "shop.example";
    call.target = "/order/1";
    call.key = aKey;
    call.body = std::make_shared<const std::string>("body");
    call.deadline = Duration{ 3000 };
    fleet.handle(call);
    return fleet.status();
  }

  static void addRoute(RoutingTable & aTable)
  {
    auto added = aTable.routes.back();
    added.name = "added";
    added.pathPrefix = "/added-route/";
    aTable.routes.push_back(added);
  }

  void answerWithChanges(const RoutingTable& aBase, const RoutingTable& aLater)
  {
    auto state = fleet.state();
    state.hasRouting = false;
    state.hasRoutingDelta = true;
    state.routingDelta = makeDelta(aBase, aLater);
    state.routingVersion = aLater.version;
    fleet.handle(PeerMessage{ { kLeader, Role::kController }, state });
  }

  /// Lets time pass in which the leader answers each poll but sends no document.
  void answerWithoutDocument(Duration aTime)
  {
    for (const auto end = fleet.now + aTime; fleet.now < end;) {
      fleet.tick(GatewayOptions{}.pollPeriod);
      auto state = fleet.state();
      state.hasRouting = false;
      fleet.handle(PeerMessage{ { kLeader, Role::kController }, state });
    }
  }
};

// Guards against refusing for good by a table that was replaced seconds ago: observed as requests that were refused as
// an older version says, more than the 2.5 s after a newer one was acknowledged within which it has to be in force.
TEST(GatewayConfiguration, refusesNothingForGoodByATableThatIsNotConfirmed)
{
  fleet.start();
  CHECK_EQUAL(404, statusOf("/added-route/1"));
  CHECK_EQUAL(401, statusWithKey("added-key"));
  fleet.tick(tooLong());
  CHECK_EQUAL(503, statusOf("/added-route/1"));
  CHECK_EQUAL(503, statusWithKey("added-key"));
  fleet.tick();
  fleet.answer();
  CHECK_EQUAL(404, statusOf("/added-route/1"));
  CHECK_EQUAL(401, statusWithKey("added-key"));
}

// Guards against taking the arrival of an answer for the time at which it was true: answers wait in queues, on full
// links and in relays.
TEST(GatewayConfiguration, countsTheAgeOfAConfirmationFromItsPoll)
{
  fleet.start();
  fleet.tick();
  const auto late = fleet.state();
  fleet.tick(tooLong());
  fleet.handle(PeerMessage{ { kLeader, Role::kController }, late });
  CHECK_EQUAL(503, statusOf("/added-route/1"));
}

// Guards against believing a leader that was deposed: some answers are sent before the quorum has confirmed it.
TEST(GatewayConfiguration, isNotConfirmedByAnswersThatTheQuorumHasNotConfirmed)
{
  fleet.start();
  const auto confirmed = fleet.polls;
  fleet.tick(tooLong());
  auto unconfirmed = fleet.state();
  unconfirmed.confirmedPoll = confirmed;
  fleet.handle(PeerMessage{ { kLeader, Role::kController }, unconfirmed });
  CHECK_EQUAL(503, statusOf("/added-route/1"));
}

// Guards against a gateway that is cut off from the controllers and refuses what it can serve.
TEST(GatewayConfiguration, servesByATableThatIsNotConfirmed)
{
  fleet.start();
  fleet.tick(tooLong());
  fleet.clearActions();
  fleet.call("/order/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against serving dropped routes and keys by a table that is known to be replaced, when its successor does not
// arrive.
TEST(GatewayConfiguration, servesNothingByATableThatIsKnownToBeReplacedForLong)
{
  fleet.start();
  fleet.table.version = 4;
  answerWithoutDocument(GatewayOptions{}.maxConfirmationAge / 2);
  fleet.clearActions();
  fleet.call("/order/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
  answerWithoutDocument(tooLong());
  CHECK_EQUAL(503, statusOf("/order/1"));
  CHECK_FALSE(fleet.role.ready());
  fleet.answer();
  fleet.clearActions();
  fleet.call("/order/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against changes for another version being dropped in silence: the next ones came after a pause.
TEST(GatewayConfiguration, reportsChangesForAnotherVersionAtOnce)
{
  fleet.start();
  fleet.tick(GatewayOptions{}.pollPeriod);
  fleet.answer();
  auto later = fleet.table;
  later.version = 6;
  auto base = fleet.table;
  base.version = 5;
  fleet.clearActions();
  answerWithChanges(base, later);
  fleet.tick(GatewayOptions{}.minPollInterval);
  const auto poll = fleet.lastPoll();
  CHECK(poll.routingRejected);
  CHECK_EQUAL(3, poll.routingVersion);
  fleet.answer();
  fleet.tick(GatewayOptions{}.pollPeriod);
  CHECK_FALSE(fleet.lastPoll().routingRejected);
}

// Guards against taking a gateway that is always one version behind, in a series of changes, for one without news.
TEST(GatewayConfiguration, servesWhileVersionsFollowOneAnother)
{
  fleet.start();
  for (int change = 0; change < 20; ++change) {
    const auto document = fleet.table;
    ++fleet.table.version;
    auto state = fleet.state();
    state.routing = document;
    fleet.tick(GatewayOptions{}.pollPeriod);
    fleet.handle(PeerMessage{ { kLeader, Role::kController }, state });
  }
  fleet.clearActions();
  fleet.call("/order/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against a table that falls further behind with each change: on a full link, answers take longer than changes
// are apart, and the version that their changes are for has been replaced when they arrive.
TEST(GatewayConfiguration, appliesChangesForAVersionThatItHeldAMomentAgo)
{
  fleet.start();
  const auto base = fleet.table;
  fleet.table.version = 4;
  fleet.answer();
  auto later = fleet.table;
  later.version = 5;
  addRoute(later);
  answerWithChanges(base, later);
  fleet.clearActions();
  fleet.call("/added-route/1");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against going back: changes that arrive late lead to a version before the one held.
TEST(GatewayConfiguration, keepsANewerTableThanLateChangesLeadTo)
{
  fleet.start();
  const auto base = fleet.table;
  auto later = fleet.table;
  later.version = 4;
  addRoute(later);
  fleet.table.version = 5;
  fleet.answer();
  answerWithChanges(base, later);
  CHECK_EQUAL(404, statusOf("/added-route/1"));
}
