// Drives a small fleet of all roles through random requests, list changes and faults and checks it against an oracle.
//
// RHUBARBARCH_SEED sets the seed, RHUBARBARCH_FUZZ_RUNS the number of command sequences (default kDefaultRuns).

#include "world.h"

#include "seed.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>

using namespace rhubarbarch;
using namespace rhubarbarch::fuzz;

namespace {

constexpr int kDefaultRuns = 40;
constexpr int kLargestSequence = 80;

constexpr std::array kKindNames = { "advance", "modelCall", "order",    "retry", "otherBody", "topUp",
                                    "toggle",  "race",      "resend",   "cut",   "isolate",   "cutAgent",
                                    "heal",    "kill",      "restart",  "pause", "resume",    "loseDisk",
                                    "loss",    "drain",     "shutDown", "leave" };

/// What the preconditions need to know of the commands before.
struct Model
{
  int orders = 0;
  int changes = 0;
};

class FleetCommand : public rc::state::Command<Model, World>
{
public:
  explicit FleetCommand(const Step& aStep)
    : mStep(aStep)
  {
  }

  void checkPreconditions(const Model& aModel) const override
  {
    RC_PRE(aModel.orders > 0 || (mStep.kind != Kind::kRetry && mStep.kind != Kind::kOtherBody));
    RC_PRE(aModel.changes > 0 || mStep.kind != Kind::kResend);
  }

  void apply(Model& aModel) const override
  {
    aModel.orders += mStep.kind == Kind::kOrder ? 1 : 0;
    aModel.changes += mStep.kind == Kind::kTopUp || mStep.kind == Kind::kRace ? 1 : 0;
  }

  void run(const Model& /*aModel*/, World& aWorld) const override { aWorld.perform(mStep); }

  void show(std::ostream& aStream) const override
  {
    aStream << kKindNames.at(static_cast<std::size_t>(mStep.kind)) << "(" << mStep.a << "," << mStep.b << ")";
  }

private:
  Step mStep;
};

using CommandPointer = std::shared_ptr<const rc::state::Command<Model, World>>;

rc::Gen<CommandPointer>
commands(const Model& /*aModel*/)
{
  const auto kind = rc::gen::weightedElement<Kind>(
    { { 10, Kind::kAdvance },  { 10, Kind::kModelCall }, { 6, Kind::kOrder },         { 5, Kind::kRetry },
      { 1, Kind::kOtherBody }, { 3, Kind::kTopUp },      { 1, Kind::kTogglePlan },    { 1, Kind::kRace },
      { 2, Kind::kResend },    { 2, Kind::kCutRouter },  { 1, Kind::kCutController }, { 2, Kind::kCutAgent },
      { 4, Kind::kHeal },      { 4, Kind::kKill },       { 9, Kind::kRestart },       { 2, Kind::kPause },
      { 6, Kind::kResume },    { 1, Kind::kLoseDisk },   { 1, Kind::kLoss },          { 3, Kind::kDrain },
      { 1, Kind::kShutDown },  { 1, Kind::kLeave } });
  const auto step = rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                         rc::gen::set(&Step::a, rc::gen::resize(100, rc::gen::inRange(0U, 60U))),
                                         rc::gen::set(&Step::b, rc::gen::resize(100, rc::gen::inRange(0U, 60U))));
  return rc::gen::map(step, [](const Step& aStep) -> CommandPointer { return std::make_shared<FleetCommand>(aStep); });
}

} // namespace

int
main()
{
  // NOLINTBEGIN(concurrency-mt-unsafe)
  const char* runsText = std::getenv("RHUBARBARCH_FUZZ_RUNS");
  const std::string runs = runsText == nullptr ? std::to_string(kDefaultRuns) : runsText;
  const auto seed = std::to_string(testSeed());
  std::cout << "seed " << seed << ", " << runs << " runs\n" << std::flush;
  const auto parameters = "seed=" + seed + " max_success=" + runs + " max_size=" + std::to_string(kLargestSequence);
  setenv("RC_PARAMS", parameters.c_str(), 0);
  // NOLINTEND(concurrency-mt-unsafe)

  const bool holds = rc::check("a fleet keeps its promises under faults", [] {
    const auto fleetSeed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const auto sequence = *rc::state::gen::commands(Model{}, commands);
    try {
      World world(fleetSeed);
      rc::state::runAll(sequence, Model{}, world);
      world.finish();
    } catch (const Violation& violation) {
      RC_FAIL(violation.what());
    }
  });
  return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}
