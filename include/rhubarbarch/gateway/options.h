#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch::gateway {

/// Settings of the gateway role.
struct GatewayOptions
{
  InstanceId instance;
  DataCentre dataCentre;
  std::string endpoint;                 ///< `ip:port` of this process's peer listener
  std::vector<std::string> controllers; ///< seed endpoints; also used as instance names

  // Control link
  Duration pollPeriod{ 200 };        ///< a tenth of the 2 s within which a change must be in force
  Duration minPollInterval{ 20 };    ///< before an urgent poll; sent only once the last poll was answered
  Duration controllerSilence{ 500 }; ///< without an answer for this long (a few polls), the next controller is used
  std::uint16_t relayPort = 0;       ///< where instances beside engines relay polls; zero: no relays
  std::size_t relays = 2;            ///< number of relays in use; one may be behind the same network partition
  Duration relayAfter{ 300 };  ///< without a direct answer for this long (over one poll), also polls through a relay
  Duration maxListAge{ 1500 }; ///< when the list of upstreams is older, the gateway reads it from the platform
  Duration listRetryInterval{ 1000 }; ///< interval between two such reads

  /// A change is in force everywhere within this time after it was confirmed. A table that was last known to be the
  /// newest before that decides no final refusal, and one known to be superseded for as long decides nothing.
  Duration maxConfirmationAge{ 2000 };
  Duration maxStartupWait{ 700 }; ///< a new process holds requests without a routing table; about an election

  // Budgets
  Duration allowanceWindow{ 500 }; ///< holds tokens for the demand of two polls; a killed gateway loses them
  Tokens outputWindow = 1024;   ///< a running request holds at most this much unspent output; most requests fit into it
  Duration maxTokenWait{ 350 }; ///< longest wait for tokens; two elections would exceed any target latency

  // Calls
  double responseTimeoutFactor = 1.2; ///< of the target latency; then a repeatable call is tried elsewhere
  double responseDeviations = 3; ///< engines: also not before the estimate and as many deviations; 1 in 700 if normal
  Duration minResponseTimeout{ 250 };     ///< lower bound of that timeout for very short target latencies
  Duration minAttemptTime{ 60 };          ///< no further attempt starts with less time left
  std::size_t windowBytes = 262144;       ///< undelivered answer of one request, in bytes; reading pauses above it
  std::size_t maxAnswerBytes = 4U << 20U; ///< of an answer other than a stream; a longer one fails the attempt
  std::size_t maxEventBytes = 1U << 20U;  ///< of one event of a stream; a longer one fails the attempt
  /// Answers, and events of streams, that are gathered until they are complete, of all requests together. Over it the
  /// attempt that has gathered most is given up: a faulty upstream may send bytes without end to many requests at once.
  std::size_t maxGatheredBytes = 12U << 20U;
  std::size_t maxRequests = 2048;        ///< requests held at once
  std::size_t maxHeldBytes = 48U << 20U; ///< bodies and undelivered answers of all requests

  // Retries, summed over the fleet and any window of length retryWindow
  double retryRatio = 0.2;     ///< retries per request of a service
  std::int64_t retrySlack = 0; ///< retries beyond the ratio
  Duration retryWindow{ 10'000 };

  // Overload
  Duration overloadDelay{ 200 }; ///< event loop delay in two consecutive ticks; each step of a call waits as long again
  Duration minLoggedDelay{ 100 };  ///< a delay of the event loop from this value is logged
  Duration delayLogPeriod{ 1000 }; ///< at most one such log line per period

  double linkRate = 0; ///< bytes a second that the machine's link carries in each direction; zero: unknown

  // Rate limits of upstreams
  Duration permitTime{ 500 };    ///< from the poll that requested a call; a few polls
  Duration maxPermitWait{ 350 }; ///< longest wait for a permit while the leader has not refused one

  // Shutdown
  Duration minDrainTime{ 2500 };       ///< a balancer that checks once a second removes a gateway after two failures
  Duration refuseCallsAfter{ 5000 };   ///< after this time in shutdown, requests are refused as not run; sooner those
                                       ///< that may last longer than `longestLeave`
  Duration refuseStreamsAfter{ 2900 }; ///< for streams, which last seconds; callers expect 3 s, less a round trip
  Duration longestLeave{ 7000 };       ///< after this time, requests in progress are failed
};

} // namespace rhubarbarch::gateway
