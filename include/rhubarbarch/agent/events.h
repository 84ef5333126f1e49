#pragma once

#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/message.h"
#include "rhubarbarch/wire/role_events.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbarch::agent {

using roles::Log;
using roles::PeerDown;
using roles::PeerMessage;
using roles::PeerUp;
using roles::Send;
using roles::Shutdown;
using roles::Stopped;

/// Number of one HTTP exchange with the upstream, assigned by the state machine.
enum class ExchangeId : std::uint64_t
{
};

struct Tick
{};

/// The status and content type of the upstream's answer arrived.
struct UpstreamHead
{
  ExchangeId exchange{};
  std::int32_t httpStatus = 0;
  std::string contentType;
};

/// Bytes of the upstream's answer.
struct UpstreamData
{
  ExchangeId exchange{};
  std::string data;
};

/// The upstream's answer is complete.
struct UpstreamEnd
{
  ExchangeId exchange{};
};

/// How far an exchange got before it failed.
enum class ExchangeFailure : std::uint8_t
{
  kNotSent, ///< no connection; no byte of the request was written
  kBroken   ///< failed or timed out after the request may have reached the upstream
};

/// The exchange failed.
struct UpstreamError
{
  ExchangeId exchange{};
  ExchangeFailure failure = ExchangeFailure::kBroken;
  std::string detail;
};

/// Load report of the engine. It lags behind the engine's state.
struct LoadReport
{
  std::int64_t kvUsedBytes = 0;
  std::int64_t kvCapacityBytes = 0;
  std::int64_t running = 0;
  std::vector<LoadedVersion> loaded;
};

/// Prefix cache event of the engine. Events may arrive late, and some may be missing.
struct CacheEvent
{
  std::uint64_t sequence = 0;
  bool stored = true; ///< false: evicted
  std::uint64_t prefixHash = 0;
};

using Event = std::variant<PeerMessage,
                           PeerUp,
                           PeerDown,
                           Tick,
                           Shutdown,
                           UpstreamHead,
                           UpstreamData,
                           UpstreamEnd,
                           UpstreamError,
                           LoadReport,
                           CacheEvent>;

/// Start an HTTP exchange with the upstream.
struct UpstreamStart
{
  ExchangeId exchange{};
  std::string method;
  std::string path;
  std::string contentType;
  std::string body;
  std::string requestId;               ///< sent as `X-Request-Id`
  std::string idempotencyKey;          ///< sent when not empty
  Priority priority = Priority::kChat; ///< sent as `X-Priority`
  Tokens outputCap = 0;                ///< sent as `X-Max-Tokens` when not zero
  FenceNumber fence{};                 ///< sent as `X-Fence` on orders
  std::uint64_t resumeOffset = 0; ///< bytes of the answer already received; sent as `X-Resume-Offset` when not zero
  Duration timeout{ 0 };
  ModelName model;     ///< sent as `X-Model` when not empty
  VersionName version; ///< sent as `X-Model-Version` when not empty
};

/// Stop reading from the upstream until UpstreamContinue.
struct UpstreamPause
{
  ExchangeId exchange{};
};

struct UpstreamContinue
{
  ExchangeId exchange{};
};

/// Close the exchange. With `tellUpstream`, also `POST /engine/cancel` with the request id.
struct UpstreamCancel
{
  ExchangeId exchange{};
  std::string requestId;
  bool tellUpstream = true;
};

using Action = std::variant<Send, UpstreamStart, UpstreamPause, UpstreamContinue, UpstreamCancel, Log, Stopped>;
using Actions = std::vector<Action>;

} // namespace rhubarbarch::agent
