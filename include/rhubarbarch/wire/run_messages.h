#pragma once

#include "rhubarbarch/base/bytes.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbarch {

/// Whether a request ran at an upstream. `kNo` only when it is proved.
enum class Ran : std::uint8_t
{
  kNo,
  kYes,
  kUnknown
};

/// Identifies one attempt to run a request at one agent.
struct RunId
{
  RequestId request;
  std::uint32_t attempt = 1;

  auto operator<=>(const RunId&) const = default;
};

/// Router to agent: run this request.
struct Dispatch
{
  RunId run;
  SessionId routerSession{};
  Boot expectedBoot{}; ///< the agent refuses a dispatch meant for an earlier boot
  GrantId grant{};
  PlanId plan;
  Tokens reserved = 0;  ///< worst case: prompt and output cap, or the flat cost
  Tokens outputCap = 0; ///< passed to the engine; zero for plain services
  Priority priority = Priority::kChat;
  std::int64_t timeoutMs = 0; ///< time left for the run
  bool idempotent = true;
  bool stream = false; ///< the caller asked for server-sent events
  std::string method;
  std::string path;
  std::string contentType;
  ModelName model; ///< empty for plain services
  VersionName version;
  Bytes body;
  std::uint64_t creditUntil = 0; ///< answer offset in bytes up to which the agent may send
  bool repeated = false;         ///< sent before; the earlier copy may have run at an earlier boot of the agent
};

/// Why an agent refused a dispatch. Each is proof that the attempt did not run and never will.
enum class RefusalReason : std::uint8_t
{
  kLeaving,
  kQueueFull,
  kMemory,      ///< KV bytes would pass the upstream's limit
  kFenced,      ///< the router's session is fenced
  kOtherBoot,   ///< meant for an earlier boot of this agent
  kTombstone,   ///< a query already declared this attempt as never run
  kNotLoaded,   ///< the version is not loaded here
  kUpstreamDown ///< no connection to the upstream could be opened, nothing was sent
};

/// Agent to router: this attempt did not run.
struct DispatchRefused
{
  RunId run;
  RefusalReason reason = RefusalReason::kQueueFull;
  std::int64_t retryAfterMs = 0;
};

/// Agent to router: the upstream's answer has begun.
struct RunHead
{
  RunId run;
  std::int32_t httpStatus = 0;
  std::string contentType;
};

/// Agent to router: bytes of the answer.
struct StreamChunk
{
  RunId run;
  std::uint64_t offset = 0; ///< of the first byte, in bytes
  Bytes data;
};

/// How a run ended.
enum class RunOutcome : std::uint8_t
{
  kCompleted, ///< the upstream's answer is whole
  kFailed,    ///< the upstream broke off or answered with a server error
  kCancelled,
  kTimedOut
};

/// Agent to router: the run has ended. Repeated until acknowledged.
struct RunDone
{
  RunId run;
  RunOutcome outcome = RunOutcome::kCompleted;
  Ran ran = Ran::kYes;
  std::int32_t httpStatus = 0;
  std::string contentType;
  std::uint64_t totalBytes = 0;
  Tokens promptTokens = 0;
  Tokens outputTokens = 0;
  Tokens charge = 0; ///< what to bill under the run's grant; never above the reservation
};

/// Router to agent: the end of the run was received.
struct RunDoneAck
{
  RunId run;
};

/// Router to agent: the agent may send answer bytes up to this offset.
struct Credit
{
  RunId run;
  std::uint64_t until = 0; ///< in bytes
};

/// Router to agent: the caller has gone and the run may be stopped.
struct CancelRun
{
  RunId run;
};

/// Router to agent: what became of this attempt? When unknown to an agent of the expected boot, the agent writes a
/// tombstone before it answers kNeverRan.
struct RunQuery
{
  RunId run;
  Boot expectedBoot{};
};

/// State of an attempt at its agent.
enum class RunState : std::uint8_t
{
  kQueued,
  kRunning,
  kDone,
  kNeverRan,
  kUnknown ///< the agent restarted since, or no longer remembers
};

/// Answer to RunQuery.
struct RunStatus
{
  RunId run;
  RunState state = RunState::kUnknown;
  GrantId grant{};
  RunDone done;       ///< when kDone
  bool moved = false; ///< another router has attached; the rest of the answer goes there
};

/// Router to agent: send the answer to this router from an offset on. Answered by RunStatus, then RunHead and chunks.
struct Attach
{
  RunId run;
  Boot expectedBoot{};
  SessionId routerSession{};
  std::uint64_t offset = 0;      ///< in bytes
  std::uint64_t creditUntil = 0; ///< in bytes
};

/// Router to agent: the ledger acknowledged the charge of this run.
struct ChargeSettled
{
  RunId run;
};

/// Agent to routers, every 200 ms and when leaving or the loaded versions change.
struct AgentStatus
{
  Boot boot{};
  SessionId session{};
  bool leaving = false;
  std::int64_t queueLength = 0;
  std::int64_t runs = 0;
  std::int64_t reservedKvBytes = 0;
  std::int64_t kvCapacityBytes = 0;
  std::vector<LoadedVersion> loaded;
  std::vector<std::uint64_t> cachedPrefixes; ///< hashes of prompt prefixes believed to be cached
};

RHUBARBARCH_DECLARE_FIELDS(RunId)
RHUBARBARCH_DECLARE_FIELDS(Dispatch)
RHUBARBARCH_DECLARE_FIELDS(DispatchRefused)
RHUBARBARCH_DECLARE_FIELDS(RunHead)
RHUBARBARCH_DECLARE_FIELDS(StreamChunk)
RHUBARBARCH_DECLARE_FIELDS(RunDone)
RHUBARBARCH_DECLARE_FIELDS(RunDoneAck)
RHUBARBARCH_DECLARE_FIELDS(Credit)
RHUBARBARCH_DECLARE_FIELDS(CancelRun)
RHUBARBARCH_DECLARE_FIELDS(RunQuery)
RHUBARBARCH_DECLARE_FIELDS(RunStatus)
RHUBARBARCH_DECLARE_FIELDS(Attach)
RHUBARBARCH_DECLARE_FIELDS(ChargeSettled)
RHUBARBARCH_DECLARE_FIELDS(AgentStatus)

} // namespace rhubarbarch
