// Memory and time of the replicated state at several sizes: accounts, grants, charges, claims; snapshot size.

#include "rhubarbarch/state/replicated_state.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace rhubarbarch;
using namespace rhubarbarch::state;

namespace {

double
heapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

struct Runner
{
  ReplicatedState state;
  std::uint64_t index = 0;

  Outcome run(const Command& aCommand) { return apply(state, aCommand, LogIndex{ ++index }); }
};

std::string
planName(std::size_t aNumber)
{
  return "plan-" + std::to_string(aNumber);
}

void
listPlans(Runner& aRunner, std::size_t aCount)
{
  SetUses uses;
  uses.requestId = "request";
  for (std::size_t number = 0; number < aCount; ++number) {
    uses.uses.push_back({ planName(number), { "orders" }, { { "quill", {} } }, 1'000'000 });
  }
  aRunner.run(uses);
}

SessionId
openRouter(Runner& aRunner, const std::string& aName)
{
  OpenSession open;
  open.session.instance = aName;
  open.session.boot = Boot{ 1 };
  open.session.role = Role::kRouter;
  return std::get<SessionOutcome>(aRunner.run(open)).session;
}

/// Runs a body for each number and prints memory and time per item.
template<typename Body>
void
measure(const char* aWhat, std::size_t aCount, Body aBody)
{
  const auto before = heapBytes();
  const auto started = std::chrono::steady_clock::now();
  for (std::size_t number = 0; number < aCount; ++number) {
    aBody(number);
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - started;
  const auto items = static_cast<double>(aCount);
  std::printf("%-22s %9zu items %9.0f bytes/item %9.3f us/item\n",
              aWhat,
              aCount,
              (heapBytes() - before) / items,
              took.count() / items);
}

void
measureSize(std::size_t aAccounts)
{
  Runner runner;
  const auto before = heapBytes();
  const auto started = std::chrono::steady_clock::now();
  listPlans(runner, aAccounts);
  const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - started;
  std::printf("%-22s %9zu items %9.0f bytes/item %9.3f us/item\n",
              "list and account",
              aAccounts,
              (heapBytes() - before) / static_cast<double>(aAccounts),
              1000 * took.count() / static_cast<double>(aAccounts));
  const auto router = openRouter(runner, "r1");
  std::vector<GrantId> grants(aAccounts);
  measure("grant", aAccounts, [&](std::size_t aNumber) {
    const auto outcome = runner.run(IssueGrant{ router, 0, planName(aNumber), 1000, 1, {} });
    grants[aNumber] = std::get<IssueOutcome>(outcome).grant.grant;
  });
  measure("charge", aAccounts, [&](std::size_t aNumber) {
    runner.run(ChargeGrant{ grants[aNumber], { { "r1-0123456789abcdef-" + std::to_string(aNumber), 10 } } });
  });
  measure("claim", aAccounts / 10, [&](std::size_t aNumber) {
    TakeClaim take;
    take.claim.plan = planName(aNumber);
    take.claim.key = "key-" + std::to_string(aNumber);
    take.claim.bodyHash = std::string(64, 'a');
    take.claim.request = "r1-0123456789abcdef-" + std::to_string(aNumber);
    take.claim.agent = "agent-orders-1";
    runner.run(take);
  });
  const auto encodeStarted = std::chrono::steady_clock::now();
  const auto snapshot = encode(runner.state);
  const std::chrono::duration<double, std::milli> encoded = std::chrono::steady_clock::now() - encodeStarted;
  std::printf("%-22s %9zu bytes %9.1f ms\n", "snapshot", snapshot.size(), encoded.count());
}

} // namespace

int
main()
{
  for (const std::size_t accounts : { 1'000, 10'000, 100'000 }) {
    measureSize(accounts);
  }
  return 0;
}
