#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(GatewayRest)
{
  Fixture fleet;

  void setup() override
  {
    fleet.start();
  }

  /// Has both servers of the orders ask for rest.
  void restBoth(Duration aFirst, Duration aSecond)
  {
    fleet.call("/order/1");
    fleet.askForRest(fleet.takeOne<StartCall>().exchange, aFirst);
    fleet.askForRest(fleet.takeOne<StartCall>().exchange, aSecond);
  }
};

// Guards against a caller being told to return before any upstream takes calls, or much later than the first one does.
TEST(GatewayRest, tellsTheSoonestReturn)
{
  restBoth(Duration{ 4000 }, Duration{ 2000 });
  auto head = fleet.takeOne<ReplyHead>();
  CHECK_EQUAL(503, head.httpStatus);
  CHECK(head.retryAfter >= Duration{ 2000 });
  CHECK(head.retryAfter <= Duration{ 2200 });
  fleet.tick(Duration{ 1000 });
  fleet.call("/order/2");
  head = fleet.takeOne<ReplyHead>();
  CHECK_EQUAL(503, head.httpStatus);
  CHECK(head.retryAfter >= Duration{ 1000 });
  CHECK(head.retryAfter <= Duration{ 1200 });
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against a rest of zero taking an upstream out.
TEST(GatewayRest, ignoresARestOfZero)
{
  restBoth(Duration{ 0 }, Duration{ 0 });
  fleet.clearActions();
  fleet.call("/order/2");
  CHECK_EQUAL(1U, fleet.take<StartCall>().size());
}

// Guards against a rest being missed because the answer that asks for it bears no signature.
TEST(GatewayRest, keepsTheRestOfAnAnswerWithoutSignature)
{
  fleet.call("/order/1");
  const auto first = fleet.takeOne<StartCall>();
  UpstreamHead head;
  head.exchange = first.exchange;
  head.status = 503;
  head.retryAfter = Duration{ 3000 };
  fleet.handle(head);
  CHECK_EQUAL(502, fleet.status());
  for (int i = 0; i < 10; ++i) {
    fleet.call("/order/1");
    CHECK(first.upstreamId != fleet.takeOne<StartCall>().upstreamId);
  }
}

// Guards against a later refusal that asks for less cutting a rest short.
TEST(GatewayRest, keepsTheLongestRest)
{
  fleet.upstreams.pop_back(); // only d1 is left
  fleet.answer();
  fleet.clearActions();
  fleet.call("/order/3");
  fleet.call("/order/4");
  const auto both = fleet.take<StartCall>();
  CHECK_EQUAL(2U, both.size());
  fleet.askForRest(both[0].exchange, Duration{ 3000 });
  fleet.askForRest(both[1].exchange, Duration{ 500 });
  fleet.clearActions();
  fleet.tick(Duration{ 2900 });
  fleet.call("/order/5");
  CHECK(fleet.take<StartCall>().empty());
}

// Guards against a rest being forgotten when the upstream is missing in one list.
TEST(GatewayRest, outlastsAListWithoutTheUpstream)
{
  restBoth(Duration{ 4000 }, Duration{ 4000 });
  const auto all = fleet.upstreams;
  fleet.upstreams.resize(2);
  fleet.tick();
  fleet.answer();
  fleet.upstreams = all;
  fleet.tick();
  fleet.answer();
  fleet.clearActions();
  fleet.call("/order/2");
  CHECK(fleet.take<StartCall>().empty());
  CHECK_EQUAL(503, fleet.status());
}
