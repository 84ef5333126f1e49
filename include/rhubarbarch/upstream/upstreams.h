#pragma once

#include "rhubarbarch/upstream/call_limit.h"
#include "rhubarbarch/upstream/engine_model.h"
#include "rhubarbarch/upstream/prompt_cache.h"
#include "rhubarbarch/upstream/upstream_rest.h"

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::upstream {

/// State of one upstream at this gateway.
struct Upstream
{
  UpstreamEntry entry;
  bool listed = true;             ///< false: no longer in the platform's list
  bool evacuated = false;         ///< its data centre is evacuated and gets no new calls
  bool barred = false;            ///< a rollout of its service gives its version no calls
  std::int64_t running = 0;       ///< calls of this gateway in progress
  Tokens prefillTokens = 0;       ///< prompt tokens to read for this gateway's calls without a first event
  std::int64_t othersRunning = 0; ///< calls of all other gateways, last reported by the leader
  Tokens othersPrefillTokens = 0; ///< prompt tokens to read for those calls, last reported by the leader
  PromptCache cache;
  double slowness = 1;  ///< engines: smoothed ratio of measured to expected times
  EngineModel model;    ///< engines: learned time to the first event, relative to the service
  TimePoint answeredAt; ///< engines: last data of a stream to this gateway
  int failures = 0;     ///< consecutive connection failures and timeouts
  TimePoint avoidUntil; ///< no calls before this time, unless there is no other upstream
  double errorRate = 0; ///< smoothed fraction of calls that failed
  double latencyMs = 0; ///< plain services: smoothed time of a call; zero: not measured yet
  TimePoint decayedAt;
  CallLimit limit;
  UpstreamRest rest;
};

struct Upstreams
{
  std::map<std::string, Upstream> byId;
  std::map<std::string, ServiceModel> models; ///< of engines, by service
  std::uint64_t revision = 0; ///< of the leader's list; zero: this gateway read the list from the platform
  TimePoint listedAt;         ///< when the list was read from the platform
  bool received = false;
  std::set<DataCentre> evacuated; ///< data centres whose upstreams get no new calls
  std::uint64_t evacuationsRevision = 0;
  std::vector<RolloutRule> rollouts; ///< the newest of each service
  std::uint64_t rolloutsRevision = 0;
};

/// Replaces the list of upstreams unless it is older than the current one. Upstreams that are not in the list get no
/// new calls and are removed once their calls have ended.
void
applyList(Upstreams& aUpstreams, const std::vector<UpstreamEntry>& aList, TimePoint aReadAt, TimePoint aNow);

/// Applies the leader's sums of calls over all other gateways.
void
applyOthersUse(Upstreams& aUpstreams, const std::vector<UpstreamUse>& aUses);

/// @return the calls of this gateway in progress, by upstream
std::vector<UpstreamUse>
reportCalls(const Upstreams& aUpstreams);

/// Records that an upstream could not be reached or timed out. It is avoided for a time that grows with each
/// consecutive failure.
void
recordUnreachable(Upstream& aUpstream, TimePoint aNow);

/// Records the outcome of a call in the error rate.
/// @param aFailed whether the upstream failed the call
void
recordAnswer(Upstream& aUpstream, bool aFailed, TimePoint aNow);

/// Records that an upstream began to answer, and for plain services the time of the answer. The times of engines are
/// learned by their model.
void
recordTime(Upstream& aUpstream, Duration aTaken, bool aEngine, TimePoint aNow);

/// Records the time to a first event of an engine against the estimate made at placement.
void
recordSlowness(Upstream& aUpstream, Duration aTaken, Duration aExpected, TimePoint aNow);

/// Lets recorded errors and times decay, because old measurements say little about the present. Without this, an
/// upstream that gets no calls would never be tried again.
void
decay(Upstream& aUpstream, TimePoint aNow);

/// Applies the data centres to evacuate unless the revision is not newer: a partitioned former leader may still answer.
/// @return whether the revision was applied
bool
applyEvacuations(Upstreams& aUpstreams, const std::vector<DataCentre>& aDataCentres, std::uint64_t aRevision);

/// Applies the rollouts in force unless the revision is not newer: a partitioned former leader may still answer.
/// @return whether the revision was applied
bool
applyRollouts(Upstreams& aUpstreams, const std::vector<RolloutRule>& aRollouts, std::uint64_t aRevision);

/// @return whether the upstream may take calls: it is listed, not leaving, not in an evacuated data centre, and no
/// rollout bars its version
bool
usable(const Upstream& aUpstream) noexcept;

/// Removes the unlisted upstreams that have no calls in progress. One at rest stays, since it may be listed again.
void
removeUnlisted(Upstreams& aUpstreams, TimePoint aNow);

} // namespace rhubarbarch::upstream
