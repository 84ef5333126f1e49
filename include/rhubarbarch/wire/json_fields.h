#pragma once

#include <nlohmann/json_fwd.hpp>

/// Declares the JSON conversions of a struct. They are defined in src/wire/ so that a source file that includes the
/// messages does not compile them again.
#define RHUBARBARCH_DECLARE_FIELDS(Type)                                                                               \
  void to_json(nlohmann::json& aJson, const Type& aValue);                                                             \
  void from_json(const nlohmann::json& aJson, Type& aValue);
