#pragma once

#include <utility>
#include <variant>

namespace rhubarbarch::daemon {

/// Calls a function with each action of a batch, in order, as its own type.
template<typename Actions, typename Run>
void
executeEach(Actions&& aActions, Run aRun)
{
  for (auto& action : aActions) {
    std::visit(aRun, std::move(action));
  }
}

} // namespace rhubarbarch::daemon
