// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "memory_watch.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::daemon;

namespace {

constexpr std::size_t kLimit = 800;

Metrics
figures()
{
  return { { "rhubarbarch_peer_queued_bytes", "", 300 },
           { "rhubarbarch_ring_events", "role=\"controller\"", 12 },
           { "rhubarbarch_peer_frames_sent_total", "", 9 },
           { "rhubarbarch_memory_charged_bytes", "", 0 } };
}

} // namespace

TEST_GROUP(MemoryWatch)
{
  MemoryWatch watch{ kLimit };

  bool reports(std::size_t aResident)
  {
    return watch.check(aResident, figures).has_value();
  }
};

// Guards against a process that ends at its memory limit without a line that says what held the memory.
TEST(MemoryWatch, namesWhatIsHeldNearTheLimit)
{
  const auto line = watch.check(500, figures).value_or(LogLine{});
  STRCMP_EQUAL("memory_high", line.event.c_str());
  CHECK_EQUAL(2U, line.fields["held"].size());
  DOUBLES_EQUAL(300, line.fields["held"]["rhubarbarch_peer_queued_bytes"].get<double>(), 0);
  DOUBLES_EQUAL(12, line.fields["held"]["rhubarbarch_ring_events{role=\"controller\"}"].get<double>(), 0);
}

// Guards against a log that a process near its limit fills by itself.
TEST(MemoryWatch, reportsEachStepOnce)
{
  CHECK_FALSE(reports(399));
  CHECK(reports(400));
  CHECK_FALSE(reports(450));
  CHECK(reports(600));
  CHECK_FALSE(reports(500));
  CHECK_FALSE(reports(399));
  CHECK(reports(410));
}

// Guards against a report where no limit is known.
TEST(MemoryWatch, reportsNothingWithoutALimit)
{
  MemoryWatch unlimited{ 0 };
  CHECK_FALSE(unlimited.check(1'000'000, figures).has_value());
}

// Guards against a figure that is read in the wrong unit.
TEST(MemoryWatch, readsTheProcess)
{
  CHECK(residentBytes() > 500'000);
  CHECK(residentBytes() < std::size_t{ 4 } * 1024 * 1024 * 1024);
}
