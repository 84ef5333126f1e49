#include "views.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace rhubarbarch::controller {

namespace {

// In the order of MoveState.
constexpr std::array<std::string_view, 6> kMoveStates = { "planned",  "loading", "stepping",
                                                          "watching", "done",    "taken_back" };
// In the order of ClaimState.
constexpr std::array<std::string_view, 3> kClaimStates = { "running", "done", "unknown" };

// A grant holds up to some thousands of charges; the view shows only those with the highest request ids.
constexpr std::size_t kChargesShown = 100;

nlohmann::json
planEntryView(const PlanEntry& aEntry)
{
  return { { "plan", aEntry.plan },
           { "workspace", aEntry.workspace },
           { "key_hashes", aEntry.keyHashes },
           { "priority", aEntry.priority == Priority::kChat ? "chat" : "review" } };
}

nlohmann::json
useEntryView(const UseEntry& aEntry)
{
  auto models = nlohmann::json::array();
  for (const auto& use : aEntry.models) {
    models.push_back({ { "model", use.model }, { "versions", use.versions } });
  }
  return { { "plan", aEntry.plan },
           { "services", aEntry.services },
           { "models", std::move(models) },
           { "budget_tokens", aEntry.budgetTokens } };
}

nlohmann::json
routeEntryView(const RouteEntry& aEntry)
{
  return { { "path", aEntry.path },
           { "service", aEntry.service },
           { "idempotent", aEntry.idempotent },
           { "flat_tokens", aEntry.flatTokens } };
}

template<typename Entry>
nlohmann::json
arrayView(const std::vector<Entry>& aEntries, nlohmann::json (*aView)(const Entry&))
{
  auto views = nlohmann::json::array();
  for (const auto& entry : aEntries) {
    views.push_back(aView(entry));
  }
  return views;
}

nlohmann::json
sessionView(const Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.sessions.find(aSession);
  const auto memory = found == aContext.memory.sessions.end() ? SessionMemory{} : found->second;
  const auto sinceContact = aContext.now - lastSeen(aContext, aSession);
  return { { "session", toNumber(aSession) },
           { "plans_revision", toNumber(memory.plansRevision) },
           { "uses_revision", toNumber(memory.usesRevision) },
           { "moves_revision", toNumber(memory.movesRevision) },
           { "directory_revision", toNumber(memory.directoryRevision) },
           { "silent_ms", sinceContact.count() } };
}

nlohmann::json
routerView(const Context& aContext, const state::RouterSession& aRouter)
{
  auto view = sessionView(aContext, aRouter.id);
  view["instance"] = aRouter.instance;
  view["role"] = "router";
  view["data_centre"] = aRouter.dataCentre;
  view["leaving"] = aContext.platform.leaving.contains(aRouter.instance);
  view["fenced"] = aRouter.fenced;
  view["agents_to_report"] =
    std::ranges::count_if(aRouter.agents, [](const auto& aItem) { return !aItem.second.reported; });
  return view;
}

nlohmann::json
agentView(const Context& aContext, const state::AgentSession& aAgent)
{
  auto view = sessionView(aContext, aAgent.entry.session);
  view["instance"] = aAgent.entry.instance;
  view["role"] = "agent";
  view["data_centre"] = aAgent.entry.dataCentre;
  view["leaving"] = aAgent.entry.leaving;
  view["upstream"] = aAgent.entry.upstream.name;
  auto loaded = nlohmann::json::array();
  const auto found = aContext.memory.sessions.find(aAgent.entry.session);
  if (found != aContext.memory.sessions.end()) {
    for (const auto& version : found->second.load.loaded) {
      loaded.push_back({ { "model", version.model }, { "version", version.version } });
    }
    view["runs"] = found->second.load.runs;
    view["queue_length"] = found->second.load.queueLength;
  }
  view["loaded"] = std::move(loaded);
  return view;
}

bool
holdsLists(const Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.sessions.find(aSession);
  const auto& lists = aContext.state.lists.lists;
  return found != aContext.memory.sessions.end() && found->second.polled &&
         found->second.plansRevision == lists.plansRevision && found->second.usesRevision == lists.usesRevision;
}

nlohmann::json
chargesView(const std::map<RequestId, Tokens>& aCharges)
{
  auto charges = nlohmann::json::array();
  for (auto charge = aCharges.rbegin(); charge != aCharges.rend() && charges.size() < kChargesShown; ++charge) {
    charges.push_back({ { "request", charge->first }, { "tokens", charge->second } });
  }
  return charges;
}

nlohmann::json
grantView(const state::ReplicatedState& aState, const state::Grant& aGrant)
{
  const auto router = aState.sessions.routers.find(aGrant.holder);
  return { { "grant", toNumber(aGrant.id) },
           { "session", toNumber(aGrant.holder) },
           { "instance", router == aState.sessions.routers.end() ? "" : router->second.instance },
           { "issued", aGrant.issued },
           { "returned", aGrant.returnedTotal },
           { "held", state::held(aGrant) },
           { "charged", aGrant.charged },
           { "charge_count", aGrant.charges.size() },
           { "charges", chargesView(aGrant.charges) },
           { "state", aGrant.state == state::GrantState::kOpen ? "open" : "fencing" } };
}

} // namespace

nlohmann::json
listsView(const Lists& aLists)
{
  return { { "plans_revision", toNumber(aLists.plansRevision) },
           { "uses_revision", toNumber(aLists.usesRevision) },
           { "plans", arrayView(aLists.plans, planEntryView) },
           { "uses", arrayView(aLists.uses, useEntryView) },
           { "routes", arrayView(aLists.routes, routeEntryView) } };
}

nlohmann::json
instancesView(const Context& aContext)
{
  auto instances = nlohmann::json::array();
  bool everywhere = true;
  for (const auto& [id, router] : aContext.state.sessions.routers) {
    instances.push_back(routerView(aContext, router));
    everywhere = everywhere && (router.fenced || holdsLists(aContext, id));
  }
  for (const auto& [id, agent] : aContext.state.sessions.agents) {
    instances.push_back(agentView(aContext, agent));
    everywhere = everywhere && (agent.drained || holdsLists(aContext, id));
  }
  const auto& lists = aContext.state.lists.lists;
  return { { "instances", std::move(instances) },
           { "plans_revision", toNumber(lists.plansRevision) },
           { "uses_revision", toNumber(lists.usesRevision) },
           { "in_force_everywhere", everywhere } };
}

nlohmann::json
moveView(const Move& aMove)
{
  return { { "id", aMove.id },
           { "model", aMove.model },
           { "from_version", aMove.fromVersion },
           { "to_version", aMove.toVersion },
           { "requested_unix_ms", aMove.requestedUnixMs },
           { "deadline_unix_ms", aMove.deadlineUnixMs },
           { "state", kMoveStates.at(static_cast<std::size_t>(aMove.state)) },
           { "per_mille", aMove.perMille },
           { "reason", aMove.reason },
           { "changed_unix_ms", aMove.changedUnixMs } };
}

nlohmann::json
movesView(const state::Moves& aMoves)
{
  auto shares = nlohmann::json::array();
  for (const auto& [model, versions] : aMoves.shares) {
    for (const auto& share : versions) {
      shares.push_back({ { "model", model }, { "version", share.version }, { "per_mille", share.perMille } });
    }
  }
  return { { "revision", toNumber(aMoves.revision) },
           { "moves", arrayView(aMoves.moves, moveView) },
           { "shares", std::move(shares) } };
}

nlohmann::json
planView(const state::ReplicatedState& aState, const PlanId& aPlan)
{
  const auto* account = state::findAccount(aState.ledger, aPlan);
  if (account == nullptr) {
    return nullptr;
  }
  auto grants = nlohmann::json::array();
  for (const auto id : account->grants) {
    grants.push_back(grantView(aState, *state::findGrant(aState.ledger, id)));
  }
  return { { "plan", aPlan },
           { "listed", account->listed },
           { "budget", account->budget },
           { "settled", account->settled },
           { "in_doubt", account->inDoubt },
           { "granted", account->granted },
           { "charged_open", account->chargedOpen },
           { "available", state::available(*account) },
           { "grants", std::move(grants) } };
}

nlohmann::json
requestView(const state::ReplicatedState& aState, const RequestId& aRequest)
{
  nlohmann::json view = { { "claim", nullptr }, { "charge", nullptr } };
  for (const auto& [key, record] : aState.claims.records) {
    const auto& claim = record.claim;
    if (claim.request == aRequest) {
      view["claim"] = { { "plan", claim.plan },
                        { "key", claim.key },
                        { "attempt", claim.attempt },
                        { "agent", claim.agent },
                        { "state", kClaimStates.at(static_cast<std::size_t>(claim.state)) },
                        { "http_status", claim.answer.httpStatus } };
    }
  }
  for (const auto& [id, grant] : aState.ledger.grants) {
    const auto charge = grant.charges.find(aRequest);
    if (charge != grant.charges.end()) {
      view["charge"] = { { "grant", toNumber(id) }, { "plan", grant.plan }, { "tokens", charge->second } };
    }
  }
  return view;
}

nlohmann::json
rolloutView(const state::Rollout& aRollout)
{
  const auto phase = aRollout.rule.phase;
  const auto* ended = phase == RolloutPhase::kSucceeded ? "succeeded" : "rolled_back";
  return { { "state", isOpen(phase) ? "running" : ended }, { "target", aRollout.rule.target } };
}

} // namespace rhubarbarch::controller
