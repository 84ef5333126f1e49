#include "rhubarbarch/relay/relay_role.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::relay;

TEST_GROUP(Relay)
{
  RelayRole role{ RelayOptions{ { "c1", "c2" }, Duration{ 400 }, Duration{ 1500 } } };
  TimePoint now{ Duration{ 1000 } };
  Actions actions;

  void handle(const Event& aEvent)
  {
    actions = role.handle(aEvent, now);
  }

  void poll(std::uint64_t aNumber)
  {
    GatewayPoll poll;
    poll.instance = "g1";
    poll.number = aNumber;
    handle(PeerMessage{ { "g1", Role::kRouter }, poll });
  }

  std::vector<Send> sends() const
  {
    std::vector<Send> found;
    for (const auto& action : actions) {
      if (const auto* sent = std::get_if<Send>(&action)) {
        found.push_back(*sent);
      }
    }
    return found;
  }
};

// Guards against a gateway that is cut off from the controllers losing contact.
TEST(Relay, passesPollsAndAnswersOn)
{
  poll(1);
  STRCMP_EQUAL("c1", sends().at(0).to.instance.c_str());
  GatewayState answer;
  answer.instance = "g1";
  handle(PeerMessage{ { "c1", Role::kController }, answer });
  CHECK((sends().at(0).to == Address{ "g1", Role::kRouter }));
}

// Guards against a poll waiting for a controller that does not lead or does not answer.
TEST(Relay, turnsToAnotherController)
{
  poll(1);
  handle(PeerMessage{ { "c1", Role::kController }, NotLeader{ "c2" } });
  STRCMP_EQUAL("c2", sends().at(0).to.instance.c_str());
  now += Duration{ 410 };
  handle(Tick{});
  STRCMP_EQUAL("c1", sends().at(0).to.instance.c_str());
}

// Guards against answers for gateways that this relay does not know being sent anywhere.
TEST(Relay, dropsAnswersForUnknownGateways)
{
  GatewayState answer;
  answer.instance = "g9";
  handle(PeerMessage{ { "c1", Role::kController }, answer });
  CHECK(sends().empty());
}

// Guards against a replaced controller that never finds its group, because the first contacts that its settings name
// are processes without a disk.
TEST(Relay, passesRequestsToJoinOn)
{
  JoinRequest request;
  request.replica = ReplicaId{ 9 };
  request.instance = "c3";
  handle(PeerMessage{ { "c3", Role::kController }, request });
  CHECK_EQUAL(2U, sends().size());
  request.founding = true;
  handle(PeerMessage{ { "c3", Role::kController }, request });
  CHECK_EQUAL(0U, sends().size());
}

// Guards against two relays passing a poll to each other for ever.
TEST(Relay, takesNoPollsOfRelays)
{
  GatewayPoll poll;
  poll.instance = "g1";
  poll.number = 1;
  handle(PeerMessage{ { "c2", Role::kAgent }, poll });
  CHECK_EQUAL(0U, sends().size());
}

// Guards against a relay that knows only controllers that are gone, after the first contacts were exchanged.
TEST(Relay, takesNewContacts)
{
  poll(1);
  handle(Contacts{ { "c1", "c9" } });
  now += Duration{ 410 };
  handle(Tick{});
  now += Duration{ 410 };
  handle(Tick{});
  STRCMP_EQUAL("c9", sends().at(0).to.instance.c_str());
}

// Guards against polls that go round between first contacts when another member of the group leads.
TEST(Relay, turnsToALeaderThatItDidNotKnow)
{
  poll(1);
  handle(PeerMessage{ { "c1", Role::kController }, NotLeader{ "c5" } });
  STRCMP_EQUAL("c5", sends().at(0).to.instance.c_str());
}
