// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "role_loop.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::daemon;

namespace {

using Event = std::variant<int>;
using Actions = std::vector<int>;

/// Answers each event with one action.
class EchoRole
{
public:
  static Actions handle(const Event& aEvent, TimePoint /*aNow*/) { return { std::get<int>(aEvent) }; }
  static bool ready() { return true; }
  static Metrics metrics() { return {}; }
};

constexpr int kTick = -1;
constexpr std::size_t kEvents = 1000;

} // namespace

TEST_GROUP(RoleLoop){};

// Guards against answers to all events that waited during a pause being held at once, many times the memory of the
// events: a leader that was stopped by its disk ended at its memory limit.
TEST(RoleLoop, executesTheActionsOfManyWaitingEventsInBatches)
{
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t largest = 0;
  std::vector<int> seen;
  RoleLoop<EchoRole, Event, Actions> loop(
    "test",
    std::make_unique<EchoRole>(),
    [] { return Event{ kTick }; },
    [&](Actions&& aActions) {
      const std::scoped_lock lock(mutex);
      largest = std::max(largest, aActions.size());
      std::ranges::copy_if(aActions, std::back_inserter(seen), [](int aEach) { return aEach != kTick; });
      changed.notify_all();
    });
  for (std::size_t i = 0; i < kEvents; ++i) {
    loop.inbox().push(kFromPeers, Event{ static_cast<int>(i) });
  }
  loop.start({});
  std::unique_lock lock(mutex);
  CHECK(changed.wait_for(lock, std::chrono::seconds(20), [&] { return seen.size() == kEvents; }));
  CHECK(std::ranges::is_sorted(seen));
  CHECK_COMPARE(largest, <, 200U);
  lock.unlock();
  loop.stop();
}
