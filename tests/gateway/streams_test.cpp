#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::gateway;

TEST_GROUP(GatewayStreams)
{
  Fixture fleet;

  void setup() override
  {
    fleet.start();
  }

  std::string forwarded()
  {
    std::string bytes;
    for (const auto& body : fleet.take<ReplyBody>()) {
      bytes += body.data;
    }
    return bytes;
  }

  /// Has a stream break off after two events.
  /// @return the call that should continue it
  StartCall breakOff()
  {
    fleet.call("/summary/1", 100, 50);
    const auto first = fleet.takeOne<StartCall>();
    fleet.head(first.exchange, 200, true);
    fleet.handle(UpstreamData{ first.exchange, Fixture::event(1) + Fixture::event(2) });
    fleet.handle(UpstreamError{ first.exchange, true, false, "reset" });
    const auto second = fleet.takeOne<StartCall>();
    fleet.clearActions();
    return second;
  }
};

// Guards against delaying complete events, and against forwarding an incomplete one.
TEST(GatewayStreams, forwardsCompleteEventsAsTheyArrive)
{
  fleet.call("/review/1", 100, 50);
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 200, true);
  fleet.handle(UpstreamData{ call.exchange, Fixture::event(1) + "id: 2\nda" });
  STRCMP_EQUAL(Fixture::event(1).c_str(), forwarded().c_str());
  CHECK(fleet.takeOne<ReplyHead>().chunked);
  fleet.handle(UpstreamData{ call.exchange, "ta: x\n\n" });
  STRCMP_EQUAL(Fixture::event(2).c_str(), forwarded().c_str());
  fleet.handle(UpstreamEnd{ call.exchange });
  CHECK_EQUAL(1U, fleet.take<ReplyEnd>().size());
}

// Guards against a stream that ends within an event appearing complete to the caller.
TEST(GatewayStreams, abortsAStreamThatEndsWithinAnEvent)
{
  fleet.call("/review/1", 100, 50);
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 200, true);
  fleet.handle(UpstreamData{ call.exchange, Fixture::event(1) + "id: 2" });
  fleet.handle(UpstreamEnd{ call.exchange });
  CHECK_EQUAL(1U, fleet.take<ReplyAbort>().size());
  CHECK(fleet.take<ReplyEnd>().empty());
}

// Guards against an empty stream appearing complete to the caller when an upstream crashes before the first event of an
// answer that ends with its connection.
TEST(GatewayStreams, failsAStreamThatEndsBeforeItsFirstEvent)
{
  fleet.call("/review/1", 100, 50);
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 200, true);
  fleet.handle(UpstreamEnd{ call.exchange });
  CHECK_EQUAL(502, fleet.status());
}

// Guards against failing a resumable stream together with its server, and against missing or duplicate events.
TEST(GatewayStreams, resumesElsewhereAfterTheLastCompleteEvent)
{
  fleet.call("/summary/1", 100, 50);
  const auto first = fleet.takeOne<StartCall>();
  fleet.head(first.exchange, 200, true);
  fleet.handle(UpstreamData{ first.exchange, Fixture::event(1) + Fixture::event(2) + "id: 3\nda" });
  fleet.handle(UpstreamError{ first.exchange, true, false, "reset" });
  const auto second = fleet.takeOne<StartCall>();
  CHECK(first.upstreamId != second.upstreamId);
  STRCMP_EQUAL("2", second.lastEventId.c_str());
  fleet.head(second.exchange, 200, true);
  fleet.handle(UpstreamData{ second.exchange, Fixture::event(3) });
  fleet.handle(UpstreamEnd{ second.exchange });
  CHECK_EQUAL(1U, fleet.take<ReplyHead>().size());
  STRCMP_EQUAL((Fixture::event(1) + Fixture::event(2) + Fixture::event(3)).c_str(), forwarded().c_str());
  CHECK_EQUAL(1U, fleet.take<ReplyEnd>().size());
}

// Guards against aborting slow but healthy streams, and against stalled ones that never end because single bytes still
// arrive.
TEST(GatewayStreams, endsATricklingStreamAtItsTimeoutAndNotBefore)
{
  fleet.call("/review/1", 100, 50, Duration{ 60'000 });
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 200, true);
  fleet.handle(UpstreamData{ call.exchange, Fixture::event(1) + "id: 2\ndata: " });
  for (int second = 0; second < 3; ++second) {
    fleet.tick(Duration{ 1000 });
    fleet.handle(UpstreamData{ call.exchange, "x" });
    CHECK(fleet.take<ReplyAbort>().empty());
  }
  fleet.tick(Duration{ 1000 });
  CHECK_EQUAL(1U, fleet.take<ReplyAbort>().size());
  CHECK(fleet.takeOne<CancelCall>().exchange == call.exchange);
  STRCMP_EQUAL(Fixture::event(1).c_str(), forwarded().c_str());
}

// Guards against continuing a stream with a run that starts at a different event.
TEST(GatewayStreams, rejectsAResumeAtAnotherEvent)
{
  fleet.call("/summary/1", 100, 50);
  const auto first = fleet.takeOne<StartCall>();
  fleet.head(first.exchange, 200, true);
  fleet.handle(UpstreamData{ first.exchange, Fixture::event(1) });
  fleet.handle(UpstreamError{ first.exchange, true, false, "reset" });
  const auto second = fleet.takeOne<StartCall>();
  forwarded();
  fleet.head(second.exchange, 200, true);
  fleet.handle(UpstreamData{ second.exchange, Fixture::event(1) });
  STRCMP_EQUAL("", forwarded().c_str());
  CHECK_EQUAL(1U, fleet.take<ReplyAbort>().size());
}

// Guards against the text of an error in the middle of a stream, against waiting for the end of that error, and against
// the stream ending as if it were complete: the upstream that should continue it answers with something else.
TEST(GatewayStreams, passesNoErrorOnWithinAStream)
{
  for (const std::int32_t status : { 500, 503, 404, 302, 200 }) {
    fleet.clearActions();
    const auto second = breakOff();
    fleet.head(second.exchange, status, false);
    fleet.handle(UpstreamData{ second.exchange, "id: 3\ndata: error\n\n" });
    CHECK_EQUAL(1U, fleet.take<ReplyAbort>().size());
    CHECK_EQUAL(1U, fleet.take<CancelCall>().size());
    CHECK(fleet.take<ReplyEnd>().empty());
    STRCMP_EQUAL("", forwarded().c_str());
  }
}

// Guards against a stream that broke off ending as if it were complete because the next upstream closes the connection
// before its first event, as one that crashes does. An answer with a length may have nothing left to bring.
TEST(GatewayStreams, endsAResumedStreamOnlyWhenItIsWhole)
{
  for (const bool untilClose : { false, true }) {
    fleet.clearActions();
    const auto second = breakOff();
    UpstreamHead head;
    head.exchange = second.exchange;
    head.status = 200;
    head.genuine = true;
    head.untilClose = untilClose;
    head.fields = { { "Content-Type", "text/event-stream" } };
    fleet.handle(head);
    fleet.handle(UpstreamEnd{ second.exchange });
    CHECK_EQUAL(untilClose ? 0U : 1U, fleet.take<ReplyEnd>().size());
    CHECK_EQUAL(untilClose ? 1U : 0U, fleet.take<ReplyAbort>().size());
  }
}

// Guards against an error's text that an upstream sends as an event without an id, where it should continue a stream;
// comments may come first.
TEST(GatewayStreams, resumesOnlyAtTheNextId)
{
  const auto second = breakOff();
  fleet.head(second.exchange, 200, true);
  fleet.handle(UpstreamData{ second.exchange, ": begin\n\n" });
  CHECK(fleet.take<ReplyAbort>().empty());
  fleet.handle(UpstreamData{ second.exchange, "data: error\n\n" });
  CHECK_EQUAL(1U, fleet.take<ReplyAbort>().size());
  STRCMP_EQUAL(": begin\n\n", forwarded().c_str());
}

// Guards against buffering an answer without limit when its caller reads slowly.
TEST(GatewayStreams, pausesWhileTheCallerReadsSlowly)
{
  const auto caller = fleet.call("/review/1", 100, 50);
  const auto call = fleet.takeOne<StartCall>();
  fleet.head(call.exchange, 200, true);
  const auto large = "id: 1\ndata: " + std::string(300000, 'x') + "\n\n";
  fleet.handle(UpstreamData{ call.exchange, large });
  CHECK(fleet.takeOne<PauseCall>().paused);
  fleet.handle(CallerDrained{ caller, 250000 });
  CHECK_FALSE(fleet.takeOne<PauseCall>().paused);
}

// Guards against waiting for an engine that answers nobody until the deadline.
TEST(GatewayStreams, leavesASilentEngine)
{
  fleet.call("/summary/1", 100, 50);
  const auto first = fleet.takeOne<StartCall>();
  fleet.tick(Duration{ 590 });
  CHECK(fleet.take<StartCall>().empty());
  fleet.tick(Duration{ 20 });
  CHECK(fleet.takeOne<CancelCall>().exchange == first.exchange);
  CHECK(first.upstreamId != fleet.takeOne<StartCall>().upstreamId);
}

// Load pattern: long prompts with a shared part. Guards against giving up a prompt that a working engine reads for an
// engine that has to read the shared part as well, which doubles the work.
TEST(GatewayStreams, keepsAPromptWithTheEngineThatReadsIt)
{
  fleet.call("/summary/1", 2000, 50);
  const auto first = fleet.takeOne<StartCall>();
  fleet.head(first.exchange, 200, true);
  fleet.handle(UpstreamData{ first.exchange, Fixture::event(1) });
  fleet.call("/summary/2", 2000, 50);
  const auto second = fleet.takeOne<StartCall>();
  STRCMP_EQUAL(first.upstreamId.c_str(), second.upstreamId.c_str());
  for (int i = 2; i < 17; ++i) {
    fleet.tick(Duration{ 100 });
    fleet.handle(UpstreamData{ first.exchange, Fixture::event(i) });
  }
  CHECK(fleet.take<CancelCall>().empty());
  CHECK(fleet.take<StartCall>().empty());
  const auto lines = fleet.take<Log>();
  CHECK_EQUAL(1, std::ranges::count(lines, "silent_call_kept", [](const Log& aLog) { return aLog.line.event; }));
}

// Guards against a second attempt that can't answer before the caller's deadline.
TEST(GatewayStreams, keepsASilentCallWithoutTimeForAnother)
{
  fleet.call("/summary/1", 4500, 50, Duration{ 700 });
  fleet.takeOne<StartCall>();
  fleet.tick(Duration{ 680 });
  CHECK(fleet.take<CancelCall>().empty());
  CHECK(fleet.take<StartCall>().empty());
}
