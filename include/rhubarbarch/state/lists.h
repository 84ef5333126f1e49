#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/json_fields.h"

#include <deque>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// Number of operator requests per list whose outcome is stored, to answer a repeated request.
inline constexpr std::size_t kMaxStoredOutcomes = 256;

/// Command: replace the plans list if its revision is `expected`.
struct SetPlans
{
  std::string requestId;
  Revision expected{};
  std::vector<PlanEntry> plans;
};

/// Command: replace the uses list and the budgets in it if its revision is `expected`.
struct SetUses
{
  std::string requestId;
  Revision expected{};
  std::vector<UseEntry> uses;
  std::vector<RouteEntry> routes;
};

/// Outcome of SetPlans and SetUses. A repeated request gets the outcome of its first execution.
struct ListOutcome
{
  bool accepted = false;
  Revision revision{};                          ///< in force after the command
  ErrorCode code = ErrorCode::kInvalidArgument; ///< when not accepted
  std::string detail;                           ///< when not accepted
};

/// Stored outcome of one operator request.
struct RequestOutcome
{
  std::string requestId;
  ListOutcome outcome;
};

/// Both lists with the outcomes of recent requests.
struct ListsState
{
  Lists lists;
  std::deque<RequestOutcome> planOutcomes;
  std::deque<RequestOutcome> useOutcomes;
};

RHUBARBARCH_DECLARE_FIELDS(SetPlans)
RHUBARBARCH_DECLARE_FIELDS(SetUses)
RHUBARBARCH_DECLARE_FIELDS(ListOutcome)
RHUBARBARCH_DECLARE_FIELDS(RequestOutcome)
RHUBARBARCH_DECLARE_FIELDS(ListsState)

} // namespace rhubarbarch::state
