#pragma once

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace rhubarbarch {

/// All errors of the project.
enum class ErrorCode : std::uint8_t
{
  kInvalidArgument, ///< a value is out of range or of the wrong kind
  kUnknownKey,      ///< a settings or list key that does not exist
  kMissingKey,      ///< a required key is absent
  kParse,           ///< text that is not valid YAML, JSON or CBOR
  kTooLarge,        ///< a frame, header, body or list over its limit
  kCorrupt,         ///< stored data whose checksum does not match
  kIo,              ///< the operating system refused a file or socket operation
  kNotLeader,       ///< this controller is not the leader
  kConflict,        ///< compare-and-swap failed or the same key came with another body
  kNotFound,        ///< no such plan, grant, claim, move or request
  kDenied,          ///< not authenticated or not allowed
  kBudget,          ///< the budget does not cover the request
  kDeadline,        ///< a deadline has passed or cannot be met
  kUnavailable,     ///< no upstream or controller can serve this now
  kProtocol         ///< a peer broke the protocol
};

/// An error as a value: what went wrong and where.
struct Error
{
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string detail;
};

/// Value or error. `has_value()`, `value()`, `error()` as in Boost.Outcome.
template<typename T>
using Result = boost::outcome_v2::checked<T, Error>;

/// Builds a failed result.
/// @param aCode the error code
/// @param aDetail text for a person, naming the place
/// @return a failure convertible to any `Result<T>`. Usage: `return failure(ErrorCode::kParse, "line 3")`.
inline auto
failure(ErrorCode aCode, std::string aDetail)
{
  return boost::outcome_v2::failure(Error{ aCode, std::move(aDetail) });
}

} // namespace rhubarbarch
