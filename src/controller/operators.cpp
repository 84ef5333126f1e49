#include "controllers.h"
#include "move_judge.h"
#include "upstreams.h"
#include "views.h"

#include <algorithm>

namespace rhubarbarch::controller {

namespace {

/// Longest rollout that is accepted, ten years; the deadline must be a valid time.
constexpr std::int64_t kLongestRolloutS = 315'360'000;

struct HttpError
{
  std::int32_t status;
  const char* code;
};

HttpError
httpError(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kConflict:
      return { 409, "conflict" };
    case ErrorCode::kNotFound:
      return { 404, "not_found" };
    case ErrorCode::kBudget:
      return { 422, "budget_below_use" };
    case ErrorCode::kDeadline:
      return { 422, "deadline_cannot_be_met" };
    default:
      return { 400, "invalid" };
  }
}

void
answerList(Context& aContext, OperatorId aId, const char* aList, const state::ListOutcome& aOutcome)
{
  log(aContext,
      "list_applied",
      { { "list", aList },
        { "accepted", aOutcome.accepted },
        { "revision", toNumber(aOutcome.revision) },
        { "detail", aOutcome.detail } });
  if (aOutcome.accepted) {
    reply(aContext, aId, 200, { { "accepted", true }, { "revision", toNumber(aOutcome.revision) } });
    return;
  }
  const auto error = httpError(aOutcome.code);
  reply(aContext,
        aId,
        error.status,
        { { "error", error.code }, { "detail", aOutcome.detail }, { "revision", toNumber(aOutcome.revision) } });
}

Completion
listCompletion(OperatorId aId, const char* aList)
{
  return [aId, aList](Context& aDone, const state::Outcome& aOutcome) {
    answerList(aDone, aId, aList, std::get<state::ListOutcome>(aOutcome));
  };
}

// Without a request id, a repeat after a lost answer could not be distinguished from a second request.
bool
hasRequestId(Context& aContext, OperatorId aId, const std::string& aRequestId)
{
  if (aRequestId.empty()) {
    replyError(aContext, aId, 400, "invalid", "the request id is empty");
  }
  return !aRequestId.empty();
}

void
run(Context& aContext, OperatorId aId, const ApplyPlans& aOperation)
{
  if (hasRequestId(aContext, aId, aOperation.requestId)) {
    aContext.proposer.propose(state::SetPlans{ aOperation.requestId, aOperation.expected, aOperation.plans },
                              listCompletion(aId, "plans"),
                              aId);
  }
}

void
run(Context& aContext, OperatorId aId, const ApplyUses& aOperation)
{
  if (hasRequestId(aContext, aId, aOperation.requestId)) {
    aContext.proposer.propose(
      state::SetUses{ aOperation.requestId, aOperation.expected, aOperation.uses, aOperation.routes },
      listCompletion(aId, "uses"),
      aId);
  }
}

void
run(Context& aContext, OperatorId aId, const ShowLists& /*aOperation*/)
{
  reply(aContext, aId, 200, listsView(aContext.state.lists.lists));
}

void
run(Context& aContext, OperatorId aId, const ShowInstances& /*aOperation*/)
{
  reply(aContext, aId, 200, instancesView(aContext));
}

void
run(Context& aContext, OperatorId aId, const ShowMoves& /*aOperation*/)
{
  reply(aContext, aId, 200, movesView(aContext.state.moves));
}

void
run(Context& aContext, OperatorId aId, const ShowPlan& aOperation)
{
  auto view = planView(aContext.state, aOperation.plan);
  if (view.is_null()) {
    replyError(aContext, aId, 404, "not_found", "no plan '" + aOperation.plan + "'");
    return;
  }
  reply(aContext, aId, 200, std::move(view));
}

nlohmann::json
budgetsOf(const RoutingTable& aTable)
{
  auto budgets = nlohmann::json::object();
  for (const auto& plan : aTable.plans) {
    budgets[plan.plan] = plan.prepaid;
  }
  return budgets;
}

void
answerRouting(Context& aContext, OperatorId aId, std::int64_t aVersion, state::RoutingOutcome aOutcome)
{
  const auto held = aContext.state.routing.table.version;
  log(aContext,
      "routing_put",
      { { "version", aVersion },
        { "outcome", static_cast<int>(aOutcome) },
        { "in_force", held },
        { "budgets", budgetsOf(aContext.state.routing.table) } });
  if (aOutcome == state::RoutingOutcome::kConflict) {
    replyError(aContext, aId, 409, "conflict", "other content is in force under this version");
    return;
  }
  if (aOutcome == state::RoutingOutcome::kStored) {
    announceToGateways(aContext);
  }
  reply(aContext, aId, 200, { { "version", held } });
}

void
run(Context& aContext, OperatorId aId, const PutRouting& aOperation)
{
  aContext.proposer.propose(
    state::StoreRouting{ aOperation.table, aOperation.source, aOperation.digest },
    [aId, version = aOperation.table.version](Context& aDone, const state::Outcome& aOutcome) {
      answerRouting(aDone, aId, version, std::get<state::RoutingOutcome>(aOutcome));
    },
    aId);
}

void
answerEvacuation(Context& aContext, OperatorId aId, const Evacuate& aOperation, state::EvacuationOutcome aOutcome)
{
  log(aContext,
      "evacuation_put",
      { { "data_centre", aOperation.dataCentre },
        { "evacuated", aOperation.evacuated },
        { "changed", aOutcome == state::EvacuationOutcome::kChanged },
        { "in_force", aContext.state.evacuations.dataCentres } });
  if (aOutcome == state::EvacuationOutcome::kChanged) {
    announceToGateways(aContext);
  }
  reply(aContext, aId, 200, { { "evacuated", aContext.state.evacuations.dataCentres } });
}

void
run(Context& aContext, OperatorId aId, const Evacuate& aOperation)
{
  const auto& known = aContext.options.dataCentres;
  if (!known.empty() && std::ranges::find(known, aOperation.dataCentre) == known.end()) {
    replyError(aContext, aId, 400, "invalid", "no data centre '" + aOperation.dataCentre + "'");
    return;
  }
  aContext.proposer.propose(
    state::SetEvacuation{ aOperation.dataCentre, aOperation.evacuated },
    [aId, operation = aOperation](Context& aDone, const state::Outcome& aOutcome) {
      answerEvacuation(aDone, aId, operation, std::get<state::EvacuationOutcome>(aOutcome));
    },
    aId);
}

void
run(Context& aContext, OperatorId aId, const ShowRouting& /*aOperation*/)
{
  const auto& routing = aContext.state.routing;
  if (routing.source.empty()) {
    replyError(aContext, aId, 404, "not_found", "no routing document has been put yet");
    return;
  }
  OperatorReply shown{ aId, 200, {}, routing.source };
  aContext.actions.emplace_back(std::move(shown));
}

/// @return the field of an order that makes it unacceptable and why; nothing if none does
std::optional<std::string>
orderFault(const Context& aContext, const OrderRollout& aOrder)
{
  const auto& services = aContext.state.routing.table.services;
  if (aOrder.service.empty() || std::ranges::find(services, aOrder.service, &Service::name) == services.end()) {
    return "service: no service '" + aOrder.service + "' is configured";
  }
  if (aOrder.target.empty()) {
    return "target: no version is named";
  }
  if (aOrder.durationS <= 0 || aOrder.durationS > kLongestRolloutS) {
    return "duration: must be above 0 and at most " + std::to_string(kLongestRolloutS) + " s";
  }
  const auto ofService = [&](const UpstreamEntry& aEach) { return aEach.service == aOrder.service && !aEach.leaving; };
  const auto& upstreams = aContext.platform.upstreams;
  const bool serves = std::ranges::any_of(upstreams, ofService);
  const bool others = std::ranges::any_of(
    upstreams, [&](const auto& aEach) { return ofService(aEach) && aEach.version != aOrder.target; });
  if (serves && !others) {
    return "target: all upstreams of the service have version '" + aOrder.target + "'";
  }
  return std::nullopt;
}

const char*
describe(state::RolloutOutcome aOutcome)
{
  switch (aOutcome) {
    case state::RolloutOutcome::kAccepted:
      return "accepted";
    case state::RolloutOutcome::kRepeated:
      return "repeated";
    case state::RolloutOutcome::kRunning:
      return "another_runs";
    case state::RolloutOutcome::kSameVersion:
      return "same_version";
    default:
      return "unchanged";
  }
}

void
answerRollout(Context& aContext, OperatorId aId, const OrderRollout& aOrder, state::RolloutOutcome aOutcome)
{
  const auto* newest = state::findRollout(aContext.state.rollouts, aOrder.service);
  log(aContext,
      "rollout_ordered",
      { { "service", aOrder.service },
        { "target", aOrder.target },
        { "duration_s", aOrder.durationS },
        { "outcome", describe(aOutcome) },
        { "order", newest == nullptr ? 0 : toNumber(newest->rule.orderedAt) } });
  if (aOutcome == state::RolloutOutcome::kRunning) {
    const bool sameTarget = newest != nullptr && newest->rule.target == aOrder.target;
    const auto* field = sameTarget ? "duration" : "target";
    replyError(aContext, aId, 422, "rollout_running", std::string(field) + ": a rollout with another one is running");
    return;
  }
  if (aOutcome == state::RolloutOutcome::kSameVersion) {
    replyError(aContext, aId, 422, "same_version", "target: the service was moved to this version before");
    return;
  }
  if (aOutcome == state::RolloutOutcome::kAccepted) {
    announceToGateways(aContext);
  }
  reply(aContext, aId, 200, rolloutView(*newest));
}

void
run(Context& aContext, OperatorId aId, const OrderRollout& aOperation)
{
  const state::OrderRollout order{ aOperation.service, aOperation.target, aOperation.durationS, aContext.unixMs };
  // The list of upstreams may have changed since the first copy was accepted.
  if (!state::isRepeat(aContext.state.rollouts, order)) {
    if (const auto fault = orderFault(aContext, aOperation)) {
      replyError(aContext, aId, 400, "invalid", *fault);
      return;
    }
  }
  aContext.proposer.propose(
    order,
    [aId, operation = aOperation](Context& aDone, const state::Outcome& aOutcome) {
      answerRollout(aDone, aId, operation, std::get<state::RolloutOutcome>(aOutcome));
    },
    aId);
}

void
run(Context& aContext, OperatorId aId, const ShowRollout& aOperation)
{
  const auto* newest = state::findRollout(aContext.state.rollouts, aOperation.service);
  if (newest == nullptr) {
    replyError(aContext, aId, 404, "not_found", "no rollout of service '" + aOperation.service + "' was ordered");
    return;
  }
  reply(aContext, aId, 200, rolloutView(*newest));
}

std::int64_t
unixMs(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

// Minimum time of the move; a model's first version has nothing to load or to compare with.
Duration
timeNeeded(const Context& aContext, const RequestMove& aOperation)
{
  if (state::versionInForce(aContext.state.moves, aOperation.model).empty()) {
    return Duration{ 0 };
  }
  const auto upstreams = upstreamsOf(aContext, aOperation.model);
  const auto toLoad = std::ranges::count_if(upstreams, [&](const ModelUpstream& aUpstream) {
    return !hasLoaded(aUpstream, aOperation.model, aOperation.toVersion);
  });
  return minMoveTime(toLoad, aContext.options.moves);
}

void
answerMove(Context& aContext, OperatorId aId, const state::MoveOutcome& aOutcome)
{
  if (aOutcome.accepted) {
    reply(aContext, aId, 200, moveView(aOutcome.move));
    return;
  }
  const auto error = httpError(aOutcome.code);
  replyError(aContext, aId, error.status, error.code, aOutcome.detail);
}

void
run(Context& aContext, OperatorId aId, const RequestMove& aOperation)
{
  if (!hasRequestId(aContext, aId, aOperation.requestId)) {
    return;
  }
  if (aOperation.model.empty() || aOperation.toVersion.empty()) {
    replyError(aContext, aId, 400, "invalid", "model or version is empty");
    return;
  }
  const bool repeated = state::findMove(aContext.state.moves, aOperation.requestId) != nullptr;
  const auto left = Duration(unixMs(aOperation.deadline) - aContext.unixMs);
  const auto needed = timeNeeded(aContext, aOperation);
  if (!repeated && left < needed) {
    replyError(aContext,
               aId,
               422,
               "deadline_cannot_be_met",
               "loading and stepping take at least " + std::to_string(needed.count()) + " ms, the deadline leaves " +
                 std::to_string(left.count()) + " ms");
    return;
  }
  Move move;
  move.id = aOperation.requestId;
  move.model = aOperation.model;
  move.toVersion = aOperation.toVersion;
  move.requestedUnixMs = aContext.unixMs;
  move.changedUnixMs = aContext.unixMs;
  move.deadlineUnixMs = unixMs(aOperation.deadline);
  aContext.proposer.propose(
    state::AddMove{ move },
    [aId](Context& aDone, const state::Outcome& aOutcome) {
      answerMove(aDone, aId, std::get<state::MoveOutcome>(aOutcome));
    },
    aId);
}

// A request id is `<instance>-<boot>-<counter>`; the instance's name may hold dashes itself.
InstanceId
routerOf(const RequestId& aRequest)
{
  const auto counter = aRequest.rfind('-');
  const auto boot = counter == std::string::npos || counter == 0 ? std::string::npos : aRequest.rfind('-', counter - 1);
  return boot == std::string::npos ? InstanceId{} : aRequest.substr(0, boot);
}

std::set<Address>
explainTargets(const state::ReplicatedState& aState, const RequestId& aRequest)
{
  std::set<Address> awaiting;
  const auto router = routerOf(aRequest);
  if (!router.empty()) {
    awaiting.insert({ router, Role::kRouter });
  }
  for (const auto& [key, record] : aState.claims.records) {
    if (record.claim.request == aRequest && !record.claim.agent.empty()) {
      awaiting.insert({ record.claim.agent, Role::kAgent });
    }
  }
  return awaiting;
}

void
run(Context& aContext, OperatorId aId, const ExplainRequest& aOperation)
{
  const auto number = static_cast<std::uint64_t>(aId);
  PendingExplain pending;
  pending.id = aId;
  pending.request = aOperation.request;
  pending.until = aContext.now + aContext.options.explainTime;
  pending.awaiting = explainTargets(aContext.state, aOperation.request);
  for (const auto& address : pending.awaiting) {
    send(aContext, address, ExplainQuery{ number, aOperation.request });
  }
  aContext.memory.explains.insert_or_assign(number, std::move(pending));
}

void
finishExplain(Context& aContext, const PendingExplain& aPending)
{
  auto unanswered = nlohmann::json::array();
  for (const auto& address : aPending.awaiting) {
    unanswered.push_back(address.instance);
  }
  reply(aContext,
        aPending.id,
        200,
        { { "request", aPending.request },
          { "recorded", requestView(aContext.state, aPending.request) },
          { "decisions", aPending.answers },
          { "unanswered", std::move(unanswered) } });
}

nlohmann::json
parseDecision(const std::string& aText)
{
  auto decision = nlohmann::json::parse(aText, nullptr, false);
  return decision.is_discarded() ? nlohmann::json(aText) : decision;
}

} // namespace

void
handleOperator(Context& aContext, const OperatorRequest& aRequest)
{
  const auto& operation = aRequest.operation;
  const bool shows = std::holds_alternative<ShowLists>(operation) || std::holds_alternative<ShowInstances>(operation) ||
                     std::holds_alternative<ShowMoves>(operation) || std::holds_alternative<ShowPlan>(operation) ||
                     std::holds_alternative<ShowRouting>(operation) || std::holds_alternative<ShowRollout>(operation);
  if (shows) {
    aContext.memory.nextRead.shows.push_back(aRequest);
  } else {
    runOperator(aContext, aRequest);
  }
}

void
runOperator(Context& aContext, const OperatorRequest& aRequest)
{
  std::visit([&](const auto& aOperation) { run(aContext, aRequest.id, aOperation); }, aRequest.operation);
}

bool
handleExplain(Context& aContext, const Address& aFrom, const Message& aMessage)
{
  const auto* answer = std::get_if<ExplainReply>(&aMessage);
  if (answer == nullptr) {
    return false;
  }
  const auto found = aContext.memory.explains.find(answer->number);
  if (found == aContext.memory.explains.end() || found->second.awaiting.erase(aFrom) == 0) {
    return true;
  }
  for (const auto& decision : answer->decisions) {
    found->second.answers.push_back({ { "instance", aFrom.instance },
                                      { "role", aFrom.role == Role::kAgent ? "agent" : "router" },
                                      { "decision", parseDecision(decision) } });
  }
  return true;
}

void
tickExplain(Context& aContext)
{
  std::erase_if(aContext.memory.explains, [&](const auto& aItem) {
    const bool finished = aItem.second.awaiting.empty() || aContext.now >= aItem.second.until;
    if (finished) {
      finishExplain(aContext, aItem.second);
    }
    return finished;
  });
}

} // namespace rhubarbarch::controller
