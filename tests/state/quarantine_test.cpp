// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "rhubarbarch/state/replicated_state.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::state;

TEST_GROUP(Quarantine){};

// Guards against a repeated command that looks like a change to gateways, and against a lost release.
TEST(Quarantine, addsAndReleasesSubjects)
{
  Quarantine quarantine;
  CHECK(apply(quarantine, { "part/b", true }, LogIndex{ 3 }) == QuarantineOutcome::kChanged);
  CHECK(apply(quarantine, { "part/a", true }, LogIndex{ 4 }) == QuarantineOutcome::kChanged);
  CHECK(apply(quarantine, { "part/b", true }, LogIndex{ 5 }) == QuarantineOutcome::kUnchanged);
  CHECK(quarantine.changedAt == LogIndex{ 4 });
  CHECK(isQuarantined(quarantine, "part/a"));
  CHECK(apply(quarantine, { "part/a", false }, LogIndex{ 6 }) == QuarantineOutcome::kChanged);
  CHECK_FALSE(isQuarantined(quarantine, "part/a"));
  CHECK(apply(quarantine, { "part/a", false }, LogIndex{ 7 }) == QuarantineOutcome::kUnchanged);
  CHECK(quarantine.changedAt == LogIndex{ 6 });
}

// Guards against a quarantine that grows without a bound when callers name ever new subjects.
TEST(Quarantine, dropsTheOldestSubjectWhenFull)
{
  Quarantine quarantine;
  for (std::uint64_t i = 0; i <= kMaxQuarantined; ++i) {
    apply(quarantine, { "part/" + std::to_string(1000 - i), true }, LogIndex{ i + 1 });
  }
  CHECK_EQUAL(kMaxQuarantined, quarantine.subjects.size());
  CHECK_FALSE(isQuarantined(quarantine, "part/1000"));
  CHECK(isQuarantined(quarantine, "part/999"));
}

// Guards against a quarantine that is lost when a controller restarts from its log or a snapshot.
TEST(Quarantine, survivesEncoding)
{
  const auto command = decodeCommand(encodeCommand(SetQuarantine{ "part/a", true }));
  CHECK(command.has_value());
  ReplicatedState state;
  apply(state, command.value(), LogIndex{ 9 });
  const auto decoded = decode(encode(state));
  CHECK(decoded.has_value());
  CHECK(isQuarantined(decoded.value().quarantine, "part/a"));
  CHECK(decoded.value().quarantine.changedAt == LogIndex{ 9 });
}
