#include "world.h"

#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using Step = std::array<std::uint32_t, 4>;

constexpr int kSequences = 1500;
constexpr int kSteps = 600;

} // namespace

int
main()
{
  const auto* seed = std::getenv("RHUBARBARCH_SEED");
  const std::string text = seed == nullptr ? "20261204" : seed;
  std::cout << "seed: " << text << '\n';
  setenv(
    "RC_PARAMS",
    ("seed=" + text + " max_success=" + std::to_string(kSequences) + " max_size=" + std::to_string(kSteps)).c_str(),
    1);
  const bool passed = rc::check("the ledger never frees what may be spent and bills each request once", [] {
    // Full-range numbers at every size, so that short sequences mix all kinds of steps too.
    const auto number = rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::container<Step>(number));
    rhubarbarch::fuzz::World world(1000);
    for (const auto& step : steps) {
      world.step(step[0], step[1], step[2], step[3]);
      world.check();
    }
  });
  return passed ? 0 : 1;
}
