#include "rhubarbarch/net/peer_handshake.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace rhubarbarch::net {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxRoles = 3;

void
appendPart(std::string& aText, std::string_view aPart)
{
  // The length keeps two different pairs of parts from having the same joined bytes.
  aText += std::to_string(aPart.size());
  aText += ':';
  aText += aPart;
}

bool
knownRole(std::uint8_t aRole)
{
  return aRole <= static_cast<std::uint8_t>(Role::kController);
}

Result<Hello>
checkHello(Hello aHello)
{
  if (aHello.version != kProtocolVersion) {
    return failure(ErrorCode::kProtocol, "protocol version " + std::to_string(aHello.version));
  }
  if (aHello.instance.empty() || aHello.instance.size() > kMaxNameBytes || aHello.nonce.size() != kNonceBytes ||
      aHello.roles.empty() || aHello.roles.size() > kMaxRoles) {
    return failure(ErrorCode::kProtocol, "hello with values out of range");
  }
  return aHello;
}

} // namespace

std::string
encodeHello(const Hello& aHello)
{
  nlohmann::json json;
  json["protocol"] = "rhubarbarch";
  json["version"] = aHello.version;
  json["instance"] = aHello.instance;
  json["boot"] = toNumber(aHello.boot);
  json["roles"] = aHello.roles;
  json["nonce"] = nlohmann::json::binary({ aHello.nonce.begin(), aHello.nonce.end() });
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

Result<Hello>
decodeHello(std::string_view aBytes)
{
  try {
    const auto json = nlohmann::json::from_cbor(aBytes.begin(), aBytes.end());
    if (json.at("protocol") != "rhubarbarch") {
      return failure(ErrorCode::kProtocol, "not a hello");
    }
    Hello hello;
    hello.version = json.at("version").get<std::uint32_t>();
    hello.instance = json.at("instance").get<InstanceId>();
    hello.boot = static_cast<Boot>(json.at("boot").get<std::uint64_t>());
    for (const auto& role : json.at("roles")) {
      const auto number = role.get<std::uint8_t>();
      if (!knownRole(number)) {
        return failure(ErrorCode::kProtocol, "unknown role in hello");
      }
      hello.roles.push_back(static_cast<Role>(number));
    }
    const auto& nonce = json.at("nonce").get_binary();
    hello.nonce.assign(nonce.begin(), nonce.end());
    return checkHello(std::move(hello));
  } catch (const nlohmann::json::exception& error) {
    return failure(ErrorCode::kParse, error.what());
  }
}

std::string
proofOfKey(std::string_view aKey, Side aAuthor, std::string_view aAuthorHello, std::string_view aOtherHello)
{
  std::string text = aAuthor == Side::kOpened ? "opened" : "accepted";
  appendPart(text, aAuthorHello);
  appendPart(text, aOtherHello);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const auto* input = reinterpret_cast<const unsigned char*>(text.data());
  if (HMAC(EVP_sha256(), aKey.data(), static_cast<int>(aKey.size()), input, text.size(), digest.data(), &length) ==
      nullptr) {
    std::abort();
  }
  return { digest.begin(), digest.begin() + length };
}

bool
equalProofs(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() && CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
randomNonce()
{
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) != 1) {
    std::abort();
  }
  return nonce;
}

} // namespace rhubarbarch::net
