#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace rhubarbarch {

/// Severity of a log line.
enum class Severity : std::uint8_t
{
  kInfo,
  kWarning,
  kError
};

/// One JSON log line. State machines return it as an action; the shell writes it.
struct LogLine
{
  Severity severity = Severity::kInfo;
  std::string event;     ///< short snake_case name, for example `placement`
  nlohmann::json fields; ///< object with the details
};

} // namespace rhubarbarch
