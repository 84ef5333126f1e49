#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/consensus/replica.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rhubarbarch::controller {

/// Settings of the grants controller.
struct GrantOptions
{
  std::int32_t advancePercent = 90; ///< percentage of a plan's free budget that is placed in advance
  Duration placementPeriod{ 1000 };
  std::int32_t nearEndRequests = 4; ///< below this many largest requests per holder, the budget counts as near its end
  Duration holdTime{ 800 };         ///< longest time that a request waits for a recall
  Duration recallRepeat{ 300 };
  Duration recallPause{ 100 };      ///< minimum time between the answer to a recall and the next recall
  Duration demandRetention{ 5000 }; ///< older reports of demand are ignored
  Duration exhaustedRetry{ 30'000 };
  Duration heldRetry{ 1000 };
  Duration shortestRetry{ 200 }; ///< while runs in progress hold the tokens
  Duration longestRetry{ 10'000 };
};

/// Settings of the sessions controller.
struct SessionOptions
{
  Duration routerTimeout{ 5000 };
  Duration agentTimeout{ 3000 };
  Duration fenceRepeat{ 500 };
  Duration agentRemovalTime{ 60'000 }; ///< without contact; only agents missing in the platform's list are removed
};

/// Settings of the moves controller.
struct MoveOptions
{
  Duration loadTime{ 60'000 };    ///< time to load a version at one upstream, from the weight store's rate
  std::int32_t parallelLoads = 4; ///< upstreams that load at the same time
  Duration shortestStep{ 2000 };
  Duration longestStep{ 300'000 };
  std::int32_t minSteps = 4; ///< a move needs time for this many shortest steps before its deadline
  std::int32_t firstPerMille = 10;
  Duration watchPeriod{ 300'000 };
  Duration unloadDelay{ 60'000 }; ///< longest run that may have started before the end of a move
  Duration orderRepeat{ 2000 };
  std::int64_t minRequests = 20; ///< per route and window; fewer are not evaluated
  double errorMargin = 0.02;     ///< error rate above the old version's that counts as a fault
  double latencyMargin = 0.7;    ///< mean latency above the old version's that counts as a fault, in powers of two
};

/// Settings of the gateways controller.
struct GatewayOptions
{
  bool readUpstreams = false;        ///< whether the leader reads the platform's list for the gateways
  Duration readPeriod{ 400 };        ///< a fraction of the lag that platforms specify for their list, about 800 ms
  Duration gatewayTimeout{ 3000 };   ///< gateways without contact for this long do not count among those sharing limits
  Duration recallPause{ 40 };        ///< between two recalls of one gateway: some network round trips
  Duration demandRetention{ 1000 };  ///< some poll periods; older reports of waiting requests are ignored
  Duration reportPause{ 10 };        ///< between two batches of reports; each batch costs a sync on every disk
  Duration documentPause{ 800 };     ///< before a complete document is sent again: a poll period and a slow transfer
  std::size_t documentsRetained = 8; ///< base versions of deltas; gateways with an older one get the complete document
  Tokens nearEndDivisor = 16;        ///< below 1/divisor of a budget, every answer includes the remaining tokens
  Duration limitRemovalDelay{ 1000 };  ///< a limit ends once answers without it are this much later than those with it
  Duration limitRetention{ 5000 };     ///< a limit that no gateway reports for this long is forgotten
  Duration permitBurst{ 250 };         ///< unused calls of a limit accumulate for this long
  std::size_t crashesToQuarantine = 3; ///< of different upstreams, by as many different requests with the subject
  Duration crashSettleTime{ 250 };     ///< over one poll: gateways report sound answers before a crash counts
  Duration crashRetention{ 600'000 };  ///< older crashes no longer count
  Duration quarantineTime{ 600'000 };  ///< a subject is released when no request has come for it for this long
  Duration suspectTime{ 30'000 };      ///< gateways report on the subjects of a crash for this long
  Duration quarantinePeriod{ 50 };     ///< between two decisions; a fraction of `crashSettleTime`
  std::size_t maxSuspects = 64;        ///< subjects that gateways are asked for at a time
};

/// Settings of the controller role.
struct ControllerOptions
{
  consensus::ReplicaOptions replica; ///< the instance and the list of controllers have no default
  GrantOptions grants;
  SessionOptions sessions;
  MoveOptions moves;
  GatewayOptions gateways;
  std::vector<DataCentre> dataCentres; ///< of the deployment; if empty, any name is accepted
  std::size_t snapshotEntries = 4096;
  Duration explainTime{ 1000 };    ///< how long an explain request waits for answers
  Duration expirePeriod{ 60'000 }; ///< between two searches for expired claims
};

} // namespace rhubarbarch::controller
