#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// Traffic share of a version that gets all traffic of its model, in thousandths.
inline constexpr std::int32_t kWholeShare = 1000;
/// Number of ended moves retained, to answer a repeated request and for display.
inline constexpr std::size_t kMaxEndedMoves = 256;

/// Version moves and the traffic shares that result from them.
struct Moves
{
  std::vector<Move> moves; ///< oldest first
  std::map<ModelName, std::vector<VersionShare>> shares;
  Revision revision{};
  FenceNumber fence{}; ///< sent with every order; rises with each change of a move and of the leader
};

/// Command: add a move, or set the first version of a model. `move.fromVersion` is set when the command is applied.
struct AddMove
{
  Move move;
};

/// Command: change a move if it still has the expected state and traffic share.
struct StepMove
{
  std::string id;
  MoveState expectedState = MoveState::kPlanned;
  std::int32_t expectedPerMille = 0;
  MoveState state = MoveState::kPlanned;
  std::int32_t perMille = 0;
  std::string reason;
  std::int64_t nowUnixMs = 0;
};

/// Command of a new leader: raise the fencing number above those of all orders of earlier leaders.
struct RaiseFence
{
  std::int64_t nowUnixMs = 0;
};

/// Outcome of AddMove and StepMove.
struct MoveOutcome
{
  bool accepted = false;
  ErrorCode code = ErrorCode::kConflict; ///< when not accepted
  std::string detail;                    ///< when not accepted
  Move move;
};

/// @return whether the move has not ended
bool
isActive(const Move& aMove) noexcept;

/// @return the version with the largest traffic share; empty for a model without versions
VersionName
versionInForce(const Moves& aMoves, const ModelName& aModel);

/// @return the move with this id; null if there is none
const Move*
findMove(const Moves& aMoves, const std::string& aId);

/// @return the move of the model that has not ended; null if there is none
const Move*
activeMove(const Moves& aMoves, const ModelName& aModel);

MoveOutcome
add(Moves& aMoves, const AddMove& aCommand, LogIndex aIndex);

MoveOutcome
step(Moves& aMoves, const StepMove& aCommand, LogIndex aIndex);

RHUBARBARCH_DECLARE_FIELDS(Moves)
RHUBARBARCH_DECLARE_FIELDS(AddMove)
RHUBARBARCH_DECLARE_FIELDS(StepMove)
RHUBARBARCH_DECLARE_FIELDS(RaiseFence)

} // namespace rhubarbarch::state
