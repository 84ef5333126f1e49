#pragma once

#include "rhubarbarch/upstream/upstreams.h"
#include "rhubarbarch/wire/routing.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::gateway {

using upstream::PromptPart;
using upstream::Upstream;
using upstream::Upstreams;

/// The properties of a request that placement depends on.
struct PlacementRequest
{
  const Service* service = nullptr;
  const std::vector<PromptPart>* prompt = nullptr; ///< engines only
  Tokens promptTokens = 0;                         ///< engines only
  Duration target{ 0 };                            ///< target time to the first event, set by the operator
  const std::set<std::string>* avoid = nullptr;    ///< upstreams that were already tried; may be null
  DataCentre dataCentre;                           ///< of this gateway
  std::mt19937_64* random = nullptr;               ///< engines: chooses among near-best ones; null: always the best
  /// Engines are rated by their learned times, and prompts go where they delay few and where their target is probably
  /// met.
  bool protectsPauses = true;
  bool addsDemand = true; ///< false: the request was placed before and counts already among those that need a permit
};

/// The upstream chosen for a request.
struct Placement
{
  Upstream* upstream = nullptr;    ///< null: no upstream can take the request
  Duration expected{ 0 };          ///< time to the first event; for plain services, to the answer
  Tokens uncachedTokens = 0;       ///< prompt tokens that this upstream has probably not cached
  upstream::EngineLoad load;       ///< engines: as the request finds it
  upstream::TimeEstimate estimate; ///< engines: learned time to the first event
  double readingMs = 0;            ///< engines: time to read the uncached tokens
  bool measurable = false;         ///< engines: the time to the first event follows from the load alone
  bool limited = false;            ///< upstreams could take the request, but their rate limits permit no call now
};

/// Chooses the upstream with the lowest cost, mostly its expected time. Requests that share a prompt prefer one
/// upstream, the same at all gateways, as long as it answers well within the target: callers gain nothing from a faster
/// answer, and reading a prompt again takes an engine's time and memory from other requests.
///
/// An upstream with a rate limit takes part only while the leader permits a call, and one that has asked for rest only
/// after it. Then a single call goes there, if there is a choice, until that is answered.
///
/// Load pattern: many sessions with long shared prompts that arrive in bursts, a few of them hot.
Placement
place(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow);

/// Refines the priority of a request at an engine by its slack, so that a short prompt with a near target is read
/// before a long one that waits. Requests of unlike priority keep their order: priority p becomes 2p or 2p + 1.
/// @param aReadingMs time to read the prompt
/// @param aLeft time until the target
/// @param aTypical typical product of both at the service, smoothed as a logarithm; zero: none yet
/// @return a priority of 0 to 9
std::int32_t
refinePriority(std::int32_t aPriority, double aReadingMs, Duration aLeft, double& aTypical);

/// @param aTried upstreams that must not be chosen again
/// @return whether an upstream may take a call to the service now
bool
hasCandidate(Upstreams& aUpstreams, const Service& aService, const std::set<std::string>& aTried, TimePoint aNow);

} // namespace rhubarbarch::gateway
