#include "rhubarbarch/state/replicated_state.h"

#include <nlohmann/json.hpp>

#include <array>
#include <type_traits>
#include <utility>

namespace rhubarbarch::state {

namespace {

constexpr std::size_t kCommandCount = std::variant_size_v<Command>;

// In the order of the alternatives of Command. Stored logs contain these names.
constexpr std::array<std::string_view, kCommandCount> kCommandNames = {
  "SetPlans",         "SetUses",      "OpenSession",   "FenceRouter",   "ReportFence",  "SetLeaving",   "MarkDrained",
  "RemoveAgent",      "MarkSettled",  "IssueGrant",    "ReturnGrant",   "ChargeGrant",  "SettleGrant",  "TakeClaim",
  "UpdateClaim",      "ExpireClaims", "AddMove",       "StepMove",      "RaiseFence",   "StoreRouting", "OpenGateway",
  "ReportAllowances", "ReportBatch",  "SetEvacuation", "SetQuarantine", "OrderRollout", "StepRollout",  "AllotExposure"
};

using CommandDecoder = Command (*)(const nlohmann::json&);

template<typename T>
Command
decodeBody(const nlohmann::json& aBody)
{
  return aBody.template get<T>();
}

template<std::size_t... Indices>
constexpr std::array<CommandDecoder, kCommandCount>
makeDecoders(std::index_sequence<Indices...> /*unused*/)
{
  return { &decodeBody<std::variant_alternative_t<Indices, Command>>... };
}

constexpr auto kDecoders = makeDecoders(std::make_index_sequence<kCommandCount>{});

std::string
toCbor(const nlohmann::json& aJson)
{
  std::string bytes;
  nlohmann::json::to_cbor(aJson, bytes);
  return bytes;
}

IssueOutcome
apply(ReplicatedState& aState, const IssueGrant& aCommand, LogIndex aIndex)
{
  return isLiveRouter(aState.sessions, aCommand.session) ? issue(aState.ledger, aCommand, aIndex) : IssueOutcome{};
}

ClaimOutcome
apply(ReplicatedState& aState, const TakeClaim& aCommand, LogIndex /*aIndex*/)
{
  return takeClaim(aState.claims, aCommand);
}

ClaimOutcome
apply(ReplicatedState& aState, const UpdateClaim& aCommand, LogIndex /*aIndex*/)
{
  return updateClaim(aState.claims, aCommand);
}

void
apply(ReplicatedState& aState, const ExpireClaims& aCommand, LogIndex /*aIndex*/)
{
  expireClaims(aState.claims, aCommand);
}

MoveOutcome
apply(ReplicatedState& aState, const AddMove& aCommand, LogIndex aIndex)
{
  return add(aState.moves, aCommand, aIndex);
}

MoveOutcome
apply(ReplicatedState& aState, const StepMove& aCommand, LogIndex aIndex)
{
  return step(aState.moves, aCommand, aIndex);
}

void
apply(ReplicatedState& aState, const RaiseFence& /*aCommand*/, LogIndex aIndex)
{
  aState.moves.fence = FenceNumber{ toNumber(aIndex) };
}

RoutingOutcome
apply(ReplicatedState& aState, const StoreRouting& aCommand, LogIndex /*aIndex*/)
{
  return store(aState.routing, aCommand);
}

GatewayOutcome
apply(ReplicatedState& aState, const OpenGateway& aCommand, LogIndex aIndex)
{
  return openGateway(aState.allowances, aCommand, aIndex);
}

void
apply(ReplicatedState& aState, const ReportAllowances& aCommand, LogIndex /*aIndex*/)
{
  applyReport(aState.allowances, aCommand, aState.routing.table);
}

void
apply(ReplicatedState& aState, const ReportBatch& aCommand, LogIndex /*aIndex*/)
{
  for (const auto& each : aCommand.reports) {
    applyReport(aState.allowances, each, aState.routing.table);
  }
}

EvacuationOutcome
apply(ReplicatedState& aState, const SetEvacuation& aCommand, LogIndex aIndex)
{
  return apply(aState.evacuations, aCommand, aIndex);
}

QuarantineOutcome
apply(ReplicatedState& aState, const SetQuarantine& aCommand, LogIndex aIndex)
{
  return apply(aState.quarantine, aCommand, aIndex);
}

RolloutOutcome
apply(ReplicatedState& aState, const OrderRollout& aCommand, LogIndex aIndex)
{
  return apply(aState.rollouts, aCommand, aIndex);
}

RolloutOutcome
apply(ReplicatedState& aState, const StepRollout& aCommand, LogIndex aIndex)
{
  return apply(aState.rollouts, aCommand, aIndex);
}

RolloutOutcome
apply(ReplicatedState& aState, const AllotExposure& aCommand, LogIndex aIndex)
{
  return apply(aState.rollouts, aCommand, aIndex);
}

} // namespace

Outcome
apply(ReplicatedState& aState, const Command& aCommand, LogIndex aIndex)
{
  aState.applied = aIndex;
  return std::visit(
    [&](const auto& aTyped) -> Outcome {
      if constexpr (std::is_void_v<decltype(apply(aState, aTyped, aIndex))>) {
        apply(aState, aTyped, aIndex);
        return std::monostate{};
      } else {
        return apply(aState, aTyped, aIndex);
      }
    },
    aCommand);
}

std::string
encodeCommand(const Command& aCommand)
{
  nlohmann::json json;
  json["t"] = kCommandNames[aCommand.index()];
  json["b"] = std::visit([](const auto& aTyped) { return nlohmann::json(aTyped); }, aCommand);
  return toCbor(json);
}

Result<Command>
decodeCommand(std::string_view aBytes)
{
  try {
    const auto json = nlohmann::json::from_cbor(aBytes.begin(), aBytes.end());
    const auto& name = json.at("t").get_ref<const std::string&>();
    for (std::size_t i = 0; i < kCommandCount; ++i) {
      if (kCommandNames[i] == name) {
        return kDecoders[i](json.at("b"));
      }
    }
    return failure(ErrorCode::kParse, "unknown command '" + name + "'");
  } catch (const nlohmann::json::exception& error) {
    return failure(ErrorCode::kParse, error.what());
  }
}

std::string
encode(const ReplicatedState& aState)
{
  nlohmann::json json;
  json["applied"] = aState.applied;
  json["lists"] = aState.lists;
  json["ledger"] = aState.ledger;
  json["sessions"] = aState.sessions;
  json["claims"] = aState.claims;
  json["moves"] = aState.moves;
  json["routing"] = aState.routing;
  json["allowances"] = aState.allowances;
  json["evacuations"] = aState.evacuations;
  json["quarantine"] = aState.quarantine;
  json["rollouts"] = aState.rollouts;
  return toCbor(json);
}

Result<ReplicatedState>
decode(std::string_view aBytes)
{
  try {
    const auto json = nlohmann::json::from_cbor(aBytes.begin(), aBytes.end());
    ReplicatedState state;
    state.applied = json.at("applied").get<LogIndex>();
    state.lists = json.at("lists").get<ListsState>();
    state.ledger = json.at("ledger").get<Ledger>();
    state.sessions = json.at("sessions").get<Sessions>();
    state.claims = json.at("claims").get<Claims>();
    state.moves = json.at("moves").get<Moves>();
    // Snapshots of earlier software versions lack these members.
    state.routing = json.value("routing", RoutingState{});
    state.allowances = json.value("allowances", Allowances{});
    state.evacuations = json.value("evacuations", Evacuations{});
    state.quarantine = json.value("quarantine", Quarantine{});
    state.rollouts = json.value("rollouts", Rollouts{});
    rebuildIndexes(state.ledger);
    return state;
  } catch (const nlohmann::json::exception& error) {
    return failure(ErrorCode::kCorrupt, std::string("snapshot of the state: ") + error.what());
  }
}

} // namespace rhubarbarch::state
