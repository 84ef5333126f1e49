#include "sessions.h"

#include "control_link.h"

namespace rhubarbarch::agent {

namespace {

std::vector<GrantReport>
grantReports(const RunTable& aTable, SessionId aSession)
{
  std::map<GrantId, GrantReport> byGrant;
  for (const auto& [id, run] : aTable.runs) {
    if (run.request.routerSession != aSession) {
      continue;
    }
    auto& report = byGrant[run.request.grant];
    report.grant = run.request.grant;
    if (run.phase != Phase::kDone) {
      report.openReserved += run.request.reserved;
    } else if (run.done.charge > 0) {
      report.charges.push_back({ id.request, run.done.charge });
    }
  }
  std::vector<GrantReport> result;
  result.reserve(byGrant.size());
  for (auto& [grant, report] : byGrant) {
    result.push_back(std::move(report));
  }
  return result;
}

} // namespace

bool
sessionAccepted(const Sessions& aSessions, SessionId aSession)
{
  if (aSessions.fenced.contains(aSession)) {
    return false;
  }
  return toNumber(aSession) > toNumber(aSessions.readIndex) || aSessions.live.contains(aSession);
}

void
onFenceSession(Step& aStep, const Address& aFrom, const FenceSession& aOrder)
{
  auto& sessions = aStep.state.sessions;
  if (!isController(aStep.state, aFrom)) {
    return;
  }
  if (sessions.fenced.insert(aOrder.session).second) {
    aStep.out.emplace_back(
      Log{ { Severity::kWarning, "session_fenced", { { "session", toNumber(aOrder.session) } } } });
    if (sessions.fenced.size() > aStep.state.options.maxFencedSessions) {
      renewRegistration(aStep);
    }
  }
  if (toNumber(sessions.own) == 0) {
    // The leader waits for replies of registered agents only, and this agent has no session yet.
    return;
  }
  SessionFenced reply;
  reply.session = aOrder.session;
  reply.agentSession = sessions.own;
  reply.grants = grantReports(aStep.state.table, aOrder.session);
  aStep.send(aFrom, std::move(reply));
}

} // namespace rhubarbarch::agent
