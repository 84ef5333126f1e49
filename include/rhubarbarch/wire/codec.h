#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/wire/message.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace rhubarbarch {

/// Largest frame accepted from a peer, in bytes.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{ 8 } * 1024 * 1024;

/// Name of a message's type as it stands in a frame, for example `GrantRequest`.
/// @param aMessage any message
/// @return its type name. Usage: `messageName(envelope.message)`.
std::string_view
messageName(const Message& aMessage) noexcept;

/// Encodes an envelope as a CBOR frame `{t, from, to, b}`.
/// @param aEnvelope message with addresses
/// @return the bytes of the frame. Usage: `connection.send(encodeFrame(envelope))`.
std::string
encodeFrame(const Envelope& aEnvelope);

/// Decodes a CBOR frame.
/// @param aFrame bytes received from a peer
/// @return the envelope; kTooLarge over kMaxFrameBytes, kParse for bytes that are not a known message.
/// Usage: `auto envelope = decodeFrame(bytes); if (!envelope) { close(envelope.error()); }`.
Result<Envelope>
decodeFrame(std::string_view aFrame);

} // namespace rhubarbarch
