#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/control_messages.h"

#include <cstdint>

namespace rhubarbarch::state {

struct ReplicatedState;

/// How an agent session ended.
enum class AgentSessionEnd : std::uint8_t
{
  kSuperseded, ///< a new boot of the instance registered, so the old process has ended
  kRemoved     ///< the instance was removed; its process may still run, unreachable
};

/// Fences a live router session: its grants are settled only after the registered agents have reported.
///
/// The rest of a grant is the tokens that it holds and that are neither charged nor reported as open reservations. It
/// is unproved, and in doubt once the grant closes, only if an agent may have run work under the grant and can no
/// longer report it:
///  - the agent was registered at the fence and its session ended before its report: the entire rest;
///  - the agent's session ended after its report: at most the reservations that it reported as open;
///  - the agent's session ended before the fence: the entire rest, unless the grant was issued later (for a removed
///    agent: to a router with a directory that no longer contained it), or the router has confirmed that its runs at
///    the agents absent from a directory at least as recent as that end are settled.
/// Drained agents have nothing left to report; agents that register after the fence refuse the session's work.
void
fence(ReplicatedState& aState, SessionId aRouter, LogIndex aIndex);

/// Applies an agent's report: its charges, and its open reservations, which only shrink.
void
acceptReport(ReplicatedState& aState, const SessionFenced& aReport);

/// Removes a drained agent from the agents that fences wait for: it has no run and no charge left to report.
void
acceptDrained(ReplicatedState& aState, SessionId aAgent);

/// Ends an agent session and updates the fences that wait for its report.
void
endAgentSession(ReplicatedState& aState, SessionId aAgent, AgentSessionEnd aEnd, LogIndex aIndex);

} // namespace rhubarbarch::state
