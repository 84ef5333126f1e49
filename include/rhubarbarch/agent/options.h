#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/wire/config.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch::agent {

/// Options of the agent role. Only the first four have no default.
struct AgentOptions
{
  InstanceId instance;
  DataCentre dataCentre;
  std::string endpoint; ///< `ip:port` of the peer listener
  std::vector<InstanceId> controllers;

  UpstreamInfo upstream;

  Duration pollPeriod{ 500 };         ///< interval of ConfigPoll, and of RegisterSession until it is answered
  Duration controllerTimeout{ 1500 }; ///< time without a reply before the agent tries the next controller
  Duration statusPeriod{ 200 };       ///< interval of AgentStatus messages

  std::size_t maxRunning = 64;                            ///< concurrent exchanges with the upstream
  std::size_t maxQueued = 256;                            ///< runs waiting for an exchange
  std::size_t maxRequestBytes = std::size_t{ 64 } << 20U; ///< request bodies of queued and running runs, in bytes
  Duration reviewPenalty{ 5000 };                         ///< a review precedes a chat that arrives this much later
  Duration maxRunTime{ 600000 };                          ///< upper limit on the time from a dispatch to its deadline

  std::int64_t kvBytesPerToken = 131072; ///< KV memory that one reserved token may use, in bytes
  std::int32_t kvHeadroomPerMille = 50;  ///< part of the KV capacity left unreserved, per mille
  Duration loadReportLag{ 2000 };        ///< maximum delay of a load report behind the engine's state

  std::uint64_t window = std::uint64_t{ 64 } << 10U;            ///< credit window per stream, in bytes
  std::size_t chunkBytes = std::size_t{ 32 } << 10U;            ///< largest StreamChunk payload, in bytes
  std::size_t maxBufferedBytesPerRun = std::size_t{ 1 } << 20U; ///< answer bytes buffered for one run
  std::size_t keepTotal = std::size_t{ 32 } << 20U;             ///< answer bytes buffered for all runs
  Duration pauseTimeout{ 5000 };     ///< an exchange paused this long is cancelled and resumed later
  Duration resumeRetryPeriod{ 500 }; ///< interval of attempts to resume a run at the engine

  /// Retention of finished runs and tombstones. Longer than maxRunTime, so that a request whose id is at or below the
  /// watermark of erased runs has passed its deadline.
  Duration finishedRetention{ 900000 };
  std::size_t maxFinishedRuns = 16384;  ///< finished runs retained
  std::size_t maxUnsettledRuns = 32768; ///< finished runs without a settled charge before dispatches are refused
  std::size_t maxTombstones = 65536;    ///< tombstones retained
  std::size_t maxWatermarks = 65536;    ///< router boots whose watermark is stored

  Duration doneResendPeriod{ 500 }; ///< interval of RunDone until it is acknowledged
  Duration routerTimeout{ 5000 };   ///< time without contact before the agent delivers the router's charges
  Duration settleTimeout{ 60000 };  ///< time after which the agent delivers a charge even if the router is responsive
  Duration chargeResendPeriod{ 1000 };  ///< interval of ChargeBatch for unsettled charges
  std::size_t chargesPerBatch = 256;    ///< charges in one ChargeBatch
  Duration routerRetention{ 60000 };    ///< a disconnected router gets no AgentStatus after this time without contact
  Duration orderTimeout{ 10000 };       ///< timeout of an order's exchange with the upstream
  Duration shutdownLimit{ 660000 };     ///< maximum duration of a graceful shutdown
  std::size_t maxDecisions = 4096;      ///< decisions stored for ExplainQuery
  std::size_t maxCachedPrefixes = 64;   ///< prefix hashes in AgentStatus
  std::size_t maxFencedSessions = 1024; ///< fenced sessions stored before a renewed registration shortens the list
};

} // namespace rhubarbarch::agent
