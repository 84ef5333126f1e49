#pragma once

#include "upstreams.h"

#include "rhubarbarch/wire/routing.h"

#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::gateway {

/// The properties of a request that placement depends on.
struct PlacementRequest
{
  const Service* service = nullptr;
  const std::vector<PromptPart>* prompt = nullptr; ///< engines only
  Tokens promptTokens = 0;                         ///< engines only
  Duration target{ 0 };                            ///< target time to the first event, set by the operator
  const std::set<std::string>* avoid = nullptr;    ///< upstreams that were already tried; may be null
  DataCentre dataCentre;                           ///< of this gateway
};

/// The upstream chosen for a request.
struct Placement
{
  Upstream* upstream = nullptr; ///< null: no upstream can take the request
  Duration expected{ 0 };       ///< time to the first event; for plain services, to the answer
  Tokens uncachedTokens = 0;    ///< prompt tokens that this upstream has probably not cached
};

/// Chooses the upstream with the lowest cost, mostly its expected time. Requests that share a prompt prefer one
/// upstream, the same at all gateways, as long as it answers well within the target: callers gain nothing from a faster
/// answer, and reading a prompt again takes an engine's time and memory from other requests.
///
/// Load pattern: many sessions with long shared prompts that arrive in bursts, a few of them hot.
Placement
place(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow);

} // namespace rhubarbarch::gateway
