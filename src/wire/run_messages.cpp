#include "rhubarbarch/wire/run_messages.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(RunId, request, attempt)
RHUBARBARCH_DEFINE_FIELDS(Dispatch,
                          run,
                          routerSession,
                          expectedBoot,
                          grant,
                          plan,
                          reserved,
                          outputCap,
                          priority,
                          timeoutMs,
                          idempotent,
                          stream,
                          method,
                          path,
                          contentType,
                          model,
                          version,
                          body,
                          creditUntil,
                          repeated)
RHUBARBARCH_DEFINE_FIELDS(DispatchRefused, run, reason, retryAfterMs)
RHUBARBARCH_DEFINE_FIELDS(RunHead, run, httpStatus, contentType)
RHUBARBARCH_DEFINE_FIELDS(StreamChunk, run, offset, data)
RHUBARBARCH_DEFINE_FIELDS(RunDone,
                          run,
                          outcome,
                          ran,
                          httpStatus,
                          contentType,
                          totalBytes,
                          promptTokens,
                          outputTokens,
                          charge)
RHUBARBARCH_DEFINE_FIELDS(RunDoneAck, run)
RHUBARBARCH_DEFINE_FIELDS(Credit, run, until)
RHUBARBARCH_DEFINE_FIELDS(CancelRun, run)
RHUBARBARCH_DEFINE_FIELDS(RunQuery, run, expectedBoot)
RHUBARBARCH_DEFINE_FIELDS(RunStatus, run, state, grant, done, moved)
RHUBARBARCH_DEFINE_FIELDS(Attach, run, expectedBoot, routerSession, offset, creditUntil)
RHUBARBARCH_DEFINE_FIELDS(ChargeSettled, run)
RHUBARBARCH_DEFINE_FIELDS(AgentStatus,
                          boot,
                          session,
                          leaving,
                          queueLength,
                          runs,
                          reservedKvBytes,
                          kvCapacityBytes,
                          loaded,
                          cachedPrefixes)

} // namespace rhubarbarch
