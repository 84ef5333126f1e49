#include "rhubarbarch/settings/lists.h"

#include "map_reader.h"

#include <algorithm>
#include <cctype>

namespace rhubarbarch::settings {

namespace {

constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kMaxNameLength = 128;

bool
isName(const std::string& aText)
{
  const auto isAllowed = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' || aChar == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength && std::ranges::all_of(aText, isAllowed);
}

bool
isSha256Hex(const std::string& aText)
{
  const auto isHex = [](unsigned char aChar) { return std::isdigit(aChar) != 0 || (aChar >= 'a' && aChar <= 'f'); };
  return aText.size() == kSha256HexLength && std::ranges::all_of(aText, isHex);
}

void
requireName(MapReader& aReader, const std::string& aKey, std::string& aName)
{
  aReader.required(aKey, aName);
  aReader.check(aKey, isName(aName), "must be 1 to 128 letters, digits, '-', '_' or '.'");
}

void
checkNames(MapReader& aReader, const std::string& aKey, const std::vector<std::string>& aNames)
{
  aReader.check(
    aKey, std::ranges::all_of(aNames, isName), "holds a name with other than letters, digits, '-', '_', '.'");
}

PlanEntry
readPlan(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath)
{
  PlanEntry entry;
  MapReader reader(aContext, aNode, aPath);
  requireName(reader, "plan", entry.plan);
  requireName(reader, "workspace", entry.workspace);
  reader.required("key_hashes", entry.keyHashes);
  reader.check("key_hashes",
               std::ranges::all_of(entry.keyHashes, isSha256Hex),
               "must hold SHA-256 hashes of 64 lower-case hex digits");
  std::string priority = "chat";
  reader.optional("priority", priority);
  reader.check("priority", priority == "chat" || priority == "review", "must be chat or review");
  entry.priority = priority == "review" ? Priority::kReview : Priority::kChat;
  reader.finish();
  return entry;
}

ModelUse
readModelUse(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath)
{
  ModelUse use;
  MapReader reader(aContext, aNode, aPath);
  requireName(reader, "model", use.model);
  reader.optional("versions", use.versions);
  checkNames(reader, "versions", use.versions);
  reader.finish();
  return use;
}

UseEntry
readUse(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath)
{
  UseEntry entry;
  MapReader reader(aContext, aNode, aPath);
  requireName(reader, "plan", entry.plan);
  reader.optional("services", entry.services);
  checkNames(reader, "services", entry.services);
  reader.optionalList("models", [&](const YAML::Node& aModel, const std::string& aModelPath) {
    entry.models.push_back(readModelUse(aContext, aModel, aModelPath));
  });
  reader.required("budget_tokens", entry.budgetTokens);
  reader.check("budget_tokens", entry.budgetTokens >= 0, "must not be negative");
  reader.finish();
  return entry;
}

RouteEntry
readRoute(ReadContext& aContext, const YAML::Node& aNode, const std::string& aPath)
{
  RouteEntry entry;
  MapReader reader(aContext, aNode, aPath);
  reader.required("path", entry.path);
  reader.check("path", entry.path.starts_with('/'), "must begin with '/'");
  reader.optional("service", entry.service);
  reader.check("service", entry.service.empty() || isName(entry.service), "must be a name");
  reader.optional("idempotent", entry.idempotent);
  reader.optional("flat_tokens", entry.flatTokens);
  reader.check("flat_tokens", entry.flatTokens >= 0, "must not be negative");
  reader.check("flat_tokens", entry.flatTokens == 0 || !entry.service.empty(), "applies to plain services only");
  reader.finish();
  return entry;
}

/// Reports the first element whose key was seen before.
template<typename T, typename Key>
Result<void>
checkUnique(const std::vector<T>& aEntries, Key T::* aKey, const std::string& aWhat)
{
  std::set<Key> seen;
  for (const auto& entry : aEntries) {
    if (!seen.insert(entry.*aKey).second) {
      return failure(ErrorCode::kInvalidArgument, aWhat + " '" + entry.*aKey + "' stands twice");
    }
  }
  return boost::outcome_v2::success();
}

} // namespace

Result<std::vector<PlanEntry>>
parsePlans(const std::string& aText)
{
  const auto root = parseDocument(aText, "plans");
  if (!root) {
    return root.as_failure();
  }
  ReadContext context{ "plans", std::nullopt };
  std::vector<PlanEntry> plans;
  MapReader reader(context, root.value(), "");
  reader.check("plans", root.value()["plans"].IsDefined(), "is required");
  reader.optionalList("plans", [&](const YAML::Node& aNode, const std::string& aPath) {
    plans.push_back(readPlan(context, aNode, aPath));
  });
  reader.finish();
  if (context.error) {
    return failure(context.error->code, context.error->detail);
  }
  if (const auto unique = checkUnique(plans, &PlanEntry::plan, "plan"); !unique) {
    return unique.as_failure();
  }
  std::set<std::string> hashes;
  for (const auto& plan : plans) {
    for (const auto& hash : plan.keyHashes) {
      if (!hashes.insert(hash).second) {
        return failure(ErrorCode::kInvalidArgument, "plan '" + plan.plan + "' has a key hash that stands twice");
      }
    }
  }
  return plans;
}

Result<UsesDocument>
parseUses(const std::string& aText)
{
  const auto root = parseDocument(aText, "uses");
  if (!root) {
    return root.as_failure();
  }
  ReadContext context{ "uses", std::nullopt };
  UsesDocument document;
  MapReader reader(context, root.value(), "");
  reader.check("uses", root.value()["uses"].IsDefined(), "is required");
  reader.optionalList("routes", [&](const YAML::Node& aNode, const std::string& aPath) {
    document.routes.push_back(readRoute(context, aNode, aPath));
  });
  reader.optionalList("uses", [&](const YAML::Node& aNode, const std::string& aPath) {
    document.uses.push_back(readUse(context, aNode, aPath));
  });
  reader.finish();
  if (context.error) {
    return failure(context.error->code, context.error->detail);
  }
  if (const auto unique = checkUnique(document.uses, &UseEntry::plan, "plan"); !unique) {
    return unique.as_failure();
  }
  if (const auto unique = checkUnique(document.routes, &RouteEntry::path, "path"); !unique) {
    return unique.as_failure();
  }
  return document;
}

} // namespace rhubarbarch::settings
