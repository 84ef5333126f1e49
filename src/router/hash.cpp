#include "rhubarbarch/router/hash.h"

#include <openssl/evp.h>

#include <array>
#include <cstdlib>

namespace rhubarbarch::router {

namespace {

constexpr std::size_t kDigestBytes = 32;
using Digest = std::array<unsigned char, kDigestBytes>;

Digest
sha256(std::string_view aText)
{
  Digest digest{};
  unsigned int length = 0;
  if (EVP_Digest(aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
    // Only fails without memory or without SHA-256 in the library, in which case no key can be checked.
    std::abort();
  }
  return digest;
}

} // namespace

std::string
sha256Hex(std::string_view aText)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : sha256(aText)) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 15U]);
  }
  return hex;
}

std::uint64_t
stableHash(std::string_view aText)
{
  const auto digest = sha256(aText);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < sizeof(hash); ++i) {
    hash = (hash << 8U) | digest.at(i);
  }
  return hash;
}

} // namespace rhubarbarch::router
