#pragma once

#include <nlohmann/json.hpp>

/// Defines the JSON conversions of a struct: absent fields keep their defaults, unknown fields are ignored. The
/// parameter names are those that the macros of nlohmann/json expect.
#define RHUBARBARCH_DEFINE_FIELDS(Type, ...)                                                                           \
  void to_json(nlohmann::json& nlohmann_json_j, const Type& nlohmann_json_t)                                           \
  {                                                                                                                    \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                                           \
  }                                                                                                                    \
  void from_json(const nlohmann::json& nlohmann_json_j, Type& nlohmann_json_t)                                         \
  {                                                                                                                    \
    const Type nlohmann_json_default_obj{};                                                                            \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM_WITH_DEFAULT, __VA_ARGS__))                            \
  }
