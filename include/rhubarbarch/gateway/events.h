#pragma once

#include "rhubarbarch/base/http_field.h"
#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/events.h"
#include "rhubarbarch/upstream/prompt_cache.h"
#include "rhubarbarch/wire/message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbarch::gateway {

using router::CallerDrained;
using router::CallerGone;
using router::CallerId;
using router::Connect;
using router::Log;
using router::PeerDown;
using router::PeerMessage;
using router::PeerUp;
using router::ReplyAbort;
using router::ReplyBody;
using router::ReplyEnd;
using router::Send;
using router::Shutdown;
using router::Stopped;
using router::Tick;

/// Number of a call to an upstream, unique within this process.
enum class ExchangeId : std::uint64_t
{
};

using upstream::PromptPart;

/// A complete request of a caller, decoded by the deployment's adapter.
struct CallerCall
{
  CallerId caller{};
  std::string requestId; ///< chosen by the caller
  std::string method;
  std::string host;   ///< without port, lower case
  std::string target; ///< path and query
  std::string key;    ///< API key; empty: none
  HttpFields fields;  ///< header fields to forward
  std::shared_ptr<const std::string> body;
  Duration deadline{ 0 };              ///< how long the caller waits; zero: not specified
  Tokens promptTokens = 0;             ///< zero: no model call
  Tokens maxOutputTokens = 0;          ///< zero: no model call
  Tokens likelyOutputTokens = 0;       ///< the caller's estimate; zero: none
  std::vector<PromptPart> prompt;      ///< in order; the last part belongs to this request only
  std::string lastEventId;             ///< the caller resumes a stream after this event; empty: from the beginning
  std::uint32_t connectionRequest = 0; ///< place among the requests of its connection, from 1
};

/// A caller disconnected before its request was read; the request was not forwarded.
struct CallerAbandoned
{
  std::string requestId; ///< chosen by the caller
};

/// Head of an upstream's answer, decoded by the deployment's adapter.
struct UpstreamHead
{
  ExchangeId exchange{};
  std::int32_t status = 0;
  HttpFields fields;                    ///< header fields to forward
  bool genuine = false;                 ///< carries the upstream's signature and the request id
  bool notRun = false;                  ///< the upstream states that it did not run the request
  bool otherInstance = false;           ///< the address belongs to an instance other than the expected one
  bool untilClose = false;              ///< the answer has no length and ends with its connection
  bool leaving = false;                 ///< the upstream accepts no further requests on this connection
  std::optional<double> callsPerSecond; ///< rate limit that it names for the calls of all callers together
  std::optional<Duration> retryAfter;   ///< time for which the upstream asks for no calls
};

struct UpstreamData
{
  ExchangeId exchange{};
  std::string data;
};

/// The answer is complete.
struct UpstreamEnd
{
  ExchangeId exchange{};
};

/// The call failed before its answer was complete.
struct UpstreamError
{
  ExchangeId exchange{};
  bool sent = true;    ///< false: confirmed that no part of the request was sent
  bool silent = false; ///< a timeout, not a refusal
  std::string detail;
  bool kept = false; ///< a kept connection closed before the first byte of the answer
};

/// The platform's list of upstreams, in response to ReadUpstreams.
struct UpstreamsRead
{
  std::vector<UpstreamEntry> upstreams;
};

/// Delay of the event loop: input that is read now may have waited for up to this long.
struct LoopDelay
{
  Duration delay{ 0 };
};

/// The controllers in the settings changed.
struct Contacts
{
  std::vector<std::string> controllers; ///< endpoints
};

using Event = std::variant<CallerCall,
                           CallerAbandoned,
                           CallerDrained,
                           CallerGone,
                           UpstreamHead,
                           UpstreamData,
                           UpstreamEnd,
                           UpstreamError,
                           UpstreamsRead,
                           LoopDelay,
                           Contacts,
                           PeerMessage,
                           PeerUp,
                           PeerDown,
                           Tick,
                           Shutdown>;

/// Start a call to an upstream.
struct StartCall
{
  ExchangeId exchange{};
  std::string endpoint;   ///< `ip:port`
  std::string upstreamId; ///< the instance expected at the endpoint
  std::string requestId;
  std::string method;
  std::string host;
  std::string target;
  HttpFields fields;
  std::shared_ptr<const std::string> body;
  PlanId plan; ///< empty: none
  std::int32_t priority = 0;
  bool model = false;      ///< a model call, which has a priority at the upstream
  Duration deadline{ 0 };  ///< remaining time, after which the upstream stops
  std::string lastEventId; ///< resume the stream after this event; empty: from the beginning
  bool repeatable = false; ///< may run again, so that a pooled connection of any age may be used
  bool fresh = false;      ///< use a new connection
};

/// Cancel a call; the upstream stops when the connection closes.
struct CancelCall
{
  ExchangeId exchange{};
};

/// Pause or resume reading an answer.
struct PauseCall
{
  ExchangeId exchange{};
  bool paused = true;
};

/// Begin the answer to a caller.
struct ReplyHead
{
  CallerId caller{};
  std::int32_t httpStatus = 200;
  HttpFields fields;
  Duration retryAfter{ 0 };        ///< zero: no `Retry-After` header
  bool chunked = false;            ///< the length is not known yet
  std::uint64_t contentLength = 0; ///< when not chunked, in bytes
};

/// Set the limits for callers.
struct LimitCallers
{
  CallerLimits limits;
};

/// Read the platform's list; UpstreamsRead follows if the platform answers.
struct ReadUpstreams
{};

using Action = std::variant<StartCall,
                            CancelCall,
                            PauseCall,
                            ReplyHead,
                            ReplyBody,
                            ReplyEnd,
                            ReplyAbort,
                            LimitCallers,
                            ReadUpstreams,
                            Send,
                            Connect,
                            Log,
                            Stopped>;
using Actions = std::vector<Action>;

} // namespace rhubarbarch::gateway
