#include "state_builder.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using rhubarbarch::testing::StateBuilder;

TEST_GROUP(Claims)
{
  StateBuilder log;

  static Claim claim(const RequestId& aRequest, const std::string& aHash = "h")
  {
    return { "gold", "key", aHash, aRequest, 1, "a1", Boot{ 1 }, ClaimState::kRunning, {} };
  }

  state::ClaimOutcome take(const Claim& aClaim)
  {
    return log.apply<state::ClaimOutcome>(state::TakeClaim{ aClaim });
  }

  state::ClaimOutcome update(std::uint32_t aExpected, const Claim& aClaim)
  {
    return log.apply<state::ClaimOutcome>(state::UpdateClaim{ aExpected, aClaim, 1000 });
  }
};

// Guards against a non-idempotent request running twice, and against its key being used for another body.
TEST(Claims, onlyOneRequestClaimsAKey)
{
  CHECK(take(claim("q1")).status == ClaimStatus::kWon);
  CHECK(take(claim("q1")).status == ClaimStatus::kWon);
  const auto second = take(claim("q2"));
  CHECK(second.status == ClaimStatus::kExists);
  CHECK(second.claim.request == "q1");
  CHECK(take(claim("q3", "other")).status == ClaimStatus::kConflict);
}

// Guards against two routers starting one attempt each after both have confirmed that the run did not happen.
TEST(Claims, rebindsOnlyFromTheExpectedAttempt)
{
  take(claim("q1"));
  auto second = claim("q1");
  second.attempt = 2;
  second.agent = "a2";
  CHECK(update(1, second).status == ClaimStatus::kWon);
  CHECK(update(1, second).status == ClaimStatus::kWon);
  auto competing = second;
  competing.agent = "a3";
  const auto refused = update(1, competing);
  CHECK(refused.status == ClaimStatus::kExists);
  CHECK(refused.claim.agent == "a2");
}

// Guards against a stored outcome being replaced or a finished request being dispatched again.
TEST(Claims, finalStatesAreFinal)
{
  take(claim("q1"));
  auto done = claim("q1");
  done.state = ClaimState::kDone;
  done.answer = { 200, "text/plain", { "yes" }, false };
  CHECK(update(1, done).status == ClaimStatus::kWon);
  auto unknown = claim("q1");
  unknown.state = ClaimState::kUnknown;
  CHECK(update(1, unknown).status == ClaimStatus::kExists);
  auto again = claim("q1");
  again.attempt = 2;
  CHECK(update(1, again).status == ClaimStatus::kExists);
  CHECK(take(claim("q2")).claim.answer.body.data == "yes");
}

// Guards against large answers filling the replicated state.
TEST(Claims, storesLargeAnswersWithoutBody)
{
  take(claim("q1"));
  auto done = claim("q1");
  done.state = ClaimState::kDone;
  done.answer = { 201, "text/plain", { std::string(state::kMaxStoredBodyBytes + 1, 'x') }, false };
  const auto stored = update(1, done).claim.answer;
  CHECK(stored.body.data.empty());
  CHECK(stored.bodyOmitted);
  CHECK_EQUAL(201, stored.httpStatus);
}

// Guards against a running claim being removed, which would let its request run again.
TEST(Claims, onlyFinalClaimsExpire)
{
  take(claim("q1"));
  log.run(state::ExpireClaims{ 1'000'000 });
  CHECK(take(claim("q2")).status == ClaimStatus::kExists);
  auto done = claim("q1");
  done.state = ClaimState::kDone;
  update(1, done);
  log.run(state::ExpireClaims{ 1000 });
  CHECK(take(claim("q2")).status == ClaimStatus::kExists);
  log.run(state::ExpireClaims{ 1001 });
  CHECK(take(claim("q2")).status == ClaimStatus::kWon);
}

TEST_GROUP(Moves)
{
  StateBuilder log;

  state::MoveOutcome add(const std::string& aId, const VersionName& aVersion)
  {
    Move move;
    move.id = aId;
    move.model = "m";
    move.toVersion = aVersion;
    return log.apply<state::MoveOutcome>(state::AddMove{ move });
  }

  state::MoveOutcome step(MoveState aFrom, std::int32_t aFromPerMille, MoveState aTo, std::int32_t aToPerMille)
  {
    return log.apply<state::MoveOutcome>(state::StepMove{ "second", aFrom, aFromPerMille, aTo, aToPerMille, "", 5 });
  }
};

// Guards against traffic shares that do not add up, and against a rolled-back version retaining traffic.
TEST(Moves, sharesFollowTheMove)
{
  CHECK(add("first", "v1").move.state == MoveState::kDone);
  CHECK(add("second", "v2").move.fromVersion == "v1");
  CHECK(state::versionInForce(log.state.moves, "m") == "v1");
  step(MoveState::kPlanned, 0, MoveState::kStepping, 10);
  CHECK_EQUAL(10, log.state.moves.shares.at("m").front().perMille);
  CHECK_EQUAL(990, log.state.moves.shares.at("m").back().perMille);
  step(MoveState::kStepping, 10, MoveState::kTakenBack, 10);
  CHECK_EQUAL(1U, log.state.moves.shares.at("m").size());
  CHECK(log.state.moves.shares.at("m").front().version == "v1");
}

// Guards against a step of an earlier leader being applied after a newer one, and against a rolled-back move
// continuing.
TEST(Moves, stepsOnlyFromTheExpectedState)
{
  add("first", "v1");
  add("second", "v2");
  step(MoveState::kPlanned, 0, MoveState::kStepping, 10);
  CHECK_FALSE(step(MoveState::kPlanned, 0, MoveState::kStepping, 20).accepted);
  step(MoveState::kStepping, 10, MoveState::kTakenBack, 0);
  CHECK_FALSE(step(MoveState::kTakenBack, 0, MoveState::kStepping, 500).accepted);
}

// Guards against two active moves of one model, and against a repeated request starting a second move.
TEST(Moves, oneActiveMovePerModel)
{
  add("first", "v1");
  add("second", "v2");
  CHECK(add("third", "v3").code == ErrorCode::kConflict);
  CHECK(add("second", "v2").accepted);
  CHECK_EQUAL(2U, log.state.moves.moves.size());
}

// Guards against an order for an earlier state being executed after one for a later state.
TEST(Moves, fencingNumberRisesWithEveryChange)
{
  add("first", "v1");
  const auto before = log.state.moves.fence;
  add("second", "v2");
  const auto after = log.state.moves.fence;
  CHECK(after > before);
  log.run(state::RaiseFence{ 0 });
  CHECK(log.state.moves.fence > after);
}
