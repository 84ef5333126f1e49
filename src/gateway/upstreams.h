#pragma once

#include "prompt_cache.h"

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/gateway_messages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::gateway {

/// One upstream as this gateway sees it.
struct Upstream
{
  UpstreamEntry entry;
  bool listed = true;             ///< false: no longer in the platform's list
  bool evacuated = false;         ///< its data centre gets no new calls
  std::int64_t running = 0;       ///< calls of this gateway whose answer has not ended
  Tokens prefillTokens = 0;       ///< of its calls without a first event
  std::int64_t othersRunning = 0; ///< of all other gateways, as the leader last said
  Tokens othersPrefillTokens = 0; ///< likewise
  PromptCache cache;
  int failures = 0;     ///< in a row, to connect or by silence
  TimePoint avoidUntil; ///< no calls before, unless there is no other upstream
  double errorRate = 0; ///< smoothed share of calls that failed
  double slowness = 1;  ///< smoothed ratio of measured to expected times
  double latencyMs = 0; ///< plain services: smoothed time of a call; zero: none yet
  TimePoint decayedAt;
};

struct Upstreams
{
  std::map<std::string, Upstream> byId;
  std::uint64_t revision = 0; ///< of the list, as the leader names it; zero: read by this gateway itself
  TimePoint listedAt;         ///< when the platform was read
  bool received = false;
  std::set<DataCentre> evacuated; ///< their upstreams get no new calls
  std::uint64_t evacuationsRevision = 0;
};

/// Takes a list as a whole. Upstreams that are missing get no new calls and are forgotten once theirs have ended.
void
applyList(Upstreams& aUpstreams, const std::vector<UpstreamEntry>& aList, TimePoint aReadAt, TimePoint aNow);

/// Takes the sums over all other gateways.
void
applyOthers(Upstreams& aUpstreams, const std::vector<UpstreamUse>& aUses);

/// @return the calls of this gateway by upstream
std::vector<UpstreamUse>
reportCalls(const Upstreams& aUpstreams);

/// A call could not be made, or its upstream stays silent: avoid it for a time that grows with each failure in a row.
void
noteUnreachable(Upstream& aUpstream, TimePoint aNow);

/// A call ended.
/// @param aFailed the upstream failed it
void
noteAnswer(Upstream& aUpstream, bool aFailed, TimePoint aNow);

/// A first event or a whole plain answer came.
/// @param aExpected time that was expected for it
void
noteTime(Upstream& aUpstream, Duration aTaken, Duration aExpected, bool aEngine, TimePoint aNow);

/// Errors and slowness that were seen long ago say little about now; without this an upstream that gets no calls would
/// never be tried again.
void
decay(Upstream& aUpstream, TimePoint aNow);

/// Takes the data centres to evacuate, unless a later revision is held: a leader that was cut off may still answer.
/// @return whether they changed
bool
applyEvacuations(Upstreams& aUpstreams, const std::vector<DataCentre>& aDataCentres, std::uint64_t aRevision);

/// An upstream may take calls: it is listed, not leaving, and not in a data centre that is evacuated.
bool
usable(const Upstream& aUpstream) noexcept;

/// Drops those that are gone and have no calls left.
void
forgetGone(Upstreams& aUpstreams);

} // namespace rhubarbarch::gateway
