#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::router;

TEST_GROUP(SimplePath)
{
  Fixture fleet;
};

// Guards against serving requests without a configuration confirmed by a quorum.
TEST(SimplePath, isReadyOnlyWithConfiguration)
{
  fleet.tick();
  CHECK(!fleet.role.ready());
  const CallerId early = fleet.chat();
  CHECK_EQUAL(503, fleet.httpStatus(early));
  fleet.start();
  CHECK(fleet.role.ready());
}

// Guards against a request that is not served, answered or charged although nothing fails.
TEST(SimplePath, servesChargesAndAcknowledges)
{
  fleet.start();
  const CallerId caller = fleet.chat();
  const auto dispatch = fleet.takeOne<Dispatch>();
  const InstanceId agent = fleet.lastReceiver;
  CHECK_EQUAL(kChatWorstCase, dispatch.reserved);
  CHECK_EQUAL(100, dispatch.outputCap);
  CHECK(dispatch.grant == kGrant);
  CHECK(dispatch.routerSession == kSession);
  fleet.head(agent, dispatch.run);
  fleet.chunk(agent, dispatch.run, 0, "hello ");
  fleet.chunk(agent, dispatch.run, 6, "world");
  fleet.fromAgent(agent, Fixture::done(dispatch.run, 11, 40));
  CHECK_EQUAL(200, fleet.httpStatus(caller));
  STRCMP_EQUAL("hello world", fleet.body(caller).c_str());
  CHECK(fleet.ended(caller));
  CHECK(fleet.takeOne<RunDoneAck>().run == dispatch.run);
  fleet.wait(Duration{ 100 });
  const auto batch = fleet.takeOne<ChargeBatch>();
  CHECK(batch.grant == kGrant);
  CHECK_EQUAL(1U, batch.charges.size());
  CHECK_EQUAL(40, batch.charges[0].tokens);
  CHECK(batch.charges[0].request == dispatch.run.request);
  fleet.fromController(ChargeAck{ batch.number, kGrant });
  CHECK(fleet.takeOne<ChargeSettled>().run == dispatch.run);
}
