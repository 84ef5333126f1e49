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

// Guards against an order that is sent again after a lost acknowledgement being refused or changing something.
TEST(Evacuations, repeatedOrdersChangeNothing)
{
  CHECK(set("a", true) == EvacuationOutcome::kChanged);
  CHECK(set("a", true) == EvacuationOutcome::kRepeated);
  CHECK_EQUAL(1U, toNumber(state.evacuations.changedAt));
  CHECK(set("a", false) == EvacuationOutcome::kChanged);
  CHECK(set("a", false) == EvacuationOutcome::kRepeated);
  CHECK(state.evacuations.dataCentres.empty());
  CHECK_EQUAL(3U, toNumber(state.evacuations.changedAt));
}

// Guards against evacuations that are lost with the log entries that a snapshot replaces.
TEST(Evacuations, surviveASnapshot)
{
  set("b", true);
  set("a", true);
  const auto restored = decode(encode(state));
  CHECK(restored.has_value());
  CHECK((restored.value().evacuations.dataCentres == std::vector<DataCentre>{ "a", "b" }));
  CHECK_EQUAL(2U, toNumber(restored.value().evacuations.changedAt));
}
