#pragma once

#include "memory.h"
#include "rhubarbarch/controller/events.h"
#include "rhubarbarch/controller/options.h"
#include "rhubarbarch/state/replicated_state.h"

#include <functional>
#include <optional>
#include <string>

namespace rhubarbarch::controller {

struct Context;

/// Runs with the outcome of a proposed command when it is committed and applied. Discarded when leadership is lost:
/// peers repeat their messages.
using Completion = std::function<void(Context&, const state::Outcome&)>;

/// Appends commands to the replicated log.
class Proposer
{
public:
  Proposer() = default;
  Proposer(const Proposer&) = delete;
  Proposer& operator=(const Proposer&) = delete;
  virtual ~Proposer() = default;

  /// @param aCommand the command
  /// @param aDone runs when it is committed
  /// @param aOperator operator request that fails with `not_leader` when leadership is lost before the commit
  /// @return false when this controller accepts no commands: it is handing over or has lost leadership
  virtual bool propose(state::Command aCommand, Completion aDone, std::optional<OperatorId> aOperator) = 0;
  /// @return the instances of the group's members
  virtual std::vector<InstanceId> members() const = 0;
};

/// Inputs and outputs of a controller in one step. The state is that of the last committed entry.
struct Context
{
  const ControllerOptions& options;
  const state::ReplicatedState& state;
  Memory& memory;
  const PlatformMemory& platform;
  Proposer& proposer;
  Actions& actions;
  TimePoint now;
  std::int64_t unixMs = 0;
};

void
send(Context& aContext, Address aTo, Message aMessage);

void
log(Context& aContext, std::string aEvent, nlohmann::json aFields, Severity aSeverity = Severity::kInfo);

void
reply(Context& aContext, OperatorId aOperator, std::int32_t aStatus, nlohmann::json aBody);

void
replyError(Context& aContext, OperatorId aOperator, std::int32_t aStatus, std::string aError, std::string aDetail);

/// Proposes a command and ignores its outcome.
bool
propose(Context& aContext, state::Command aCommand);

/// @return false when no command is accepted; `aDone` does not run in that case
bool
propose(Context& aContext, state::Command aCommand, Completion aDone);

/// Proposes a change of a session. Until it is committed, further changes of the session are ignored.
void
proposeForSession(Context& aContext, SessionId aSession, state::Command aCommand);

/// @return whether a check that runs once per period is due; if so, `aLast` is set to the current time
bool
isDue(const Context& aContext, TimePoint& aLast, Duration aPeriod);

/// @return time of the last message of a session, but not before the start of this leadership
TimePoint
lastSeen(const Context& aContext, SessionId aSession);

} // namespace rhubarbarch::controller
