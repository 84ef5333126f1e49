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
  std::vector<std::string> controllers; ///< endpoints of the first contacts; they are the instance names, too

  // Control link
  Duration pollPeriod{ 200 };        ///< a tenth of the 2 s in which a change must be in force
  Duration shortestPoll{ 20 };       ///< between two polls when requests wait for tokens and the last one is answered
  Duration controllerSilence{ 500 }; ///< a controller that does not answer for some polls is replaced by the next one
  std::uint16_t relayPort = 0;       ///< where instances beside engines relay polls; zero: none do
  std::size_t relays = 2;            ///< connections kept to relays; one may stand behind the same cut
  Duration relayAfter{ 300 };        ///< without a direct answer for more than a poll, polls go through a relay, too
  Duration listAge{ 1500 };          ///< an older list of upstreams is read from the platform by the gateway itself
  Duration listRetry{ 1000 };        ///< between two such reads

  Duration startWait{ 700 }; ///< a new process keeps requests for this long until it has a document: about an election

  // Budgets
  Duration allowanceWindow{ 500 }; ///< demand that a gateway holds tokens for: two polls; a killed one loses it
  Duration tokenWait{ 350 };       ///< longest wait for tokens: two elections would take longer than any target latency

  // Calls
  double patience = 1.2;            ///< of the target latency, after which a silent repeatable call is tried elsewhere
  Duration shortestPatience{ 250 }; ///< also when the target latency is very short
  Duration latestRetry{ 60 };       ///< no attempt starts with less time left than this
  std::size_t windowBytes = 262144; ///< undelivered answer of one request, in bytes; reading pauses above it
  std::size_t maxAnswerBytes = 4U << 20U; ///< of an answer that is passed on as a whole; a longer one is no answer
  std::size_t maxEventBytes = 1U << 20U;  ///< of one event of a stream, likewise
  std::size_t maxRequests = 2048;         ///< requests held at once
  std::size_t maxHeldBytes = 48U << 20U;  ///< bodies and undelivered answers of all requests

  // Retries, summed over the fleet and any window of this length
  double retryRatio = 0.2;     ///< further attempts per request of a service
  std::int64_t retrySlack = 0; ///< further attempts beyond the ratio
  Duration retryWindow{ 10'000 };

  // Overload
  Duration overloadDelay{ 200 };   ///< of the event loop in two ticks in a row; each step of a call waits as long again
  Duration delayLogged{ 100 };     ///< a later event loop is logged
  Duration delayLogPeriod{ 1000 }; ///< at most one such line in this time

  // Shutdown
  Duration shortestLeave{ 2500 }; ///< a balancer that asks once a second takes a gateway out after two misses
  Duration lastCall{ 5000 };      ///< requests that come later are refused at once, as not run
  Duration lastStream{ 2900 }; ///< the same for streams, which last for seconds; callers expect 3 s, less a round trip
  Duration longestLeave{ 7000 }; ///< then what is in progress is cut
};

} // namespace rhubarbarch::gateway
