#include "config_view.h"

#include <algorithm>

namespace rhubarbarch::router {

namespace {

bool
matches(const RouteEntry& aRoute, std::string_view aPath)
{
  return aRoute.path == aPath || (aRoute.path.ends_with('/') && aPath.starts_with(aRoute.path));
}

bool
applyPlans(ConfigView& aView, const Lists& aLists)
{
  if (aView.held && aLists.plansRevision <= aView.lists.plansRevision) {
    return false;
  }
  aView.lists.plansRevision = aLists.plansRevision;
  aView.lists.plans = aLists.plans;
  aView.planByKeyHash.clear();
  aView.priorities.clear();
  for (const PlanEntry& plan : aLists.plans) {
    aView.priorities[plan.plan] = plan.priority;
    for (const std::string& hash : plan.keyHashes) {
      aView.planByKeyHash.emplace(hash, plan.plan);
    }
  }
  return true;
}

bool
applyUses(ConfigView& aView, const Lists& aLists)
{
  if (aView.held && aLists.usesRevision <= aView.lists.usesRevision) {
    return false;
  }
  aView.lists.usesRevision = aLists.usesRevision;
  aView.lists.uses = aLists.uses;
  aView.lists.routes = aLists.routes;
  aView.uses.clear();
  for (const UseEntry& use : aLists.uses) {
    aView.uses[use.plan] = use;
  }
  return true;
}

} // namespace

ConfigChange
applyConfig(ConfigView& aView, const ConfigState& aState)
{
  ConfigChange change;
  if (aState.readIndex < aView.readIndex) {
    return change;
  }
  change.applied = true;
  aView.readIndex = aState.readIndex;
  if (aState.hasLists) {
    const bool plans = applyPlans(aView, aState.lists);
    const bool uses = applyUses(aView, aState.lists);
    change.lists = plans || uses;
  }
  if (aState.hasDirectory && (!aView.held || aState.directoryRevision >= aView.directoryRevision)) {
    aView.directoryRevision = aState.directoryRevision;
    change.directory = true;
  }
  if (aState.hasMoves && (!aView.held || aState.movesRevision >= aView.movesRevision)) {
    aView.movesRevision = aState.movesRevision;
    aView.shares = aState.shares;
    aView.moves = aState.moves;
    change.moves = true;
  }
  aView.held = true;
  return change;
}

const RouteEntry*
findRoute(const ConfigView& aView, std::string_view aPath)
{
  const RouteEntry* best = nullptr;
  for (const RouteEntry& route : aView.lists.routes) {
    if (route.path == aPath) {
      return &route;
    }
    if (matches(route, aPath) && (best == nullptr || route.path.size() > best->path.size())) {
      best = &route;
    }
  }
  return best;
}

const ModelUse*
findModelUse(const ConfigView& aView, const PlanId& aPlan, const ModelName& aModel)
{
  const auto use = aView.uses.find(aPlan);
  if (use == aView.uses.end()) {
    return nullptr;
  }
  const auto found = std::ranges::find(use->second.models, aModel, &ModelUse::model);
  return found == use->second.models.end() ? nullptr : &*found;
}

bool
mayUseService(const ConfigView& aView, const PlanId& aPlan, std::string_view aService)
{
  const auto use = aView.uses.find(aPlan);
  return use != aView.uses.end() && std::ranges::find(use->second.services, aService) != use->second.services.end();
}

} // namespace rhubarbarch::router
