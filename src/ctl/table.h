#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rhubarbarch::ctl {

/// Formats rows of JSON objects as aligned columns.
/// @param aRows array of objects
/// @param aColumns keys to show, in order; an absent key shows as `-`
/// @return lines with a header line. Usage: `formatTable(body["moves"], {"id", "state"})`.
std::string
formatTable(const nlohmann::json& aRows, const std::vector<std::string>& aColumns);

/// Formats the scalar members of an object as `key: value` lines.
std::string
formatFields(const nlohmann::json& aObject);

} // namespace rhubarbarch::ctl
