#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace rhubarbarch {

/// Binary payload; encoded as a CBOR byte string.
struct Bytes
{
  std::string data;

  bool operator==(const Bytes&) const = default;
};

/// Encodes a payload as a CBOR byte string.
void
to_json(nlohmann::json& aJson, const Bytes& aBytes);

/// Decodes a CBOR byte string; throws `nlohmann::json::type_error` on another type.
void
from_json(const nlohmann::json& aJson, Bytes& aBytes);

} // namespace rhubarbarch
