#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbarch::net {

/// Version of the protocol between processes. Only equal versions talk to each other.
inline constexpr std::uint32_t kProtocolVersion = 1;
/// Random bytes that each side contributes to the proofs.
inline constexpr std::size_t kNonceBytes = 32;

/// First message of each side of a connection.
struct Hello
{
  std::uint32_t version = kProtocolVersion;
  InstanceId instance;
  Boot boot{};
  std::vector<Role> roles;
  std::string nonce; ///< kNonceBytes random bytes
};

/// Which side of the connection a process is. Part of the proofs, so that a proof cannot be sent back to its author.
enum class Side : std::uint8_t
{
  kOpened,
  kAccepted
};

/// Encodes a hello as CBOR. Usage: `link.send(encodeHello(hello))`.
std::string
encodeHello(const Hello& aHello);

/// Decodes and checks a hello.
/// @return the hello; kParse for malformed bytes, kProtocol for another version or values out of range
Result<Hello>
decodeHello(std::string_view aBytes);

/// Proof that the author knows the shared key: HMAC-SHA256 over the author's side and both encoded hellos, which hold
/// names and nonces of both.
/// @param aKey shared key
/// @param aAuthor side of the process that sends the proof
/// @param aAuthorHello encoded hello of the author
/// @param aOtherHello encoded hello of the other side
/// @return 32 bytes
std::string
proofOfKey(std::string_view aKey, Side aAuthor, std::string_view aAuthorHello, std::string_view aOtherHello);

/// Compares in a time that does not depend on the content.
bool
equalProofs(std::string_view aLeft, std::string_view aRight) noexcept;

/// @return kNonceBytes random bytes from OpenSSL
std::string
randomNonce();

} // namespace rhubarbarch::net
