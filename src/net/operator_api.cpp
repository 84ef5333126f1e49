#include "rhubarbarch/net/operator_api.h"

#include "rhubarbarch/settings/lists.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <optional>
#include <stdexcept>

namespace rhubarbarch::net {

namespace {

using nlohmann::json;
using router::CallerRequest;
using Parsed = std::variant<controller::Operation, OperatorAnswer>;

constexpr std::string_view kPlanPrefix = "/v1/plans/";
constexpr std::string_view kRequestPrefix = "/v1/requests/";
constexpr std::size_t kMaxRequestIdBytes = 128;

OperatorAnswer
problem(std::int32_t aStatus, const std::string& aError, const std::string& aDetail)
{
  return { aStatus, "application/json", json{ { "error", aError }, { "detail", aDetail } }.dump() + "\n" };
}

OperatorAnswer
invalid(const std::string& aDetail)
{
  return problem(400, "invalid_argument", aDetail);
}

OperatorAnswer
refusedList(const Error& aError)
{
  return problem(400, "invalid_list", aError.detail);
}

std::optional<char>
hexByte(std::string_view aDigits)
{
  unsigned char value = 0;
  const auto [end, error] = std::from_chars(aDigits.data(), aDigits.data() + aDigits.size(), value, 16);
  if (aDigits.size() != 2 || error != std::errc() || end != aDigits.data() + 2) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

// Decodes `%xx`; empty when malformed.
std::string
decodePercent(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    const auto byte = hexByte(aText.substr(i + 1, 2));
    if (!byte) {
      return {};
    }
    decoded += *byte;
    i += 2;
  }
  return decoded;
}

std::string
requestId(const json& aBody)
{
  auto id = aBody.at("request_id").get<std::string>();
  if (id.empty() || id.size() > kMaxRequestIdBytes) {
    throw std::invalid_argument("request_id must have 1 to 128 bytes");
  }
  return id;
}

// Only known keys, so that a misspelt one is not silently ignored.
void
requireKeys(const json& aBody, std::initializer_list<std::string_view> aKeys)
{
  if (!aBody.is_object()) {
    throw std::invalid_argument("the body must be a JSON object");
  }
  for (const auto& [key, value] : aBody.items()) {
    if (std::ranges::find(aKeys, key) == aKeys.end()) {
      throw std::invalid_argument("unknown key '" + key + "'");
    }
  }
}

Parsed
parseApplyPlans(const json& aBody)
{
  requireKeys(aBody, { "request_id", "expected_revision", "document" });
  controller::ApplyPlans operation;
  operation.requestId = requestId(aBody);
  operation.expected = static_cast<Revision>(aBody.at("expected_revision").get<std::uint64_t>());
  auto plans = settings::parsePlans(aBody.at("document").get<std::string>());
  if (!plans) {
    return refusedList(plans.error());
  }
  operation.plans = std::move(plans.value());
  return operation;
}

Parsed
parseApplyUses(const json& aBody)
{
  requireKeys(aBody, { "request_id", "expected_revision", "document" });
  controller::ApplyUses operation;
  operation.requestId = requestId(aBody);
  operation.expected = static_cast<Revision>(aBody.at("expected_revision").get<std::uint64_t>());
  auto document = settings::parseUses(aBody.at("document").get<std::string>());
  if (!document) {
    return refusedList(document.error());
  }
  operation.uses = std::move(document.value().uses);
  operation.routes = std::move(document.value().routes);
  return operation;
}

Parsed
parseMove(const json& aBody)
{
  requireKeys(aBody, { "request_id", "model", "to_version", "deadline_unix_ms" });
  controller::RequestMove operation;
  operation.requestId = requestId(aBody);
  operation.model = aBody.at("model").get<std::string>();
  operation.toVersion = aBody.at("to_version").get<std::string>();
  operation.deadline = WallTime(Duration(aBody.at("deadline_unix_ms").get<std::int64_t>()));
  return operation;
}

Parsed
parseChange(const std::string& aPath, const std::string& aBody)
{
  try {
    const auto body = json::parse(aBody);
    if (aPath == "/v1/lists/plans") {
      return parseApplyPlans(body);
    }
    if (aPath == "/v1/lists/uses") {
      return parseApplyUses(body);
    }
    return parseMove(body);
  } catch (const json::exception& error) {
    return invalid(error.what());
  } catch (const std::invalid_argument& error) {
    return invalid(error.what());
  }
}

Parsed
parseNamed(std::string_view aName, bool aPlan)
{
  auto name = decodePercent(aName);
  if (name.empty()) {
    return invalid("malformed name in the path");
  }
  if (aPlan) {
    return controller::ShowPlan{ std::move(name) };
  }
  return controller::ExplainRequest{ std::move(name) };
}

Parsed
parseShow(const std::string& aPath)
{
  if (aPath == "/v1/lists") {
    return controller::ShowLists{};
  }
  if (aPath == "/v1/instances") {
    return controller::ShowInstances{};
  }
  if (aPath == "/v1/moves") {
    return controller::ShowMoves{};
  }
  if (aPath.starts_with(kPlanPrefix)) {
    return parseNamed(std::string_view(aPath).substr(kPlanPrefix.size()), true);
  }
  if (aPath.starts_with(kRequestPrefix)) {
    return parseNamed(std::string_view(aPath).substr(kRequestPrefix.size()), false);
  }
  return problem(404, "not_found", "no such path");
}

bool
takesChanges(const std::string& aPath)
{
  constexpr std::array<std::string_view, 3> kPaths = { "/v1/lists/plans", "/v1/lists/uses", "/v1/moves" };
  return std::ranges::find(kPaths, aPath) != kPaths.end();
}

} // namespace

Parsed
parseOperation(const CallerRequest& aRequest)
{
  if (aRequest.method == "POST" && takesChanges(aRequest.path)) {
    return parseChange(aRequest.path, aRequest.body);
  }
  if (aRequest.method == "GET" || aRequest.method == "HEAD") {
    return parseShow(aRequest.path);
  }
  return problem(405, "method_not_allowed", aRequest.method + " " + aRequest.path);
}

} // namespace rhubarbarch::net
