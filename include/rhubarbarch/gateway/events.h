#pragma once

#include "rhubarbarch/base/http_field.h"
#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/events.h"
#include "rhubarbarch/wire/message.h"

#include <cstdint>
#include <memory>
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

/// Number of one call to an upstream within this process.
enum class ExchangeId : std::uint64_t
{
};

/// A part of a prompt. Requests that name the same part share its tokens.
struct PromptPart
{
  std::string id;
  Tokens tokens = 0;
};

/// A whole request of a caller, as the adapter of the deployment decoded it.
struct CallerCall
{
  CallerId caller{};
  std::string requestId; ///< the caller's
  std::string method;
  std::string host;   ///< without port, lower case
  std::string target; ///< path and query
  std::string key;    ///< API key; empty: none
  HttpFields fields;  ///< those to pass on
  std::shared_ptr<const std::string> body;
  Duration deadline{ 0 };         ///< how long the caller waits; zero: not said
  Tokens promptTokens = 0;        ///< zero: no model call
  Tokens maxOutputTokens = 0;     ///< zero: no model call
  Tokens likelyOutputTokens = 0;  ///< the caller's estimate; zero: none
  std::vector<PromptPart> prompt; ///< in order; the last part is the request's own
  std::string lastEventId;        ///< the caller resumes a stream after this event; empty: from the start
};

/// A caller left before its request was read; it was not passed on.
struct CallerAbandoned
{
  std::string requestId; ///< the caller's
};

/// Head of an upstream's answer, as the adapter decoded it.
struct UpstreamHead
{
  ExchangeId exchange{};
  std::int32_t status = 0;
  HttpFields fields;          ///< those to pass on
  bool genuine = false;       ///< bears the upstream's signature and the request's id
  bool notRun = false;        ///< the upstream says that it did not run the request
  bool otherInstance = false; ///< another instance than the expected one has the address
  bool leaving = false;       ///< the upstream takes no further requests on this connection
};

struct UpstreamData
{
  ExchangeId exchange{};
  std::string data;
};

/// The answer is whole.
struct UpstreamEnd
{
  ExchangeId exchange{};
};

/// The answer does not come, or broke off.
struct UpstreamError
{
  ExchangeId exchange{};
  bool sent = true;    ///< false: proved that nothing of the request left
  bool silent = false; ///< a time-out, not a refusal
  std::string detail;
};

/// The platform's list of upstreams, as an answer to ReadUpstreams.
struct UpstreamsRead
{
  std::vector<UpstreamEntry> upstreams;
};

/// How late the event loop is: what it reads now has lain unread for up to this long.
struct LoopDelay
{
  Duration delay{ 0 };
};

/// The settings name other first contacts.
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

/// Call an upstream.
struct StartCall
{
  ExchangeId exchange{};
  std::string endpoint;   ///< `ip:port`
  std::string upstreamId; ///< the instance that is expected there
  std::string requestId;
  std::string method;
  std::string host;
  std::string target;
  HttpFields fields;
  std::shared_ptr<const std::string> body;
  PlanId plan; ///< empty: none
  std::int32_t priority = 0;
  bool model = false;      ///< a model call, which has a priority at the upstream
  Duration deadline{ 0 };  ///< time that is left; the upstream stops then
  std::string lastEventId; ///< resume after this event
  bool repeatable = false; ///< may run again, so a kept connection of any age will do
};

/// End a call; its upstream stops when the connection closes.
struct CancelCall
{
  ExchangeId exchange{};
};

/// Stop or go on reading an answer.
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
  Duration retryAfter{ 0 };        ///< zero: none
  bool chunked = false;            ///< the length is not known yet
  std::uint64_t contentLength = 0; ///< when not chunked, in bytes
};

/// Limits for callers changed.
struct LimitCallers
{
  CallerLimits limits;
};

/// Read the platform's list; UpstreamsRead follows unless the platform does not answer.
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
