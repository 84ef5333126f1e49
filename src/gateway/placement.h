#pragma once

#include "upstreams.h"

#include "rhubarbarch/wire/routing.h"

#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::gateway {

/// What placement has to know of a request.
struct PlacementRequest
{
  const Service* service = nullptr;
  const std::vector<PromptPart>* prompt = nullptr; ///< engines only
  Tokens promptTokens = 0;                         ///< engines only
  Duration target{ 0 };                            ///< time to a first event that the operator aims at
  const std::set<std::string>* avoid = nullptr;    ///< upstreams that were tried already
  DataCentre dataCentre;                           ///< of this gateway
};

/// Where a request goes.
struct Placement
{
  Upstream* upstream = nullptr; ///< null: no upstream can take it
  Duration expected{ 0 };       ///< to the first event, of plain services to the answer
  Tokens missing = 0;           ///< prompt tokens that are probably not cached there
};

/// Chooses the upstream with the least expected time. Requests that share a prompt prefer one upstream, the same at all
/// gateways, as long as it answers well within the target: callers gain nothing from an earlier answer, and reading a
/// prompt once more takes an engine's time and memory from others.
/// Load pattern: many sessions with long shared prompts that arrive in clumps, a few of them hot.
Placement
place(Upstreams& aUpstreams, const PlacementRequest& aRequest, TimePoint aNow);

} // namespace rhubarbarch::gateway
