// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "crash_suspects.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::controller;

namespace {

const GatewayOptions kOptions;
constexpr TimePoint kStart{ Duration{ 1'000'000 } };

std::vector<BrokenAnswer>
broken(int aRequest, int aUpstream, std::vector<std::string> aSubjects)
{
  return { { "r" + std::to_string(aRequest), "e" + std::to_string(aUpstream), std::move(aSubjects), 0 } };
}

} // namespace

TEST_GROUP(CrashSuspects)
{
  CrashSuspects suspects;
  TimePoint now = kStart;

  void crash(int aRequest, int aUpstream, std::vector<std::string> aSubjects)
  {
    now += Duration{ 100 };
    recordCrashes(suspects, broken(aRequest, aUpstream, std::move(aSubjects)), now);
  }

  /// Crashes upstreams within a few milliseconds of each other, as when their rack loses power.
  void crashTogether(int aRequest, const std::vector<int>& aUpstreams, const std::vector<std::string>& aSubjects)
  {
    now += Duration{ 1000 };
    for (const auto upstream : aUpstreams) {
      now += Duration{ 5 };
      recordCrashes(suspects, broken(aRequest, upstream, aSubjects), now);
    }
  }

  std::string cause()
  {
    now += kOptions.crashSettleTime;
    return findCause(suspects, {}, kOptions, now);
  }
};

// Guards against a part that sound requests share with the crashing ones being taken for the cause.
TEST(CrashSuspects, findsThePartWithoutSoundAnswers)
{
  for (int i = 0; i < 3; ++i) {
    STRCMP_EQUAL("", cause().c_str());
    crash(i, i, { "system", "crashing" });
    recordSubjects(suspects, { { "system", 20, -1 } }, now);
  }
  STRCMP_EQUAL("crashing", cause().c_str());
}

// Guards against a part that was served soundly until it began to crash upstreams being passed over.
TEST(CrashSuspects, findsAPartThatWasSoundBefore)
{
  for (int i = 0; i < 3; ++i) {
    crash(i, i, { "system", "crashing" });
  }
  recordSubjects(suspects, { { "system", 350, -1 }, { "crashing", 900, -1 } }, now);
  STRCMP_EQUAL("crashing", cause().c_str());
}

// Guards against sound requests being quarantined after many upstreams crashed at once for another reason.
TEST(CrashSuspects, doesNotBlamePartsWithLaterSoundAnswers)
{
  for (int i = 0; i < 8; ++i) {
    crash(i, i, { "system", "session" + std::to_string(i) });
  }
  recordSubjects(suspects, { { "system", 0, -1 } }, now);
  STRCMP_EQUAL("", cause().c_str());
}

// Guards against all requests with a shared part being refused because one request is repeated again and again.
TEST(CrashSuspects, doesNotBlameAPartForRepeatsOfOneRequest)
{
  for (int i = 0; i < 5; ++i) {
    crash(1, i, { "part" });
  }
  STRCMP_EQUAL("", findCause(suspects, { "request/r1" }, kOptions, now + kOptions.crashSettleTime).c_str());
}

// Guards against a request that crashes the upstreams that run it being sent to one upstream after the other.
TEST(CrashSuspects, findsARepeatedRequest)
{
  for (int i = 0; i < 3; ++i) {
    STRCMP_EQUAL("", cause().c_str());
    crash(1, i, {});
    crash(10 + i, i, {});
  }
  STRCMP_EQUAL("request/r1", cause().c_str());
}

// Guards against a request being refused that failed with crashing upstreams and was then answered.
TEST(CrashSuspects, doesNotBlameARequestThatWasAnsweredLater)
{
  for (int i = 0; i < 3; ++i) {
    crash(1, i, {});
  }
  recordSubjects(suspects, { { "request/r1", 0, -1 } }, now);
  STRCMP_EQUAL("", cause().c_str());
}

// Guards against repeats of single requests hiding the part that they have in common.
TEST(CrashSuspects, findsThePartOfRepeatedRequests)
{
  for (int i = 0; i < 9; ++i) {
    crash(i / 3, i, { "system", "crashing" });
    recordSubjects(suspects, { { "system", 20, -1 } }, now);
  }
  STRCMP_EQUAL("crashing", cause().c_str());
}

// Guards against a popular request being refused because all upstreams of its service crashed while they ran it.
TEST(CrashSuspects, takesNoProofFromUpstreamsThatCrashTogether)
{
  crashTogether(1, { 1, 2, 3 }, { "part" });
  crashTogether(2, { 4, 5, 6, 7 }, { "part" });
  STRCMP_EQUAL("", cause().c_str());
}

// Guards against reports that arrive one after the other hiding that upstreams crashed together.
TEST(CrashSuspects, comparesTimesOfCrashesNotOfReports)
{
  for (int i = 0; i < 3; ++i) {
    now += Duration{ 200 };
    recordCrashes(suspects, { { "r1", "e" + std::to_string(i), {}, std::int64_t{ 200 } * i } }, now);
  }
  STRCMP_EQUAL("", cause().c_str());
}

// Guards against a request that crashes upstreams being let through for good because many callers send it at once.
TEST(CrashSuspects, findsARequestThatCrashesUpstreamsTogetherAgainAndAgain)
{
  for (int i = 0; i < 3; ++i) {
    STRCMP_EQUAL("", cause().c_str());
    crashTogether(1, { 10 * i, 10 * i + 1, 10 * i + 2 }, {});
  }
  STRCMP_EQUAL("request/r1", cause().c_str());
}

// Guards against two upstreams that crash by chance at the same time raising the number of crashes until a request is
// found.
TEST(CrashSuspects, countsTwoCrashesAtTheSameTime)
{
  crashTogether(1, { 1, 2 }, {});
  crash(1, 3, {});
  STRCMP_EQUAL("request/r1", cause().c_str());
}

// Guards against several requests that one crash broke off counting as several crashes.
TEST(CrashSuspects, countsACrashOnce)
{
  for (int i = 0; i < 5; ++i) {
    crash(i, 1, { "part" });
  }
  STRCMP_EQUAL("", cause().c_str());
}

// Guards against a part being blamed before gateways had the time to report sound answers.
TEST(CrashSuspects, waitsForReports)
{
  for (int i = 0; i < 3; ++i) {
    crash(i, i, { "crashing" });
  }
  STRCMP_EQUAL("", findCause(suspects, {}, kOptions, now).c_str());
  STRCMP_EQUAL("crashing", cause().c_str());
}

// Guards against one broken answer counting again in each poll that repeats it.
TEST(CrashSuspects, ignoresRepeatedReports)
{
  CHECK(recordCrashes(suspects, broken(1, 1, { "part" }), now));
  CHECK_FALSE(recordCrashes(suspects, broken(1, 1, { "part" }), now));
  CHECK_EQUAL(1U, suspects.crashes.size());
}

// Guards against shared parts being blamed for crashes that a quarantined part explains.
TEST(CrashSuspects, forgetsExplainedCrashes)
{
  for (int i = 0; i < 4; ++i) {
    crash(i, i, { "system", "crashing" });
  }
  expireCrashes(suspects, { "crashing" }, kOptions, now);
  STRCMP_EQUAL("", cause().c_str());
}

// Guards against subjects that nobody asks for any more staying in quarantine, and active ones leaving it.
TEST(CrashSuspects, releasesInactiveSubjects)
{
  CHECK(findInactive(suspects, { "a", "b" }, kOptions, now).empty());
  now += kOptions.quarantineTime / 2;
  recordSubjects(suspects, { { "b", -1, 0 } }, now);
  now += kOptions.quarantineTime / 2;
  const auto inactive = findInactive(suspects, { "a", "b" }, kOptions, now);
  CHECK_EQUAL(1U, inactive.size());
  STRCMP_EQUAL("a", inactive.front().c_str());
}

// Guards against reports of untrusted size filling the leader's memory.
TEST(CrashSuspects, boundsWhatItRemembers)
{
  for (int i = 0; i < 2000; ++i) {
    crash(i, i, { "s" + std::to_string(i) });
  }
  CHECK_COMPARE(suspects.crashes.size(), <=, 256U);
  CHECK_EQUAL(kOptions.maxSuspects, controller::suspects(suspects, kOptions, now).size());
  CHECK(controller::suspects(suspects, kOptions, now + kOptions.suspectTime).empty());
}
