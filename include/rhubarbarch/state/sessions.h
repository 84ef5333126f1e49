#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/config.h"
#include "rhubarbarch/wire/control_messages.h"
#include "rhubarbarch/wire/json_fields.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rhubarbarch::state {

/// Report of one agent on a fenced router session.
struct AgentFence
{
  bool reported = false;
  std::map<GrantId, Tokens> open; ///< tokens reserved for its runs in progress; only shrink
};

/// One router session.
struct RouterSession
{
  SessionId id{};
  InstanceId instance;
  Boot boot{};
  DataCentre dataCentre;
  std::string endpoint;
  Revision settledDirectory{}; ///< see ConfigPoll
  bool fenced = false;
  LogIndex fenceIndex{};
  std::map<SessionId, AgentFence> agents; ///< those registered at the fence whose sessions have not ended
};

/// One agent session.
struct AgentSession
{
  AgentEntry entry;
  bool drained = false; ///< see AgentLoad
};

/// Sessions and the agent directory.
struct Sessions
{
  std::map<SessionId, RouterSession> routers;
  std::map<SessionId, AgentSession> agents;
  std::map<std::string, std::deque<Boot>>
    supersededBoots;              ///< by instance and role; a delayed registration of one is refused
  LogIndex lastAgentSuperseded{}; ///< last entry that superseded an agent that was not drained
  LogIndex lastAgentRemoved{};    ///< last entry that removed an agent that was not drained
  Revision directoryRevision{};
};

/// Command: open a session.
struct OpenSession
{
  RegisterSession session;
};

/// Command: fence a failed router.
struct FenceRouter
{
  SessionId session{};
};

/// Command: apply an agent's report on a fenced router.
struct ReportFence
{
  SessionFenced report;
};

/// Command: change which agents the directory lists as leaving.
struct SetLeaving
{
  std::vector<SessionId> leaving;
  std::vector<SessionId> present;
};

/// Command: record that an agent has drained.
struct MarkDrained
{
  SessionId session{};
};

/// Command: remove an agent whose instance no longer exists.
struct RemoveAgent
{
  SessionId session{};
};

/// Command: record that a router has settled all its runs at agents that are absent from this directory.
struct MarkSettled
{
  SessionId session{};
  Revision directory{};
};

/// Outcome of OpenSession.
struct SessionOutcome
{
  bool accepted = false; ///< false: a later boot of the instance has registered
  SessionId session{};
  LogIndex readIndex{};
  std::vector<SessionId> liveRouters; ///< agents only
};

/// @return whether the router session exists and is not fenced
bool
isLiveRouter(const Sessions& aSessions, SessionId aSession);

/// @return whether the agent session is the current one of its instance
bool
isLiveAgent(const Sessions& aSessions, SessionId aSession);

/// @return the session of an instance's current agent; null if there is none
const AgentSession*
findAgent(const Sessions& aSessions, const InstanceId& aInstance);

RHUBARBARCH_DECLARE_FIELDS(AgentFence)
RHUBARBARCH_DECLARE_FIELDS(RouterSession)
RHUBARBARCH_DECLARE_FIELDS(AgentSession)
RHUBARBARCH_DECLARE_FIELDS(Sessions)
RHUBARBARCH_DECLARE_FIELDS(OpenSession)
RHUBARBARCH_DECLARE_FIELDS(FenceRouter)
RHUBARBARCH_DECLARE_FIELDS(ReportFence)
RHUBARBARCH_DECLARE_FIELDS(SetLeaving)
RHUBARBARCH_DECLARE_FIELDS(MarkDrained)
RHUBARBARCH_DECLARE_FIELDS(RemoveAgent)
RHUBARBARCH_DECLARE_FIELDS(MarkSettled)

} // namespace rhubarbarch::state
