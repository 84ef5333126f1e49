#pragma once

#include "event_stream.h"
#include "plan_budgets.h"
#include "retry_share.h"
#include "route_index.h"
#include "upstreams.h"

#include "rhubarbarch/gateway/events.h"
#include "rhubarbarch/gateway/options.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbarch::gateway {

/// One call of a request to an upstream.
struct Attempt
{
  ExchangeId exchange{};
  std::string upstreamId;
  TimePoint startedAt;
  Duration expected{ 0 };
  Tokens missing = 0; ///< prompt tokens counted as being read there until the first event
  bool firstBytes = false;
  std::unique_ptr<UpstreamHead> head; ///< null: not received yet
};

/// One request of a caller.
struct Request
{
  CallerCall call;
  std::shared_ptr<const RouteIndex> index; ///< that the request began with; `route` and `service` point into it
  const Route* route = nullptr;
  const Service* service = nullptr;
  PlanId plan;          ///< empty on public routes
  bool limited = false; ///< the plan has a budget and the request takes tokens
  std::int32_t priority = 0;
  TimePoint arrivedAt;     ///< when it was read
  Duration loopDelay{ 0 }; ///< longest time that it may have lain unread before
  TimePoint endsAt;        ///< the caller's deadline or the route's timeout, whichever comes first
  Tokens worstCase = 0;
  bool reserved = false;
  std::optional<TimePoint> waitsUntil; ///< for tokens, or for the first document
  std::unique_ptr<Attempt> attempt;    ///< null: none in progress
  std::set<std::string> tried;
  int sends = 0;      ///< attempts of which something left this process
  int mayHaveRun = 0; ///< attempts that are not proved not to have run
  bool headSent = false;
  EventStream stream;
  std::string body;              ///< of an answer that is passed on as a whole
  std::uint64_t undelivered = 0; ///< bytes of the answer that the caller has not taken
  bool paused = false;
};

/// The exchange with the controllers.
struct ControlLink
{
  std::vector<std::string> controllers; ///< endpoints
  std::size_t current = 0;              ///< the one that polls go to
  TimePoint triedSince;                 ///< start of the silence of the current one
  TimePoint pollAt;
  TimePoint polledAt;
  bool urgent = false; ///< requests wait for tokens, or some were given back, since the last poll
  std::uint64_t polls = 0;
  SessionId session{};
  std::optional<TimePoint> answeredAt;
  TimePoint directAt;              ///< last answer that came without a relay
  std::vector<std::string> relays; ///< endpoints
  std::uint64_t answered = 0;      ///< highest poll that was answered
  std::uint32_t gateways = 1;
  TimePoint listAskedAt;
};

struct Totals
{
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t aborted = 0;
  std::uint64_t callersGone = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::map<std::int32_t, std::uint64_t> refusals; ///< by HTTP status
};

/// How late the event loop is.
struct LoopState
{
  Duration delay{ 0 };     ///< at the last tick
  Duration sustained{ 0 }; ///< the shorter one of the last two; a single pause does not count
  Duration longest{ 0 };   ///< since the last log line
  std::uint64_t requestsAtLog = 0;
  TimePoint loggedAt;
};

/// Everything that the gateway role knows. Free functions in this folder work on it.
struct State
{
  GatewayOptions options;
  Boot boot{};
  std::mt19937_64 random;
  TimePoint now; ///< of the event that is handled
  Actions actions;
  bool started = false;
  TimePoint startedAt;

  std::shared_ptr<const RouteIndex> index; ///< null: no document yet
  Upstreams upstreams;
  PlanBudgets budgets;
  RetryShares retries;
  ControlLink link;
  std::map<CallerId, Request> requests;
  std::map<ExchangeId, CallerId> exchanges;
  std::uint64_t lastExchange = 0;
  std::size_t heldBytes = 0; ///< request bodies of all requests
  LoopState loop;
  std::optional<TimePoint> leavingSince;
  bool stopped = false;
  Totals totals;
};

void
log(State& aState, Severity aSeverity, std::string aEvent, nlohmann::json aFields);

/// @return the upstream, or null when it is forgotten
Upstream*
findUpstream(State& aState, const std::string& aId);

// control.cpp

/// Sends polls, changes the controller when it is silent, reads the platform's list when nobody else does.
void
tickControl(State& aState);
/// Asks the leader soon: requests wait.
void
pollSoon(State& aState);
void
handlePeer(State& aState, const PeerMessage& aMessage);
void
applyUpstreams(State& aState, const std::vector<UpstreamEntry>& aList, TimePoint aReadAt);

void
onContacts(State& aState, const Contacts& aContacts);

// overload.cpp

void
onLoopDelay(State& aState, Duration aDelay);
/// @return whether requests that are read now would be served late, so that another gateway should get them
bool
overloaded(const State& aState) noexcept;
void
onCallerAbandoned(State& aState, const CallerAbandoned& aAbandoned);

// requests.cpp

void
accept(State& aState, const CallerCall& aCall);
void
onCallerGone(State& aState, CallerId aCaller);
void
onCallerDrained(State& aState, const CallerDrained& aDrained);
/// Tries the requests that wait for tokens again.
void
serveWaiting(State& aState);
/// Gives up requests whose time is over, and silent attempts.
void
tickRequests(State& aState);
/// Reserves tokens and calls an upstream, or waits, or refuses.
void
advance(State& aState, Request& aRequest);

// attempts.cpp

/// Calls an upstream, or refuses the request.
void
startAttempt(State& aState, Request& aRequest);
void
onHead(State& aState, const UpstreamHead& aHead);
void
onData(State& aState, const UpstreamData& aData);
void
onEnd(State& aState, const UpstreamEnd& aEnd);
void
onError(State& aState, const UpstreamError& aError);
/// Ends the current attempt without its answer. @param aCancel close the connection
void
dropAttempt(State& aState, Request& aRequest, bool aCancel);
/// The upstream has not answered within the patience for the route: tries elsewhere where that is allowed.
void
onSilence(State& aState, Request& aRequest);

// finish.cpp

/// Why a request ends without an upstream's answer.
struct GiveUp
{
  std::int32_t status = 503; ///< when it is proved that the request did not run
  const char* error = "";
  Duration retryAfter{ 0 };
};

/// Answers with a failure of our own, or cuts the answer in progress. The status says what is proved.
void
giveUp(State& aState, CallerId aCaller, const GiveUp& aReason);
/// Passes on a whole answer of the upstream.
void
passOn(State& aState, Request& aRequest);
/// Sends the head of a stream.
void
sendStreamHead(State& aState, Request& aRequest);
/// The stream is whole.
void
endStream(State& aState, Request& aRequest);
/// The caller has left. It pays for what it has received.
void
endForCallerGone(State& aState, Request& aRequest);
/// Charges what the request used and forgets it.
void
erase(State& aState, CallerId aCaller);

} // namespace rhubarbarch::gateway
