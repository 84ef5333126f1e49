#include "explain.h"

#include <algorithm>

namespace rhubarbarch::agent {

void
recordDecision(Step& aStep, const char* aEvent, const RunId& aRun, nlohmann::json aFields)
{
  auto& decisions = aStep.state.decisionLog.decisions;
  aFields["request"] = aRun.request;
  aFields["attempt"] = aRun.attempt;
  aStep.out.emplace_back(Log{ { Severity::kInfo, aEvent, aFields } });
  aFields["event"] = aEvent;
  aFields["agent"] = aStep.state.options.instance;
  // Ids come from peers and may contain invalid UTF-8.
  decisions.emplace_back(aRun.request, aFields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (decisions.size() > aStep.state.options.maxDecisions) {
    decisions.pop_front();
  }
}

void
onExplainQuery(Step& aStep, const Address& aFrom, const ExplainQuery& aQuery)
{
  ExplainReply reply;
  reply.number = aQuery.number;
  for (const auto& [request, text] : aStep.state.decisionLog.decisions) {
    if (request == aQuery.request) {
      reply.decisions.push_back(text);
    }
  }
  aStep.send(aFrom, std::move(reply));
}

} // namespace rhubarbarch::agent
