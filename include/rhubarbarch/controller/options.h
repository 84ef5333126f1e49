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
  std::int32_t advancePercent = 90; ///< part of a plan's free budget that is placed in advance
  Duration placementPeriod{ 1000 };
  std::int32_t tailRequests = 4; ///< below this many largest requests per holder the budget counts as nearly used up
  Duration holdTime{ 800 };      ///< longest wait for a recall before a request is answered
  Duration recallRepeat{ 300 };
  Duration recallPause{ 100 }; ///< an answered recall is not repeated within this time
  Duration demandKept{ 5000 }; ///< older reports on demand do not count
  Duration exhaustedRetry{ 30'000 };
  Duration heldRetry{ 1000 };
  Duration shortestRetry{ 200 }; ///< when runs in progress hold the tokens
  Duration longestRetry{ 10'000 };
};

/// Settings of the sessions controller.
struct SessionOptions
{
  Duration routerLost{ 5000 };
  Duration agentSilent{ 3000 };
  Duration fenceRepeat{ 500 };
  Duration agentRemoved{ 60'000 }; ///< silence after which an agent missing in the platform's list is removed
};

/// Settings of the moves controller.
struct MoveOptions
{
  Duration loadTime{ 60'000 };    ///< time to load a version at one upstream, from the weight store's rate
  std::int32_t parallelLoads = 4; ///< upstreams that load at the same time
  Duration shortestStep{ 2000 };
  Duration longestStep{ 300'000 };
  std::int32_t fewestSteps = 4; ///< a deadline that leaves less time than these shortest steps is refused
  std::int32_t firstPerMille = 10;
  Duration watchPeriod{ 300'000 };
  Duration unloadDelay{ 60'000 }; ///< runs that began before the end of a move may last this long
  Duration orderRepeat{ 2000 };
  std::int64_t fewestRequests = 20; ///< per route and window; fewer are not judged
  double errorMargin = 0.02;        ///< error rate above the old version's that counts as a fault
  double latencyMargin = 0.7;       ///< mean latency above the old version's that counts as a fault, in powers of two
};

/// Settings of the gateways controller.
struct GatewayOptions
{
  bool readUpstreams = false;    ///< the leader reads the platform's list for the gateways
  Duration readPeriod{ 400 };    ///< a fraction of the lag that platforms state for their list, about 800 ms
  Duration lost{ 3000 };         ///< a gateway silent for this long no longer counts among those that share limits
  Duration recallPause{ 40 };    ///< between two recalls of one gateway: some round trips
  Duration demandKept{ 1000 };   ///< a report of waiting requests older than some polls says nothing
  Duration reportPause{ 10 };    ///< between two batches of reports: each costs a sync on every disk
  Duration documentPause{ 800 }; ///< before a whole document is sent again: a poll period and a slow link
  std::size_t documentsKept = 8; ///< of which changes can be told; gateways that hold an older one get all
  Tokens nearEndDivisor = 16;    ///< what remains of a budget is told unasked below this part of it
};

/// Settings of the controller role.
struct ControllerOptions
{
  consensus::ReplicaOptions replica; ///< the instance and the list of controllers have no default
  GrantOptions grants;
  SessionOptions sessions;
  MoveOptions moves;
  GatewayOptions gateways;
  std::vector<DataCentre> dataCentres; ///< of the deployment; empty: not known, so that any name is taken
  std::size_t snapshotEntries = 4096;
  Duration explainTime{ 1000 };    ///< how long answers to an explain request are gathered
  Duration expirePeriod{ 60'000 }; ///< how often old claims are looked for
};

} // namespace rhubarbarch::controller
