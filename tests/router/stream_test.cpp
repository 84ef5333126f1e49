#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::router;

namespace {

constexpr std::uint64_t kWindow = std::uint64_t{ 64 } << 10U;

} // namespace

TEST_GROUP(Streams)
{
  Fixture fleet;
  CallerId caller{};
  RunId run;
  InstanceId agent;

  void open(const std::string& aKey = "")
  {
    fleet.start();
    caller = fleet.chat(aKey);
    const auto dispatch = fleet.takeOne<Dispatch>();
    run = dispatch.run;
    agent = fleet.lastReceiver;
    fleet.head(agent, run);
  }
};

// Guards against answers with duplicate, missing or reordered parts.
TEST(Streams, deliversInOrderDespiteDuplicatesAndGaps)
{
  open();
  fleet.chunk(agent, run, 0, "abc");
  fleet.chunk(agent, run, 6, "ghi"); // "def" is missing
  CHECK_EQUAL(3U, fleet.takeOne<Attach>().offset);
  fleet.chunk(agent, run, 0, "abc");
  fleet.chunk(agent, run, 2, "cdef");
  fleet.chunk(agent, run, 6, "ghi");
  STRCMP_EQUAL("abcdefghi", fleet.body(caller).c_str());
}

// Guards against ending an answer whose last bytes are missing.
TEST(Streams, endsOnlyWhenComplete)
{
  open();
  fleet.chunk(agent, run, 0, "abc");
  fleet.fromAgent(agent, Fixture::done(run, 6, 10));
  CHECK(!fleet.ended(caller));
  CHECK(fleet.take<RunDoneAck>().empty());
  CHECK_EQUAL(3U, fleet.takeOne<Attach>().offset);
  fleet.chunk(agent, run, 3, "def");
  CHECK(fleet.ended(caller));
  STRCMP_EQUAL("abcdef", fleet.body(caller).c_str());
}

// Guards against unbounded memory use by slow readers: the router holds at most the credit window, whatever the agent
// sends.
TEST(Streams, holdsAtMostTheCreditWindowForASlowReader)
{
  open();
  const std::string block(kWindow / 2, 'x');
  for (std::uint64_t i = 0; i < 4; ++i) {
    fleet.chunk(agent, run, i * block.size(), block);
  }
  CHECK_EQUAL(kWindow, fleet.body(caller).size());
  CHECK(fleet.take<Credit>().empty());
  fleet.inject(CallerDrained{ caller, kWindow });
  CHECK_EQUAL(2 * kWindow, fleet.takeOne<Credit>().until);
}

// Guards against excessive memory use of the process: the router refuses new requests above maxHeldBytes.
TEST(Streams, refusesNewRequestsAboveMaxHeldBytes)
{
  RouterOptions options = Fixture::options();
  options.maxHeldBytes = 1000;
  Fixture small(options);
  small.start();
  const CallerId reader = small.chat();
  const auto dispatch = small.takeOne<Dispatch>();
  const InstanceId at = small.lastReceiver;
  small.head(at, dispatch.run);
  small.chunk(at, dispatch.run, 0, std::string(990, 'x'));
  CHECK_EQUAL(503, small.httpStatus(small.chat()));
  small.inject(CallerDrained{ reader, 990 });
  CHECK_EQUAL(0, small.httpStatus(small.chat()));
}

// Guards against an answer truncated by a lost connection: the router requests it again from the first missing byte.
TEST(Streams, attachesAgainAfterReconnection)
{
  open();
  fleet.chunk(agent, run, 0, "abcd");
  fleet.inject(PeerDown{ { agent, Role::kAgent } });
  fleet.inject(PeerUp{ { agent, Role::kAgent } });
  const auto attach = fleet.takeOne<Attach>();
  CHECK_EQUAL(4U, attach.offset);
  CHECK(attach.run == run);
}

// Guards against running requests that no caller reads, and against a run that is not charged because its caller
// disconnected.
TEST(Streams, cancelsAnIdempotentRunWithoutCallerAndStillCharges)
{
  open();
  fleet.inject(CallerGone{ caller });
  CHECK(fleet.takeOne<CancelRun>().run == run);
  RunDone done = Fixture::done(run, 0, 12);
  done.outcome = RunOutcome::kCancelled;
  fleet.fromAgent(agent, done);
  fleet.wait(Duration{ 60 });
  CHECK_EQUAL(12, fleet.takeOne<ChargeBatch>().charges.at(0).tokens);
}

// Guards against a caller that takes a truncated answer for a complete one.
TEST(Streams, abortsWhenTheUpstreamFailsHalfway)
{
  open();
  fleet.chunk(agent, run, 0, "abc");
  RunDone done = Fixture::done(run, 3, 12);
  done.outcome = RunOutcome::kFailed;
  fleet.fromAgent(agent, done);
  CHECK(fleet.aborted(caller));
  CHECK(!fleet.ended(caller));
  CHECK(fleet.take<Dispatch>().empty());
}
