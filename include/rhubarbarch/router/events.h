#pragma once

#include "rhubarbarch/base/http_field.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/message.h"
#include "rhubarbarch/wire/role_events.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rhubarbarch::router {

using roles::Log;
using roles::PeerDown;
using roles::PeerMessage;
using roles::PeerUp;
using roles::Send;
using roles::Shutdown;
using roles::Stopped;

/// Number of a caller's request within this process, chosen by the HTTP server.
enum class CallerId : std::uint64_t
{
};

/// A complete request of a caller.
struct CallerRequest
{
  CallerId caller{};
  std::string method;
  std::string path;           ///< without query
  std::string apiKey;         ///< from `Authorization: Bearer`
  std::string idempotencyKey; ///< empty when absent
  std::string contentType;
  std::string body;
  std::string target;                  ///< path and query; only if HttpServerOptions::passFields
  HttpFields fields;                   ///< all header fields; only if HttpServerOptions::passFields
  std::uint32_t connectionRequest = 0; ///< place among the requests of its connection, from 1
};

/// The HTTP server wrote answer bytes to the caller's socket, so the router may fetch more.
struct CallerDrained
{
  CallerId caller{};
  std::uint64_t bytes = 0; ///< since the last event
};

/// The caller closed the connection.
struct CallerGone
{
  CallerId caller{};
};

/// Periodic timer event, sent every kTickPeriod.
struct Tick
{};

using Event = std::variant<CallerRequest, CallerDrained, CallerGone, PeerMessage, PeerUp, PeerDown, Tick, Shutdown>;

/// Connects to a peer and maintains the connection; an empty endpoint closes it.
struct Connect
{
  Address peer;
  std::string endpoint; ///< `ip:port`
};

/// Starts the answer to a caller.
struct ReplyHead
{
  CallerId caller{};
  std::int32_t httpStatus = 200;
  std::string contentType;
  Duration retryAfter{ 0 };        ///< zero: no `Retry-After` header
  std::string requestId;           ///< sent as `X-Request-Id`
  bool chunked = false;            ///< true: the length is not known in advance
  std::uint64_t contentLength = 0; ///< when not chunked, in bytes
  HttpFields fields;               ///< further header fields
};

/// Body bytes of the answer.
struct ReplyBody
{
  CallerId caller{};
  std::string data;
};

/// The answer is complete.
struct ReplyEnd
{
  CallerId caller{};
};

/// The answer cannot be completed: closes the connection so that the caller detects the truncation.
struct ReplyAbort
{
  CallerId caller{};
};

using Action = std::variant<Send, Connect, ReplyHead, ReplyBody, ReplyEnd, ReplyAbort, Log, Stopped>;
using Actions = std::vector<Action>;

} // namespace rhubarbarch::router
