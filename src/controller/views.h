#pragma once

#include "context.h"

#include <nlohmann/json.hpp>

namespace rhubarbarch::controller {

/// JSON bodies of the replies to operators.
nlohmann::json
listsView(const Lists& aLists);

nlohmann::json
instancesView(const Context& aContext);

nlohmann::json
moveView(const Move& aMove);

nlohmann::json
movesView(const state::Moves& aMoves);

/// @return null when the plan never had an account
nlohmann::json
planView(const state::ReplicatedState& aState, const PlanId& aPlan);

/// A request's claim and charge in the replicated state; null for each that does not exist.
nlohmann::json
requestView(const state::ReplicatedState& aState, const RequestId& aRequest);

/// @return `{"state", "target"}` of a rollout; the state is `running`, `succeeded` or `rolled_back`
nlohmann::json
rolloutView(const state::Rollout& aRollout);

} // namespace rhubarbarch::controller
