#include "rhubarbarch/state/moves.h"

#include <algorithm>

namespace rhubarbarch::state {

namespace {

MoveOutcome
refused(ErrorCode aCode, std::string aDetail)
{
  return { false, aCode, std::move(aDetail), {} };
}

void
advanceRevision(Moves& aMoves, LogIndex aIndex)
{
  aMoves.revision = Revision{ toNumber(aIndex) };
  aMoves.fence = FenceNumber{ toNumber(aIndex) };
}

void
setShares(Moves& aMoves, const Move& aMove)
{
  auto& shares = aMoves.shares[aMove.model];
  shares.clear();
  if (aMove.perMille > 0) {
    shares.push_back({ aMove.model, aMove.toVersion, aMove.perMille });
  }
  if (aMove.perMille < kWholeShare) {
    shares.push_back({ aMove.model, aMove.fromVersion, kWholeShare - aMove.perMille });
  }
}

void
removeOldestEnded(Moves& aMoves)
{
  const auto ended = std::ranges::count_if(aMoves.moves, [](const Move& aMove) { return !isActive(aMove); });
  if (static_cast<std::size_t>(ended) <= kMaxEndedMoves) {
    return;
  }
  aMoves.moves.erase(std::ranges::find_if(aMoves.moves, [](const Move& aMove) { return !isActive(aMove); }));
}

} // namespace

bool
isActive(const Move& aMove) noexcept
{
  return aMove.state != MoveState::kDone && aMove.state != MoveState::kTakenBack;
}

VersionName
versionInForce(const Moves& aMoves, const ModelName& aModel)
{
  const auto found = aMoves.shares.find(aModel);
  if (found == aMoves.shares.end() || found->second.empty()) {
    return {};
  }
  return std::ranges::max_element(found->second, {}, &VersionShare::perMille)->version;
}

const Move*
findMove(const Moves& aMoves, const std::string& aId)
{
  const auto found = std::ranges::find(aMoves.moves, aId, &Move::id);
  return found == aMoves.moves.end() ? nullptr : &*found;
}

const Move*
activeMove(const Moves& aMoves, const ModelName& aModel)
{
  const auto found =
    std::ranges::find_if(aMoves.moves, [&](const Move& aMove) { return aMove.model == aModel && isActive(aMove); });
  return found == aMoves.moves.end() ? nullptr : &*found;
}

MoveOutcome
add(Moves& aMoves, const AddMove& aCommand, LogIndex aIndex)
{
  if (const auto* earlier = findMove(aMoves, aCommand.move.id)) {
    return { true, {}, {}, *earlier };
  }
  auto move = aCommand.move;
  if (const auto* active = activeMove(aMoves, move.model)) {
    return refused(ErrorCode::kConflict, "move '" + active->id + "' of model '" + move.model + "' has not ended");
  }
  move.fromVersion = versionInForce(aMoves, move.model);
  if (move.fromVersion == move.toVersion) {
    return refused(ErrorCode::kConflict, "version '" + move.toVersion + "' is already in force");
  }
  const bool first = move.fromVersion.empty();
  move.state = first ? MoveState::kDone : MoveState::kPlanned;
  move.perMille = first ? kWholeShare : 0;
  setShares(aMoves, move);
  aMoves.moves.push_back(move);
  advanceRevision(aMoves, aIndex);
  removeOldestEnded(aMoves);
  return { true, {}, {}, move };
}

MoveOutcome
step(Moves& aMoves, const StepMove& aCommand, LogIndex aIndex)
{
  const auto found = std::ranges::find(aMoves.moves, aCommand.id, &Move::id);
  if (found == aMoves.moves.end()) {
    return refused(ErrorCode::kNotFound, "no move '" + aCommand.id + "'");
  }
  auto& move = *found;
  if (!isActive(move) || move.state != aCommand.expectedState || move.perMille != aCommand.expectedPerMille) {
    return { false, ErrorCode::kConflict, "the move has changed", move };
  }
  move.state = aCommand.state;
  move.perMille = aCommand.state == MoveState::kTakenBack ? 0 : std::clamp(aCommand.perMille, 0, kWholeShare);
  move.reason = aCommand.reason;
  move.changedUnixMs = aCommand.nowUnixMs;
  setShares(aMoves, move);
  advanceRevision(aMoves, aIndex);
  const auto outcome = MoveOutcome{ true, {}, {}, move };
  removeOldestEnded(aMoves);
  return outcome;
}

} // namespace rhubarbarch::state
