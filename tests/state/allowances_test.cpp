#include "rhubarbarch/state/replicated_state.h"

#include "seed.h"

#include <nlohmann/json.hpp>

#include <random>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::state;

TEST_GROUP(Allowances)
{
  ReplicatedState state;
  std::uint64_t index = 0;

  void setup() override
  {
    setBudget(1000);
  }

  void setBudget(Tokens aPrepaid)
  {
    RoutingTable table;
    table.version = static_cast<std::int64_t>(++index);
    table.plans = { { "gold", { "k" }, -1, aPrepaid } };
    apply(state, StoreRouting{ table, "source", std::to_string(index) }, LogIndex{ index });
  }

  SessionId open(const InstanceId& aInstance, std::uint64_t aBoot)
  {
    const auto outcome = apply(state, OpenGateway{ aInstance, Boot{ aBoot } }, LogIndex{ ++index });
    return std::get<GatewayOutcome>(outcome).session;
  }

  void report(SessionId aSession, Tokens aReturned, Tokens aSpent, Tokens aHold)
  {
    apply(state, ReportAllowances{ aSession, { { "gold", aReturned, aSpent, aHold } } }, LogIndex{ ++index });
  }

  Tokens heldTokens(SessionId aSession)
  {
    return held(state.allowances.sessions.at(aSession).allowances["gold"]);
  }

  Tokens unissuedTokens()
  {
    return unissued(state.allowances, "gold", prepaid(state.routing.table, "gold"));
  }
};

// Guards against gateways together being issued more than the budget.
TEST(Allowances, issuesNoMoreThanTheBudget)
{
  const auto first = open("g1", 1);
  const auto second = open("g2", 1);
  report(first, 0, 0, 700);
  report(second, 0, 0, 700);
  CHECK_EQUAL(700, heldTokens(first));
  CHECK_EQUAL(300, heldTokens(second));
  CHECK_EQUAL(0, unissuedTokens());
}

// Guards against a delayed or repeated report causing tokens to be issued a second time.
TEST(Allowances, repeatedReportsChangeNothing)
{
  const auto session = open("g1", 1);
  report(session, 0, 0, 500);
  report(session, 200, 100, 300);
  report(session, 0, 0, 300);
  CHECK_EQUAL(300, heldTokens(session));
  CHECK_EQUAL(700, unissuedTokens());
}

// Guards against a session returning more tokens than it was issued.
TEST(Allowances, returnsAtMostWhatWasIssued)
{
  const auto session = open("g1", 1);
  report(session, 0, 0, 500);
  report(session, 9999, 0, 0);
  CHECK_EQUAL(0, heldTokens(session));
  CHECK_EQUAL(1000, unissuedTokens());
}

// Guards against the tokens of a killed gateway being issued again: it may have spent all of them.
TEST(Allowances, leavesAKilledGatewaysTokensInDoubt)
{
  const auto first = open("g1", 1);
  report(first, 0, 0, 400);
  report(first, 0, 100, 400);
  const auto second = open("g1", 2);
  CHECK(second != first);
  CHECK_EQUAL(600, unissuedTokens());
  CHECK_EQUAL(100, state.allowances.closed["gold"].spent);
  CHECK_EQUAL(300, state.allowances.closed["gold"].inDoubt);
}

// Guards against a delayed message of an ended process ending the session of its successor.
TEST(Allowances, opensNoSessionForAnEndedBoot)
{
  open("g1", 1);
  const auto second = open("g1", 2);
  CHECK(open("g1", 1) == SessionId{});
  CHECK(open("g1", 2) == second);
}

// Guards against issuing tokens after the budget was lowered below the tokens that sessions hold.
TEST(Allowances, issuesNothingUnderALoweredBudget)
{
  const auto session = open("g1", 1);
  report(session, 0, 0, 500);
  setBudget(200);
  report(session, 0, 0, 600);
  CHECK_EQUAL(500, heldTokens(session));
  CHECK(unissuedTokens() < 0);
}

// Guards against a snapshot losing budgets or sessions.
TEST(Allowances, survivesASnapshot)
{
  const auto session = open("g1", 1);
  report(session, 0, 0, 400);
  report(session, 0, 100, 400);
  open("g1", 2);
  state = decode(encode(state)).value();
  CHECK_EQUAL(600, unissuedTokens());
  CHECK(open("g1", 1) == SessionId{});
}

// Guards against gateways exceeding the budget after any sequence of kills, reports and repeated reports.
TEST(Allowances, neverExceedsTheBudget)
{
  std::mt19937_64 random(testSeed());
  const auto draw = [&random](Tokens aMax) { return std::uniform_int_distribution<Tokens>(0, aMax)(random); };
  std::vector<std::uint64_t> boots(3, 1);
  std::vector<SessionId> sessions;
  sessions.reserve(boots.size());
  for (std::size_t i = 0; i < boots.size(); ++i) {
    sessions.push_back(open("g" + std::to_string(i), boots[i]));
  }
  for (int step = 0; step < 2000; ++step) {
    const auto i = static_cast<std::size_t>(draw(2));
    if (draw(50) == 0) {
      sessions[i] = open("g" + std::to_string(i), ++boots[i]);
    }
    report(sessions[static_cast<std::size_t>(draw(2))], draw(500), draw(500), draw(900));
    CHECK(unissuedTokens() >= 0);
  }
}

// Load pattern: 40 open requests of 200 prompt and at most 16,000 output tokens, each with one window of output. Guards
// against their commitments staying in doubt, and against commitments that outlive a snapshot or a session.
TEST(Allowances, leavesNoCommitmentInDoubt)
{
  setBudget(810000);
  const auto session = open("g1", 1);
  const auto hold = Tokens{ 40 } * (200 + 1024);
  const AllowanceReport large{ "gold", 0, 0, hold, Tokens{ 40 } * 16200 - hold };
  apply(state, ReportAllowances{ session, { large } }, LogIndex{ ++index });
  state = decode(encode(state)).value();
  CHECK_EQUAL(large.committed, state.allowances.sessions.at(session).allowances["gold"].committed);
  open("g1", 2);
  CHECK_EQUAL(hold, state.allowances.closed["gold"].inDoubt);
  CHECK_EQUAL(810000 - hold, unissuedTokens());
}

// Guards against log entries of the version before, which have no commitments, that no longer decode.
TEST(Allowances, decodesReportsWithoutCommitments)
{
  const auto report = nlohmann::json::parse(R"({"plan":"gold","spent":5,"hold":9})").get<AllowanceReport>();
  CHECK_EQUAL(9, report.hold);
  CHECK_EQUAL(0, report.committed);
}

TEST_GROUP(RoutingState)
{
  RoutingState state;

  RoutingOutcome storeDocument(std::int64_t aVersion, const char* aDigest)
  {
    RoutingTable table;
    table.version = aVersion;
    return store(state, { table, std::string("source ") + aDigest, aDigest });
  }
};

// Guards against an accepted document being replaced by an older one, or by other content with the same version.
TEST(RoutingState, keepsTheHighestVersion)
{
  CHECK(storeDocument(5, "a") == RoutingOutcome::kStored);
  CHECK(storeDocument(5, "a") == RoutingOutcome::kRepeated);
  CHECK(storeDocument(5, "b") == RoutingOutcome::kConflict);
  CHECK(storeDocument(4, "c") == RoutingOutcome::kStale);
  STRCMP_EQUAL("source a", state.source.c_str());
  CHECK(storeDocument(9, "d") == RoutingOutcome::kStored);
  STRCMP_EQUAL("source d", state.source.c_str());
}
