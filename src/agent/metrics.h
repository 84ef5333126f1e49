#pragma once

#include "rhubarbarch/base/metric.h"
#include "state.h"

namespace rhubarbarch::agent {

Metrics
metricsOf(const State& aState);

} // namespace rhubarbarch::agent
