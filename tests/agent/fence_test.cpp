#include "agent_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::agent;

TEST_GROUP(Fence)
{
  Driver driver;

  bool accepts(const RequestId& aRequest, SessionId aSession)
  {
    const auto before = driver.sent<DispatchRefused>().size();
    auto dispatch = dispatchOf(aRequest);
    dispatch.routerSession = aSession;
    driver.message(kRouter, dispatch);
    return driver.sent<DispatchRefused>().size() == before;
  }
};

// Guards against dispatches of a session that was fenced before this agent registered: its tokens may be granted again.
TEST(Fence, acceptsOnlyLiveAndNewerSessions)
{
  CHECK_FALSE(accepts("r1-1-1", kRouterSession));
  // The router's session is valid, so the reason must not cause the router to register again.
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kLeaving);
  driver.start({ kRouterSession });
  CHECK(accepts("r1-1-2", kRouterSession));
  CHECK_FALSE(accepts("r1-1-3", kOtherSession));
  CHECK(driver.last<DispatchRefused>().reason == RefusalReason::kFenced);
  CHECK(accepts("r1-1-4", SessionId{ 51 }));
}

// Guards against dispatches of a session that was fenced by order, and against a report that omits runs in progress.
TEST(Fence, refusesAFencedSessionAndReportsItsRuns)
{
  driver.start();
  driver.message(kRouter, dispatchOf("r1-1-1"));
  const auto exchange = driver.exchange();
  driver.message(kRouter, dispatchOf("r1-1-2", 300));
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  CHECK_FALSE(accepts("r1-1-3", kRouterSession));
  auto report = driver.last<SessionFenced>(kController);
  CHECK(report.agentSession == kAgentSession);
  CHECK_EQUAL(800, report.grants.at(0).openReserved);
  driver.head(exchange);
  driver.data(exchange, kUsageTail);
  driver.event(UpstreamEnd{ exchange });
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  report = driver.last<SessionFenced>(kController);
  CHECK_EQUAL(300, report.grants.at(0).openReserved);
  CHECK(report.grants[0].charges == std::vector<Charge>({ { "r1-1-1", 42 } }));
}

// Guards against fences and orders from processes other than the configured controllers.
TEST(Fence, ignoresFencesAndOrdersOfOthers)
{
  driver.start();
  driver.message(kOtherRouter, FenceSession{ LogIndex{ 90 }, kRouterSession });
  driver.message({ "c9", Role::kController }, FenceSession{ LogIndex{ 90 }, kRouterSession });
  driver.message(kOtherRouter, Order{ 1, FenceNumber{ 5 }, OrderKind::kDrain, {}, {} });
  CHECK(accepts("r1-1-1", kRouterSession));
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
}

// Guards against dispatches being accepted between the loss of the own session and the next registration, and against a
// late reply to the old registration admitting fenced sessions.
TEST(Fence, acceptsNothingWithoutASession)
{
  driver.start();
  driver.tick(testOptions().pollPeriod);
  ConfigState lost;
  lost.number = driver.last<ConfigPoll>().number;
  lost.sessionLive = false;
  lost.readIndex = LogIndex{ 80 };
  driver.message(kController, lost);
  CHECK_FALSE(driver.role().ready());
  CHECK_FALSE(accepts("r1-1-1", kRouterSession));
  driver.message(kController, SessionRegistered{ kBoot, kAgentSession, LogIndex{ 60 }, { kRouterSession } });
  CHECK_FALSE(accepts("r1-1-2", kRouterSession));
  driver.tick(kTickPeriod);
  CHECK_EQUAL(1U, driver.sent<RegisterSession>().size());
  driver.message(kController, SessionRegistered{ kBoot, SessionId{ 95 }, LogIndex{ 95 }, { kOtherSession } });
  CHECK_FALSE(accepts("r1-1-3", kRouterSession));
  CHECK(accepts("r1-1-4", kOtherSession));
}

// Guards against a renewed registration that was read before a fence admitting the fenced session.
TEST(Fence, retainsFencesAfterARenewedRegistration)
{
  driver.start();
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  driver.message(kController, SessionRegistered{ kBoot, kAgentSession, LogIndex{ 85 }, { kRouterSession } });
  CHECK_FALSE(accepts("r1-1-1", kRouterSession));
}

// Guards against accepting a registration reply that is for an earlier boot or has no session.
TEST(Fence, ignoresRegistrationsOfAnotherBoot)
{
  driver.tick(kTickPeriod);
  driver.report(0);
  driver.message(kController, SessionRegistered{ Boot{ 6 }, SessionId{ 9 }, LogIndex{ 9 }, { kRouterSession } });
  driver.message(kController, SessionRegistered{ kBoot, SessionId{}, LogIndex{ 9 }, { kRouterSession } });
  CHECK_FALSE(accepts("r1-1-1", kRouterSession));
}
