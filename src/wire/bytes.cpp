#include "rhubarbarch/base/bytes.h"

#include <nlohmann/json.hpp>

namespace rhubarbarch {

void
to_json(nlohmann::json& aJson, const Bytes& aBytes)
{
  aJson = nlohmann::json::binary({ aBytes.data.begin(), aBytes.data.end() });
}

void
from_json(const nlohmann::json& aJson, Bytes& aBytes)
{
  const auto& binary = aJson.get_binary();
  aBytes.data.assign(binary.begin(), binary.end());
}

} // namespace rhubarbarch
