#pragma once

#include "crash_evidence.h"
#include "event_stream.h"
#include "local_shortage.h"
#include "plan_budgets.h"
#include "retry_share.h"
#include "route_index.h"

#include "rhubarbarch/gateway/events.h"
#include "rhubarbarch/gateway/options.h"
#include "rhubarbarch/upstream/upstreams.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbarch::gateway {

using upstream::CallLimit;
using upstream::Upstream;
using upstream::Upstreams;

/// One call of a request to an upstream.
struct Attempt
{
  ExchangeId exchange{};
  std::string upstreamId;
  TimePoint startedAt;
  Duration expected{ 0 };
  Tokens uncachedTokens = 0;       ///< prompt tokens counted as prefill load of the upstream until the first event
  upstream::EngineLoad load;       ///< engines: at placement
  upstream::TimeEstimate estimate; ///< engines: learned time to the first event; zero: none
  std::int32_t priority = 0;       ///< at the upstream
  bool measurable = false;         ///< engines: the time to the first event may be learned
  TimePoint reviewAt;              ///< while silent: when to consider another upstream next
  bool keptLogged = false;         ///< while silent: logged that it stays
  bool firstBytes = false;
  bool trial = false;                 ///< the first call after a rest of the upstream
  bool sound = false;                 ///< the answer got past its first event
  bool ended = false;                 ///< the answer is complete, and events of it are held back
  std::int64_t eventsBefore = 0;      ///< events of the request's earlier attempts
  std::unique_ptr<UpstreamHead> head; ///< null: not received yet
};

/// One request of a caller.
struct Request
{
  CallerCall call;
  std::shared_ptr<const RouteIndex> index; ///< in force at admission; `route` and `service` point into it
  const Route* route = nullptr;
  const Service* service = nullptr;
  PlanId plan;              ///< empty on public routes
  bool needsTokens = false; ///< the plan has a budget and the request costs tokens
  std::int32_t priority = 0;
  TimePoint arrivedAt;     ///< when the request was read
  Duration loopDelay{ 0 }; ///< longest time that it may have waited to be read
  TimePoint expiresAt;     ///< the caller's deadline or the route's timeout, whichever comes first
  Tokens maxCost = 0;
  Tokens held = 0;    ///< reserved for it, `charged` included; before that, what it will reserve
  Tokens charged = 0; ///< already counted as spent
  Tokens refill = 0;  ///< requested for the running stream and not yet reserved
  bool reserved = false;
  std::optional<TimePoint> waitsUntil; ///< set while it waits for tokens or for the first routing table
  std::unique_ptr<Attempt> attempt;    ///< null: none in progress
  std::set<std::string> tried;
  int sends = 0;         ///< attempts that sent at least a part of the request
  int mayHaveRun = 0;    ///< attempts that are not confirmed as not run
  bool mayCrash = false; ///< an upstream crashed under it, and earlier ones under what it shares with other requests
  bool headSent = false;
  EventStream stream;
  std::string body;              ///< of an answer that is forwarded only when complete
  std::size_t gathered = 0;      ///< bytes of `body` and of an incomplete event that are counted in the state's sum
  std::uint64_t undelivered = 0; ///< bytes of the answer not yet written to the caller's socket
  bool paused = false;
};

/// A poll whose answer may still permit calls.
struct SentPoll
{
  std::uint64_t number = 0;
  TimePoint at;
  std::map<std::string, std::int64_t> wanted; ///< calls requested, by upstream
};

/// When a poll was sent.
struct PollTime
{
  std::uint64_t number = 0;
  TimePoint at;
};

/// A routing table that another one has replaced.
struct EarlierTable
{
  std::shared_ptr<const RouteIndex> index;
  TimePoint replacedAt;
};

/// What is known of the age of the routing table.
struct RoutingConfirmation
{
  std::optional<TimePoint> at;             ///< the table in force at a gateway was the newest one at this time or later
  std::map<std::int64_t, TimePoint> newer; ///< versions above the one held, and when a leader first named them
};

/// State of the polls to the controllers.
struct ControlLink
{
  std::vector<std::string> controllers; ///< endpoints
  std::size_t current = 0;              ///< index of the one that polls are sent to
  TimePoint currentSince;               ///< when polls to the current one began
  TimePoint pollAt;
  TimePoint polledAt;
  bool routingRejected = false; ///< since the last poll, changes have arrived that are for another version
  bool urgent = false;          ///< since the last poll, requests wait for tokens or tokens were returned
  std::uint64_t polls = 0;
  SessionId session{};
  std::optional<TimePoint> answeredAt;
  TimePoint directAnswerAt;        ///< time of the last answer without a relay
  std::vector<std::string> relays; ///< endpoints
  std::uint64_t answered = 0;      ///< highest number of an answered poll
  std::deque<SentPoll> sentPolls;  ///< in order of their numbers
  std::deque<PollTime> pollTimes;  ///< of polls that may still be confirmed, in order of their numbers
  RecentMaximum gateways;          ///< gateways that the leader hears
  TimePoint listRequestedAt;
};

struct Totals
{
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t aborted = 0;
  std::uint64_t callersDisconnected = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t silentMoved = 0;                  ///< silent calls to engines that were tried elsewhere
  std::uint64_t silentKept = 0;                   ///< silent calls to engines that stayed, counted once
  std::uint64_t firstEvents = 0;                  ///< measured times to a first event of an engine
  double firstEventMs = 0;                        ///< their sum
  double expectedMs = 0;                          ///< sum of the estimates for them
  double estimateErrorMs = 0;                     ///< sum of the absolute errors of the estimates
  std::uint64_t ignoredMeasurements = 0;          ///< absurd ones
  std::uint64_t starved = 0;                      ///< pauses of streams for which no tokens had arrived
  std::uint64_t quarantined = 0;                  ///< requests refused because of a quarantined subject
  std::map<std::int32_t, std::uint64_t> refusals; ///< by HTTP status
};

/// Measured delay of the event loop.
struct LoopState
{
  Duration delay{ 0 };     ///< at the last tick
  Duration sustained{ 0 }; ///< the shorter one of the last two delays, so that a single pause does not count
  Duration longest{ 0 };   ///< since the last log line
  std::uint64_t requestsAtLog = 0;
  TimePoint loggedAt;
};

/// What a gateway waits for before it can serve, and when each of it came.
struct Startup
{
  std::optional<TimePoint> answeredAt;  ///< first answer of a leader
  std::optional<TimePoint> sessionAt;   ///< its session, without which it gets no tokens
  std::optional<TimePoint> routingAt;   ///< first routing table
  std::optional<TimePoint> upstreamsAt; ///< first list of upstreams
  std::uint64_t hints = 0;              ///< controllers that said that they do not lead, since the last answer
  bool reported = false;                ///< all of it has come and was logged
  TimePoint stallReportedAt;
};

/// State of the gateway role. Free functions in this folder operate on it.
struct State
{
  GatewayOptions options;
  Boot boot{};
  std::mt19937_64 random;
  TimePoint now; ///< time of the event that is being handled
  Actions actions;
  bool started = false;
  TimePoint startedAt;

  std::shared_ptr<const RouteIndex> index; ///< null: no routing table yet
  std::deque<EarlierTable> earlierTables;  ///< changes for these may still be on their way; in order of versions
  RoutingConfirmation confirmation;
  Upstreams upstreams;
  PlanBudgets budgets;
  RetryLimiters retries;
  std::map<std::string, double> typicalSlack; ///< of engines, by service; see `refinePriority`
  CrashEvidence crashes;
  ControlLink link;
  Startup startup;
  std::string_view missingReported = "not_started"; ///< what the last `readiness` line named
  std::map<CallerId, Request> requests;
  std::map<ExchangeId, CallerId> exchanges;
  std::uint64_t lastExchange = 0;
  std::size_t heldBytes = 0;     ///< request bodies of all requests
  std::size_t gatheredBytes = 0; ///< of answers that are not complete, of all requests
  LoopState loop;
  LocalShortage shortage;
  std::optional<TimePoint> leavingSince;
  bool stopped = false;
  Totals totals;
};

/// Error for a request that ends without an upstream's answer.
struct RequestError
{
  std::int32_t status = 503; ///< HTTP status if it is confirmed that the request did not run
  const char* error = "";
  Duration retryAfter{ 0 };
};

void
log(State& aState, Severity aSeverity, std::string aEvent, nlohmann::json aFields);

/// @return the upstream, or null when it was removed
Upstream*
findUpstream(State& aState, const std::string& aId);

// control.cpp

/// Sends due polls, switches the controller after a timeout, and reads the platform's list if no current one is
/// received.
void
tickControl(State& aState);
/// @return milliseconds since the routing table held was known to be the newest; -1: it never was
std::int64_t
confirmationAgeMs(const State& aState);
/// @return whether no change that is to be in force by now can be missing from the routing table held
bool
confirmedLately(const State& aState);
/// @return whether a newer routing table than the one held is known to have been in force for `maxConfirmationAge`
bool
supersededForLong(const State& aState);
/// Polls the leader as soon as `minPollInterval` allows, because requests wait or tokens were returned.
void
pollSoon(State& aState);
void
handlePeer(State& aState, const PeerMessage& aMessage);
void
applyUpstreams(State& aState, const std::vector<UpstreamEntry>& aList, TimePoint aReadAt);

void
onContacts(State& aState, const Contacts& aContacts);

// permits.cpp

/// Derives from the list and the routing table which upstreams are cold and bear a limited rate until they are warm.
void
updateColdUpstreams(State& aState);
/// Reports the rate limits of upstreams and the calls that requests want to make under them.
void
reportLimits(State& aState, GatewayPoll& aPoll);
/// Takes over the limits in force and the permitted calls of an answer, unless a later answer was applied before.
void
applyPermits(State& aState, const GatewayState& aAnswer);
/// Records what the head of an answer says on the upstream's limit.
void
onNamedLimit(State& aState, Upstream& aUpstream, const UpstreamHead& aHead);
/// Lets a request wait until the leader permits a call, or fails it if the leader permitted too few.
void
waitForPermit(State& aState, Request& aRequest);
RequestError
limitedError(const State& aState, const Request& aRequest);

// rests.cpp

/// Records the rest that an upstream asks for, also in an answer that is neither a refusal nor signed: to leave it out
/// for some time does no harm.
void
recordRest(State& aState, Upstream& aUpstream, const UpstreamHead& aHead);
/// @return the error for a request that no upstream can take now, with the soonest time at which one may
RequestError
unavailableError(const State& aState, const Request& aRequest, const char* aError);

// quarantine.cpp

/// @return the reason to refuse the request if it has a quarantined subject
std::optional<RequestError>
checkQuarantine(State& aState, const Request& aRequest);
/// Takes over the suspects and the quarantine of an answer, and ends the calls that must not reach an upstream.
void
updateQuarantine(State& aState, const GatewayState& aAnswer);
/// Records that the upstream of the current attempt broke off before the first event.
void
onBrokenOff(State& aState, Request& aRequest);

// overload.cpp

void
onLoopDelay(State& aState, Duration aDelay);
/// @return whether the event loop is so late that new requests should go to another gateway
bool
overloaded(const State& aState) noexcept;
/// Records an answer of an upstream, or a connection attempt to it that timed out.
void
recordUpstreamContact(State& aState, const Upstream& aUpstream, bool aTimedOut);
/// @return the error of a request that this machine's link cannot carry now; another gateway may
RequestError
linkError();
void
onCallerAbandoned(State& aState, const CallerAbandoned& aAbandoned);

// requests.cpp

void
accept(State& aState, const CallerCall& aCall);
void
onCallerGone(State& aState, CallerId aCaller);
void
onCallerDrained(State& aState, const CallerDrained& aDrained);
/// Retries the requests that wait for tokens or for the first routing table.
void
serveWaiting(State& aState);
/// Fails expired requests, and retries attempts whose response is overdue where that is allowed.
void
tickRequests(State& aState);
/// Fails all requests, because the process is about to end: each caller is told whether its request may have run.
void
endAll(State& aState);
/// Reserves further tokens for a running stream; what is not free is requested from the leader.
void
requestRefill(State& aState, Request& aRequest, Tokens aTokens);
/// Reserves tokens and calls an upstream; waits for tokens or refuses the request if there are too few.
void
advance(State& aState, Request& aRequest);

// attempts.cpp

/// Pauses or resumes reading the answer: the caller is slow, or the request has no tokens for further events.
void
updatePause(State& aState, Request& aRequest);
/// Continues a stream that has requested tokens, with those that are free now.
void
continueStream(State& aState, Request& aRequest);
/// Calls an upstream, or fails the request when none can take it.
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
/// Counts what the request has gathered of its answer.
void
countGathered(State& aState, Request& aRequest);
/// Removes the current attempt, if any, and its load on the upstream.
/// @param aCancel also cancel the call to the upstream
void
endAttempt(State& aState, Request& aRequest, bool aCancel);
/// Handles an attempt without a response within the timeout of the route: tries another upstream if that is allowed.
void
onResponseTimeout(State& aState, Request& aRequest);

// windows.cpp

/// @return output tokens that the request reserves at a time: one window, or one event if that is larger
Tokens
outputWindow(const State& aState, const Request& aRequest);
/// @return tokens that the request costs. A caller that received some output pays for its prompt and for the output
/// forwarded to it. A caller that received nothing pays nothing, even if an upstream has read the prompt.
Tokens
cost(const Request& aRequest);
/// @return how many further events the tokens of the request cover
std::int64_t
coveredEvents(const Request& aRequest);
/// @return tokens to request now for the rest of the stream; zero: none yet
Tokens
missingTokens(const State& aState, const Request& aRequest);
/// Counts the output forwarded since the last call as spent.
void
chargeDelivered(State& aState, Request& aRequest);
/// Settles the request's reservation and withdraws its commitment.
void
release(State& aState, Request& aRequest);

// finish.cpp

/// Sends an error of this gateway, or aborts the answer in progress. The status states that the request did not run
/// only if that is confirmed.
void
failRequest(State& aState, CallerId aCaller, const RequestError& aReason);
/// Forwards a complete answer of the upstream.
void
forwardAnswer(State& aState, Request& aRequest);
/// Sends the head of a stream to the caller unless it was already sent.
void
sendStreamHead(State& aState, Request& aRequest);
/// Ends a complete stream.
void
endStream(State& aState, Request& aRequest);
/// Ends the request of a caller that has disconnected. The caller pays for what it has received.
void
endForDisconnectedCaller(State& aState, Request& aRequest);
/// Settles the request's reservation and removes the request.
void
erase(State& aState, CallerId aCaller);

} // namespace rhubarbarch::gateway
