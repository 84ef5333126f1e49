#include "rhubarbarch/state/replicated_state.h"

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::state;

TEST_GROUP(Evacuations)
{
  ReplicatedState state;
  std::uint64_t index = 0;

  EvacuationOutcome set(const DataCentre& aDataCentre, bool aEvacuated)
  {
    const auto command = decodeCommand(encodeCommand(SetEvacuation{ aDataCentre, aEvacuated }));
    return std::get<EvacuationOutcome>(apply(state, command.value(), LogIndex{ ++index }));
  }
};

// Guards against a command that is sent again after its acknowledgement was lost being refused or changing the state.
TEST(Evacuations, repeatedCommandsChangeNothing)
{
  CHECK(set("a", true) == EvacuationOutcome::kChanged);
  CHECK(set("a", true) == EvacuationOutcome::kUnchanged);
  CHECK_EQUAL(1U, toNumber(state.evacuations.changedAt));
  CHECK(set("a", false) == EvacuationOutcome::kChanged);
  CHECK(set("a", false) == EvacuationOutcome::kUnchanged);
  CHECK(state.evacuations.dataCentres.empty());
  CHECK_EQUAL(3U, toNumber(state.evacuations.changedAt));
}

// Guards against evacuations being lost when a snapshot replaces their log entries.
TEST(Evacuations, surviveASnapshot)
{
  set("b", true);
  set("a", true);
  const auto restored = decode(encode(state));
  CHECK(restored.has_value());
  CHECK((restored.value().evacuations.dataCentres == std::vector<DataCentre>{ "a", "b" }));
  CHECK_EQUAL(2U, toNumber(restored.value().evacuations.changedAt));
}
