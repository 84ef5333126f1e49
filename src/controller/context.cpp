#include "context.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::controller {

void
send(Context& aContext, Address aTo, Message aMessage)
{
  aContext.actions.emplace_back(Send{ std::move(aTo), std::move(aMessage) });
}

void
log(Context& aContext, std::string aEvent, nlohmann::json aFields, Severity aSeverity)
{
  aContext.actions.emplace_back(Log{ { aSeverity, std::move(aEvent), std::move(aFields) } });
}

void
reply(Context& aContext, OperatorId aOperator, std::int32_t aStatus, nlohmann::json aBody)
{
  aContext.actions.emplace_back(OperatorReply{ aOperator, aStatus, std::move(aBody), {} });
}

void
replyError(Context& aContext, OperatorId aOperator, std::int32_t aStatus, std::string aError, std::string aDetail)
{
  reply(aContext, aOperator, aStatus, { { "error", std::move(aError) }, { "detail", std::move(aDetail) } });
}

bool
propose(Context& aContext, state::Command aCommand)
{
  return aContext.proposer.propose(std::move(aCommand), {}, std::nullopt);
}

bool
propose(Context& aContext, state::Command aCommand, Completion aDone)
{
  return aContext.proposer.propose(std::move(aCommand), std::move(aDone), std::nullopt);
}

void
proposeForSession(Context& aContext, SessionId aSession, state::Command aCommand)
{
  if (aContext.memory.proposedSessions.contains(aSession)) {
    return;
  }
  const bool proposed =
    propose(aContext, std::move(aCommand), [aSession](Context& aDone, const state::Outcome& /*aOutcome*/) {
      aDone.memory.proposedSessions.erase(aSession);
    });
  if (proposed) {
    aContext.memory.proposedSessions.insert(aSession);
  }
}

bool
isDue(const Context& aContext, TimePoint& aLast, Duration aPeriod)
{
  if (aContext.now - aLast < aPeriod) {
    return false;
  }
  aLast = aContext.now;
  return true;
}

TimePoint
lastSeen(const Context& aContext, SessionId aSession)
{
  const auto found = aContext.memory.sessions.find(aSession);
  const auto seen = found == aContext.memory.sessions.end() ? TimePoint{} : found->second.lastSeen;
  return std::max(seen, aContext.memory.leaderSince);
}

} // namespace rhubarbarch::controller
