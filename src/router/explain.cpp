#include "explain.h"

#include <nlohmann/json.hpp>

namespace rhubarbarch::router {

void
explain(Explanations& aExplanations, const RequestId& aRequest, const nlohmann::json& aDecision, std::size_t aLimit)
{
  if (aExplanations.entries.size() >= aLimit) {
    aExplanations.entries.pop_front();
  }
  aExplanations.entries.emplace_back(aRequest,
                                     aDecision.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::vector<std::string>
decisionsOn(const Explanations& aExplanations, const RequestId& aRequest)
{
  std::vector<std::string> decisions;
  for (const auto& [request, decision] : aExplanations.entries) {
    if (request == aRequest) {
      decisions.push_back(decision);
    }
  }
  return decisions;
}

} // namespace rhubarbarch::router
