#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbarch::router {

/// @return lower-case hex SHA-256 of `aText`. Usage: `sha256Hex(apiKey)`.
std::string
sha256Hex(std::string_view aText);

/// First eight bytes of the SHA-256 of `aText`, big-endian. The same in every process and build.
/// @return the hash. Usage: `stableHash(requestId) % 1000`.
std::uint64_t
stableHash(std::string_view aText);

} // namespace rhubarbarch::router
