#pragma once

#include "rhubarbarch/base/ids.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::router {

/// Recent decisions on all requests, oldest first, up to a limit.
struct Explanations
{
  std::deque<std::pair<RequestId, std::string>> entries;
};

/// Records a decision; removes the oldest one when there are already `aLimit` entries.
void
explain(Explanations& aExplanations, const RequestId& aRequest, const nlohmann::json& aDecision, std::size_t aLimit);

/// @return the decisions on one request, oldest first, each a JSON object as text
std::vector<std::string>
decisionsOn(const Explanations& aExplanations, const RequestId& aRequest);

} // namespace rhubarbarch::router
