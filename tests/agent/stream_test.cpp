#include "agent_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::agent;

TEST_GROUP(Stream)
{
  Driver driver;
  const RunId run{ "r1-1-1", 1 };

  /// Starts a run with the given credit and sends the head of its answer.
  ExchangeId open(Driver & aDriver, std::uint64_t aCredit)
  {
    aDriver.start();
    auto dispatch = dispatchOf(run.request);
    dispatch.creditUntil = aCredit;
    aDriver.message(kRouter, dispatch);
    aDriver.head(aDriver.exchange());
    return aDriver.exchange();
  }
  /// Exceeds the pause timeout while the router stays in contact.
  void exceedPauseTimeout(Driver & aDriver)
  {
    aDriver.tick(testOptions().pauseTimeout / 2);
    aDriver.message(kRouter, Credit{ run, 11 });
    aDriver.tick(testOptions().pauseTimeout / 2);
  }
  Attach attach(std::uint64_t aOffset, std::uint64_t aCredit, SessionId aSession = kOtherSession)
  {
    return { run, kBoot, aSession, aOffset, aCredit };
  }
  static std::string text(std::size_t aBytes, char aFirst = 'a')
  {
    std::string result;
    for (std::size_t i = 0; i < aBytes; ++i) {
      result.push_back(static_cast<char>(aFirst + static_cast<char>(i % 23)));
    }
    return result;
  }
};

// Guards against memory growth with slow readers: no byte beyond the credit is sent, and the upstream is paused.
TEST(Stream, pausesTheUpstreamForASlowReader)
{
  const auto exchange = open(driver, 10);
  driver.data(exchange, text(110));
  CHECK_EQUAL(text(10), driver.answer(kRouter));
  CHECK(driver.actions<UpstreamPause>().empty());
  driver.data(exchange, "x");
  CHECK_EQUAL(1U, driver.actions<UpstreamPause>().size());
  driver.message(kRouter, Credit{ run, 90 });
  CHECK_EQUAL(1U, driver.actions<UpstreamContinue>().size());
  driver.message(kRouter, Credit{ run, 50 });
  driver.message(kOtherRouter, Credit{ run, 500 });
  CHECK_EQUAL(text(90), driver.answer(kRouter));
  driver.message(kRouter, Credit{ run, 200 });
  CHECK_EQUAL(text(110) + "x", driver.answer(kRouter));
}

// Guards against a long pause occupying engine memory, and against lost or duplicate bytes when the run is resumed.
TEST(Stream, resumesAtTheBytesHeldAfterALongPause)
{
  const auto exchange = open(driver, 10);
  driver.data(exchange, text(120));
  exceedPauseTimeout(driver);
  CHECK_EQUAL(1U, driver.actions<UpstreamCancel>().size());
  CHECK(driver.actions<UpstreamCancel>()[0].tellUpstream);
  driver.data(exchange, "late bytes of the cancelled exchange");
  driver.event(UpstreamError{ exchange, ExchangeFailure::kBroken, "" });
  driver.message(kRouter, Credit{ run, 120 });
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
  driver.message(kRouter, Credit{ run, 5000 });
  const auto starts = driver.actions<UpstreamStart>();
  CHECK_EQUAL(2U, starts.size());
  CHECK_EQUAL(120U, starts[1].resumeOffset);
  driver.head(starts[1].exchange);
  driver.data(starts[1].exchange, "\n" + kUsageTail);
  driver.event(UpstreamEnd{ starts[1].exchange });
  CHECK_EQUAL(text(120) + "\n" + kUsageTail, driver.answer(kRouter));
  CHECK_EQUAL(1U, driver.sent<RunHead>().size());
  CHECK_EQUAL(42, driver.last<RunDone>(kRouter).charge);
}

// Guards against a failed connection on resume being reported as a run that never ran.
TEST(Stream, retriesAResumeThatWasNotSent)
{
  const auto exchange = open(driver, 10);
  driver.data(exchange, text(120));
  exceedPauseTimeout(driver);
  driver.message(kRouter, Credit{ run, 5000 });
  driver.event(UpstreamError{ driver.exchange(), ExchangeFailure::kNotSent, "" });
  CHECK(driver.sent<DispatchRefused>().empty());
  driver.tick(testOptions().resumeRetryPeriod);
  CHECK_EQUAL(3U, driver.actions<UpstreamStart>().size());
  CHECK_EQUAL(120U, driver.actions<UpstreamStart>().back().resumeOffset);
  driver.head(driver.exchange(), 404, "application/json");
  CHECK(driver.last<RunDone>().outcome == RunOutcome::kFailed);
  CHECK_EQUAL(500, driver.last<RunDone>().charge);
}

// Guards against a request being sent to a plain service a second time because its reader was slow.
TEST(Stream, neverResumesAPlainService)
{
  auto options = testOptions();
  options.upstream.service = "orders";
  options.keepTotal = 50;
  Driver service{ options };
  service.start();
  auto dispatch = dispatchOf(run.request);
  dispatch.model.clear();
  dispatch.creditUntil = 10;
  service.message(kRouter, dispatch);
  service.head(service.exchange(), 200, "application/json");
  service.data(service.exchange(), text(120));
  service.tick(options.pauseTimeout * 2);
  CHECK(service.actions<UpstreamCancel>().empty());
  CHECK_EQUAL(1U, service.actions<UpstreamPause>().size());
  CHECK_EQUAL(1U, service.actions<UpstreamStart>().size());
}

// Guards against several slow readers together exceeding the buffer limit of the process.
TEST(Stream, suspendsTheRunWithMostUnsentBytesOverTheProcessLimit)
{
  auto options = testOptions();
  options.keepTotal = 150;
  Driver small{ options };
  const auto first = open(small, 0);
  auto dispatch = dispatchOf("r1-1-2");
  dispatch.creditUntil = 0;
  small.message(kRouter, dispatch);
  const auto second = small.exchange();
  small.head(second);
  small.data(first, text(90));
  small.data(second, text(70));
  const auto cancels = small.actions<UpstreamCancel>();
  CHECK_EQUAL(1U, cancels.size());
  CHECK(cancels[0].exchange == first);
}

// Guards against a second run, or an answer with a gap, when a caller retries at another router.
TEST(Stream, movesTheAnswerToAnotherRouter)
{
  const auto exchange = open(driver, 10);
  driver.data(exchange, text(50));
  driver.message(kOtherRouter, attach(0, 1000));
  CHECK(driver.last<RunStatus>(kOtherRouter).state == RunState::kRunning);
  CHECK(driver.last<RunStatus>(kRouter).moved);
  driver.message(kRouter, Credit{ run, 1000 });
  driver.data(exchange, text(50, 'b'));
  CHECK_EQUAL(text(50) + text(50, 'b'), driver.answer(kOtherRouter));
  CHECK_EQUAL(text(10), driver.answer(kRouter));
  CHECK_EQUAL(1U, driver.actions<UpstreamStart>().size());
  driver.event(UpstreamEnd{ exchange });
  // The first router still holds the reservation and needs the charge.
  CHECK_EQUAL(1U, driver.sent<RunDone>(kRouter).size());
  CHECK_EQUAL(1U, driver.sent<RunDone>(kOtherRouter).size());
}

// Guards against a fenced router that resumes after a process pause taking the answer from the caller's new router.
TEST(Stream, refusesAttachFromAFencedRouter)
{
  const auto exchange = open(driver, 10);
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  driver.message(kOtherRouter, attach(0, 1000));
  driver.message(kRouter, attach(0, 1000, kRouterSession));
  driver.data(exchange, text(50));
  CHECK_EQUAL(text(50), driver.answer(kOtherRouter));
  CHECK_EQUAL("", driver.answer(kRouter));
}

// Guards against an answer with a gap when the requested bytes were discarded.
TEST(Stream, reportsUnknownWhenBytesWereDiscarded)
{
  auto options = testOptions();
  options.maxBufferedBytesPerRun = 1000;
  Driver small{ options };
  const auto exchange = open(small, 200000);
  small.data(exchange, text(80000));
  CHECK_EQUAL(text(80000), small.answer(kRouter));
  small.message(kOtherRouter, attach(0, 1000));
  CHECK(small.last<RunStatus>(kOtherRouter).state == RunState::kUnknown);
  CHECK_EQUAL("", small.answer(kOtherRouter));
  // Bytes that the first router may not have received yet are still buffered.
  small.clear();
  small.message(kRouter, attach(80000 - options.window, 200000, kRouterSession));
  CHECK_EQUAL(text(80000).substr(80000 - options.window), small.answer(kRouter, 80000 - options.window));
}

// Guards against a run stalling without credit after its router failed, which would leave a retry without an answer.
TEST(Stream, keepsReadingWithoutAReceiver)
{
  const auto exchange = open(driver, 10);
  driver.data(exchange, text(120));
  CHECK_EQUAL(1U, driver.actions<UpstreamPause>().size());
  driver.message(kController, FenceSession{ LogIndex{ 90 }, kRouterSession });
  driver.tick(kTickPeriod);
  CHECK_EQUAL(1U, driver.actions<UpstreamContinue>().size());
}

// Guards against RunDone being sent before the last byte, and against its loss.
TEST(Stream, repeatsTheEndAfterTheLastByteUntilAcknowledged)
{
  const auto exchange = open(driver, 10);
  driver.data(exchange, text(20));
  driver.event(UpstreamEnd{ exchange });
  CHECK(driver.sent<RunDone>().empty());
  driver.message(kRouter, Credit{ run, 20 });
  CHECK_EQUAL(1U, driver.sent<RunDone>().size());
  driver.tick(testOptions().doneResendPeriod);
  CHECK_EQUAL(2U, driver.sent<RunDone>().size());
  driver.message(kRouter, RunDoneAck{ run });
  driver.tick(testOptions().doneResendPeriod);
  CHECK_EQUAL(2U, driver.sent<RunDone>().size());
}

// Guards against suspending a run for memory that buffered answers of finished runs occupy.
TEST(Stream, discardsFinishedAnswersBeforeItSuspendsARun)
{
  auto options = testOptions();
  options.keepTotal = 150;
  Driver small{ options };
  const auto exchange = open(small, 1000);
  small.data(exchange, text(100));
  small.event(UpstreamEnd{ exchange });
  small.message(kRouter, RunDoneAck{ run });
  small.message(kRouter, ChargeSettled{ run });
  auto dispatch = dispatchOf("r1-1-2");
  dispatch.creditUntil = 0;
  small.message(kRouter, dispatch);
  small.head(small.exchange());
  small.data(small.exchange(), text(90));
  CHECK(small.actions<UpstreamCancel>().empty());
  small.message(kOtherRouter, attach(0, 1000));
  CHECK(small.last<RunStatus>(kOtherRouter).state == RunState::kUnknown);
  small.message(kOtherRouter, attach(100, 1000));
  CHECK_EQUAL(100U, small.last<RunDone>(kOtherRouter).totalBytes);
}
