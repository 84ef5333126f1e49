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

/// Runs when a proposed command is committed and applied, with its outcome. Dropped when leadership is lost: peers
/// repeat their messages.
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
  /// @param aOperator who gets `not_leader` when leadership is lost before that
  /// @return false when this controller takes no commands now: it hands over or has lost the leadership
  virtual bool propose(state::Command aCommand, Completion aDone, std::optional<OperatorId> aOperator) = 0;
  /// @return the instances of the group's members
  virtual std::vector<InstanceId> members() const = 0;
};

/// What a controller works with in one step. The state is that of the last committed entry.
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

/// Proposes a command whose outcome nobody waits for.
bool
propose(Context& aContext, state::Command aCommand);

/// @return false when no command is taken now; `aDone` does not run then
bool
propose(Context& aContext, state::Command aCommand, Completion aDone);

/// Proposes a change of a session once; until it is committed further ones for the session are dropped.
void
proposeForSession(Context& aContext, SessionId aSession, state::Command aCommand);

/// Whether a check that runs once per period is due; notes the time if so.
bool
isDue(const Context& aContext, TimePoint& aLast, Duration aPeriod);

/// Last sign of life of a session, at the earliest the start of this leadership.
TimePoint
lastSeen(const Context& aContext, SessionId aSession);

} // namespace rhubarbarch::controller
