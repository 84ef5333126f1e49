#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch::router {

/// One controller of the fleet.
struct ControllerPeer
{
  InstanceId instance;
  std::string endpoint; ///< `ip:port` of its peer listener
};

/// Settings of the router role.
struct RouterOptions
{
  InstanceId instance;
  DataCentre dataCentre;
  std::string endpoint; ///< `ip:port` of this process's peer listener
  std::vector<ControllerPeer> controllers;

  // Control link
  Duration pollPeriod{ 500 };
  Duration resendPeriod{ 300 };       ///< delay before an unacknowledged message to the leader is resent
  Duration controllerTimeout{ 1500 }; ///< without a leader's answer for this long the next controller is tried
  Duration controlTimeout{ 3000 };    ///< without an answer for this long the control connection counts as down

  // Requests
  std::size_t maxRequests = 4096;           ///< limit on concurrent requests
  std::size_t maxHeldBytes = 64ULL << 20U;  ///< bodies and undelivered answers of all requests, in bytes
  std::size_t creditWindowBytes = 64 << 10; ///< limit on undelivered answer bytes per stream
  Tokens defaultMaxTokens = 1024;           ///< output cap of a model call without `max_tokens`
  Tokens maxMaxTokens = 32768;              ///< largest `max_tokens` accepted
  Duration chatTimeout{ 120'000 };
  Duration reviewTimeout{ 1'800'000 };
  Duration serviceTimeout{ 30'000 };
  Duration readerTimeout{ 60'000 }; ///< a caller that reads none of a finished answer for this long is disconnected
  Duration doneGrace{ 5000 };       ///< time past the request deadline after which the router itself fails the request

  // Grants and charges
  Duration grantWait{ 1000 };    ///< longest wait of a request for tokens
  Duration grantIdle{ 120'000 }; ///< a grant unused for this long is returned to the leader
  Duration chargeDelay{ 50 };    ///< time to collect charges before a batch is sent
  std::size_t chargesPerBatch = 256;
  std::size_t chargesPerGrant = 4096; ///< a grant with this many charges accepts no more reservations

  // Placement and runs
  Duration placementWait{ 1000 };        ///< longest wait of a request for a candidate agent
  Duration agentTimeout{ 3000 };         ///< an agent without a status for this long gets no new work
  Duration runQueryPeriod{ 1000 };       ///< interval between RunQuery messages for an unanswered dispatch
  Duration runIdlePeriod{ 5000 };        ///< a run without a message for this long is queried
  Duration attachPeriod{ 200 };          ///< minimum time between two Attach messages for one run
  std::int64_t kvBytesPerToken = 131072; ///< estimate of KV cache per token, in bytes
  double retryRatio = 0.1;               ///< retries allowed per request of a route
  double retryBurst = 10;                ///< limit on unused retries that a route accumulates

  // Claims
  Duration claimWait{ 3000 };      ///< longest wait for the answer to a claim
  Duration claimStoreWait{ 2000 }; ///< longest delay of an answer's end while its outcome is being stored
  std::size_t maxPendingClaims = 4096;

  // Circuit breakers
  Duration breakerWindow{ 30'000 };
  std::int64_t breakerMinSamples = 20;    ///< first-token times that each version needs before a comparison
  std::int64_t breakerMinErrors = 5;      ///< errors that the new version needs before a comparison of error rates
  double breakerErrorRateMargin = 0.1;    ///< margin on top of twice the other version's error rate
  std::int32_t breakerLatencyBuckets = 2; ///< trips when the median first-token time is this many powers of two higher

  // Shutdown and explanations
  Duration shutdownWait{ 30'000 };   ///< longest wait for the ledger after the last request ends
  std::size_t explainEntries = 8192; ///< decisions retained for ExplainQuery
};

} // namespace rhubarbarch::router
