#pragma once

namespace rhubarbarch {

/// Lowest and highest status of an HTTP answer (RFC 9110, section 15). A parser takes any three digits.
inline constexpr unsigned kMinHttpStatus = 100;
inline constexpr unsigned kMaxHttpStatus = 599;

/// @return whether a message with this status is an answer
constexpr bool
isHttpStatus(unsigned aStatus) noexcept
{
  return aStatus >= kMinHttpStatus && aStatus <= kMaxHttpStatus;
}

} // namespace rhubarbarch
