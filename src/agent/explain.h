#pragma once

#include "state.h"

namespace rhubarbarch::agent {

/// Records a decision for ExplainQuery and writes it to the log.
/// @param aEvent short snake_case name
/// @param aFields details; the function adds the request and the attempt
void
recordDecision(Step& aStep, const char* aEvent, const RunId& aRun, nlohmann::json aFields);

void
onExplainQuery(Step& aStep, const Address& aFrom, const ExplainQuery& aQuery);

} // namespace rhubarbarch::agent
