#include "filters.h"

#include "finish.h"
#include "rhubarbarch/router/hash.h"
#include "runs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace rhubarbarch::router {

namespace {

static_assert(std::ranges::all_of(kFilterChain, [](const Filter& aFilter) {
  return &kFilterChain.at(static_cast<std::size_t>(aFilter.stage)) == &aFilter;
}));

/// Upper bound of the Retry-After during a shutdown; another router can serve the request immediately.
constexpr Duration kLeavingRetry{ 1000 };
constexpr Duration kBusyRetry{ 1000 };

Refusal
badRequest(std::string aError, std::string aMessage)
{
  return { 400, std::move(aError), std::move(aMessage), Ran::kNo, {} };
}

/// @return the refusal when the process cannot accept a request now
std::optional<Refusal>
rejectionReason(State& aState, const CallerRequest& aCall)
{
  if (aState.leaving) {
    const Duration retry{ 1 + static_cast<Duration::rep>(aState.random() % kLeavingRetry.count()) };
    return Refusal{ 503, "shutting_down", "this router is shutting down", Ran::kNo, retry };
  }
  if (!aState.config.held) {
    return Refusal{ 503, "no_configuration", "this router holds no configuration yet", Ran::kNo, kBusyRetry };
  }
  if (aState.requests.size() >= aState.options.maxRequests ||
      aState.pendingClaims.size() >= aState.options.maxPendingClaims ||
      aState.heldBytes + aCall.body.size() > aState.options.maxHeldBytes) {
    return Refusal{ 503, "overloaded", "this router holds as many requests as it can", Ran::kNo, kBusyRetry };
  }
  return std::nullopt;
}

Outcome
authoriseService(State& aState, Request& aRequest)
{
  if (!mayUseService(aState.config, aRequest.plan, aRequest.route.service)) {
    return Refusal{ 403, "service_not_in_plan", "the plan may not use this service", Ran::kNo, {} };
  }
  aRequest.worstCase = aRequest.route.flatTokens;
  return Continue{};
}

Outcome
authoriseModel(State& aState, Request& aRequest)
{
  if (aRequest.call.method != "POST") {
    return badRequest("method_not_supported", "model routes accept POST only");
  }
  auto call = parseModelCall(aRequest.call.body, aState.options);
  if (!call) {
    return badRequest("invalid_body", call.error().detail);
  }
  aRequest.model = std::move(call.value());
  const ModelUse* use = findModelUse(aState.config, aRequest.plan, aRequest.model.model);
  if (use == nullptr) {
    return Refusal{ 403, "model_not_in_plan", "the plan may not use this model", Ran::kNo, {} };
  }
  aRequest.allowedVersions = use->versions;
  aRequest.worstCase = aRequest.model.promptTokens + aRequest.model.maxTokens;
  return Continue{};
}

/// Requests the tokens that the oldest waiting request of the plan needs, unless a GrantRequest is pending. The leader
/// could refuse a larger amount although the budget covers the request itself.
void
requestTokens(State& aState, const Request& aRequest)
{
  PlanAccount& account = aState.grants.plans[aRequest.plan];
  if (!account.pendingRequest && aState.now >= account.nextRequestAt) {
    account.pendingRequest = PendingGrantRequest{ aState.grants.nextNumber++, aRequest.worstCase, aState.now };
  }
}

Refusal
noTokensRefusal(const Request& aRequest)
{
  if (aRequest.heldElsewhere) {
    return *aRequest.heldElsewhere;
  }
  return { 503, "ledger_unreachable", "no tokens at this router and no answer from the ledger", Ran::kNo, kBusyRetry };
}

} // namespace

bool
waitExpired(const State& aState, Request& aRequest, Duration aLimit)
{
  if (!aRequest.waitingSince) {
    aRequest.waitingSince = aState.now;
  }
  return aState.now - *aRequest.waitingSince >= aLimit;
}

Outcome
identify(State& aState, Request& aRequest)
{
  const auto found = aState.config.planByKeyHash.find(sha256Hex(aRequest.call.apiKey));
  if (aRequest.call.apiKey.empty() || found == aState.config.planByKeyHash.end()) {
    return Refusal{ 401, "unknown_key", "the API key is missing or unknown", Ran::kNo, {} };
  }
  aRequest.plan = found->second;
  aRequest.call.apiKey.clear();
  const auto priority = aState.config.priorities.find(aRequest.plan);
  aRequest.priority = priority == aState.config.priorities.end() ? Priority::kChat : priority->second;
  return Continue{};
}

Outcome
authorise(State& aState, Request& aRequest)
{
  const RouteEntry* route = findRoute(aState.config, aRequest.call.path);
  if (route == nullptr) {
    return Refusal{ 404, "unknown_path", "there is no such path", Ran::kNo, {} };
  }
  aRequest.route = *route;
  const bool isService = !route->service.empty();
  const Duration modelTimeout =
    aRequest.priority == Priority::kChat ? aState.options.chatTimeout : aState.options.reviewTimeout;
  aRequest.deadline = aRequest.arrivedAt + (isService ? aState.options.serviceTimeout : modelTimeout);
  earnRetry(aState.retries, route->path, aState.options);
  return isService ? authoriseService(aState, aRequest) : authoriseModel(aState, aRequest);
}

Outcome
reserve(State& aState, Request& aRequest)
{
  if (aRequest.claim.phase == ClaimPhase::kAttaching || aRequest.reservation) {
    return Continue{};
  }
  if (!std::exchange(aRequest.demandNoted, true)) {
    noteDemand(aState.grants, aRequest.plan, aRequest.worstCase);
  }
  const auto grant = reserveTokens(aState.grants, aRequest.plan, aRequest.worstCase, aState.options, aState.now);
  if (grant) {
    aRequest.reservation = Reservation{ *grant, aRequest.worstCase };
    noteDecision(aState, aRequest.id, "reserved", { { "grant", toNumber(*grant) }, { "tokens", aRequest.worstCase } });
    return Continue{};
  }
  if (aRequest.leaderRefusal) {
    return *aRequest.leaderRefusal;
  }
  const bool waited = waitExpired(aState, aRequest, aState.options.grantWait);
  if (waited || !controlConnected(aState.link, aState.options, aState.now)) {
    return noTokensRefusal(aRequest);
  }
  requestTokens(aState, aRequest);
  return Wait{};
}

std::optional<Placement>
choosePlacement(State& aState, const Request& aRequest)
{
  PlacementQuery query;
  query.request = aRequest.id;
  query.service = aRequest.route.service;
  query.model = aRequest.model.model;
  query.allowedVersions = aRequest.allowedVersions;
  query.trippedVersions = trippedVersions(aState.breakers, aRequest.model.model, aRequest.route.path);
  query.prefixHash = aRequest.model.prefixHash;
  query.tokens = aRequest.worstCase;
  query.avoid = aRequest.avoid;
  auto placement = choosePlacement(
    query, aState.agents, aState.config.shares, aState.config.moves, aState.options, aState.random, aState.now);
  if (placement) {
    ++aState.totals.placements;
    noteDecision(aState, aRequest.id, "placed", placement->explanation);
    log(aState, Severity::kInfo, "placement", placement->explanation);
  }
  return placement;
}

Outcome
waitForAgent(State& aState, Request& aRequest)
{
  if (!waitExpired(aState, aRequest, aState.options.placementWait)) {
    return Wait{};
  }
  return Refusal{ 503, "no_upstream", "no upstream can take the request now", Ran::kNo, kBusyRetry };
}

Outcome
place(State& aState, Request& aRequest)
{
  // A claimed request is placed before its claim is submitted, since the claim names the agent.
  const ClaimPhase phase = aRequest.claim.phase;
  if (phase != ClaimPhase::kNone && phase != ClaimPhase::kDetached) {
    return Continue{};
  }
  auto placement = choosePlacement(aState, aRequest);
  if (!placement) {
    return waitForAgent(aState, aRequest);
  }
  bindRun(aState, aRequest, *placement);
  return Continue{};
}

void
acceptRequest(State& aState, const CallerRequest& aCall)
{
  ++aState.totals.requests;
  const RequestKey key = aState.nextRequest++;
  Request request;
  request.key = key;
  request.id = newRequestId(aState);
  request.runRequest = request.id;
  request.caller = aCall.caller;
  request.call = aCall;
  request.arrivedAt = aState.now;
  request.deadline = aState.now + aState.options.chatTimeout;
  request.stream.creditUntil = aState.options.creditWindowBytes;
  const auto refusal = rejectionReason(aState, aCall);
  if (refusal) {
    request.call.body.clear();
  }
  Request& stored = aState.requests.emplace(key, std::move(request)).first->second;
  aState.callers[aCall.caller] = key;
  if (refusal) {
    refuse(aState, stored, *refusal);
    return;
  }
  updateHeldBytes(aState, stored);
  advance(aState, key);
}

void
advance(State& aState, RequestKey aKey)
{
  while (Request* request = findRequest(aState, aKey)) {
    const Filter& filter = kFilterChain.at(static_cast<std::size_t>(request->stage));
    const Outcome outcome = filter.apply(aState, *request);
    if (std::holds_alternative<Wait>(outcome) || std::holds_alternative<Finished>(outcome)) {
      return;
    }
    if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
      noteDecision(aState, request->id, "refused", { { "filter", filter.name }, { "error", refusal->error } });
      refuse(aState, *request, *refusal);
      return;
    }
    request->waitingSince.reset();
    if (std::holds_alternative<Continue>(outcome)) {
      request->stage = static_cast<Stage>(static_cast<std::size_t>(request->stage) + 1);
    }
  }
}

void
advanceWaiting(State& aState)
{
  std::vector<RequestKey> waiting;
  for (const auto& [key, request] : aState.requests) {
    if (request.stage != Stage::kSettle) {
      waiting.push_back(key);
    }
  }
  std::ranges::for_each(waiting, [&](RequestKey aKey) { advance(aState, aKey); });
}

} // namespace rhubarbarch::router
