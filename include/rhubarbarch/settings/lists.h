#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/wire/config.h"

#include <string>
#include <vector>

namespace rhubarbarch::settings {

/// A parsed uses list.
struct UsesDocument
{
  std::vector<UseEntry> uses;
  std::vector<RouteEntry> routes;

  bool operator==(const UsesDocument&) const = default;
};

/// Parses and checks a plans list.
/// @param aText YAML or JSON: `{plans: [{plan, workspace, key_hashes, priority}]}`
/// @return the entries; an error names line and key. Usage: `auto plans = parsePlans(text)`.
Result<std::vector<PlanEntry>>
parsePlans(const std::string& aText);

/// Parses and checks a uses list.
/// @param aText YAML or JSON: `{routes: [{path, service, idempotent, flat_tokens}], uses: [{plan, services, models:
/// [{model, versions}], budget_tokens}]}`
/// @return the entries; an error names line and key. Usage: `auto uses = parseUses(text)`.
Result<UsesDocument>
parseUses(const std::string& aText);

} // namespace rhubarbarch::settings
