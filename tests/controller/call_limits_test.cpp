#include "call_limits.h"

#include <limits>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::controller;

TEST_GROUP(CallLimits)
{
  GatewayOptions options;
  CallLimits limits;
  TimePoint now{ Duration{ 1'000'000 } };

  static LimitReport named(double aCallsPerSecond, Duration aAge = Duration{ 0 })
  {
    return { "e1", aCallsPerSecond, aAge.count(), -1, 0 };
  }

  static LimitReport unnamed(Duration aAge = Duration{ 0 })
  {
    return { "e1", 0, -1, aAge.count(), 0 };
  }

  void report(const LimitReport& aReport)
  {
    recordLimits(limits, { aReport }, now);
  }

  bool inForce()
  {
    return !permitCalls(limits, {}, options, now).empty();
  }

  std::int64_t request(std::int64_t aCalls)
  {
    const auto permits = permitCalls(limits, { { "e1", 0, -1, -1, aCalls } }, options, now);
    return permits.empty() ? -1 : permits[0].calls;
  }
};

// Guards against permitting more than the limit to many gateways that ask in turn, and against permitting far less.
TEST(CallLimits, permitTheRateOfTheLimit)
{
  report(named(3));
  std::int64_t calls = 0;
  for (int i = 0; i < 1000; ++i) {
    now += Duration{ 10 };
    calls += request(1);
  }
  CHECK_COMPARE(calls, <=, 30);
  CHECK_COMPARE(calls, >=, 28);
}

// Guards against a burst at an upstream after a time in which nobody called it.
TEST(CallLimits, doNotAccumulateUnusedCalls)
{
  report(named(4));
  CHECK_EQUAL(0, request(100));
  now += Duration{ 60'000 };
  CHECK_COMPARE(request(100), <=, 1);
}

// Guards against an answer without a limit that was sent before the limit was named ending it because its report is
// late.
TEST(CallLimits, endOnlyAfterLaterAnswersWithoutALimit)
{
  report(named(3));
  report(unnamed(Duration{ 500 }));
  CHECK(inForce());
  now += Duration{ 900 };
  report(unnamed());
  CHECK(inForce());
  now += Duration{ 200 };
  report(unnamed());
  CHECK_FALSE(inForce());
  report(named(3));
  CHECK(inForce());
}

// Guards against the report of a gateway that was told long ago bringing back a limit that has ended.
TEST(CallLimits, staleReportsDoNotRestoreALimit)
{
  report(named(3));
  now += Duration{ 2000 };
  report(unnamed());
  report(named(3, Duration{ 2000 }));
  CHECK_FALSE(inForce());
}

// Guards against the rate of an older answer replacing that of a newer one.
TEST(CallLimits, theLatestRateCounts)
{
  report(named(3));
  report(named(90, Duration{ 400 }));
  now += Duration{ 250 };
  CHECK_EQUAL(0, request(5));
}

// Guards against a limit of zero that no call could ever show to have ended.
TEST(CallLimits, permitACallNowAndThenAtARateOfZero)
{
  report(named(0));
  now += Duration{ 10'000 };
  CHECK_EQUAL(1, request(5));
  CHECK_EQUAL(0, request(5));
}

// Guards against one malformed report stopping the controller or lifting a limit.
TEST(CallLimits, ignoreMalformedReports)
{
  report(named(3));
  report(named(std::numeric_limits<double>::quiet_NaN()));
  report(named(std::numeric_limits<double>::infinity()));
  report(named(-5));
  now += Duration{ 5000 };
  CHECK_EQUAL(0, request(-7));
  CHECK_EQUAL(0, request(std::numeric_limits<std::int64_t>::min()));
  CHECK_COMPARE(request(std::numeric_limits<std::int64_t>::max()), <=, 1);
}

// Guards against limits of upstreams that are gone filling the leader's memory.
TEST(CallLimits, areForgottenWhenNoGatewayReportsThem)
{
  report(named(3));
  now += options.limitRetention;
  expireLimits(limits, options, now);
  CHECK(limits.empty());
}
