#include "charge.h"

#include "control_link.h"
#include "run_table.h"
#include "sessions.h"

#include <algorithm>

namespace rhubarbarch::agent {

namespace {

constexpr std::int32_t kFirstErrorStatus = 400;
constexpr std::int32_t kFirstServerError = 500;
/// Interval of scans of all unsettled runs. There may be thousands while the leader is unreachable.
constexpr Duration kScanPeriod{ 50 };
/// Batches whose acknowledgement is accepted. Later acknowledgements are ignored, and the charges are sent again.
constexpr std::size_t kMaxBatches = 1024;

Tokens
chargeOfEngine(const Run& aRun)
{
  if (const auto usage = aRun.usage.usage()) {
    return std::min(usage->promptTokens + usage->completionTokens, aRun.request.reserved);
  }
  const bool errorStatus = aRun.httpStatus >= kFirstErrorStatus;
  return errorStatus ? 0 : aRun.request.reserved;
}

Tokens
chargeOfService(const Run& aRun)
{
  return aRun.httpStatus >= kFirstServerError ? 0 : aRun.request.reserved;
}

/// Moves a run that is settled, and acknowledged or past its retention, to the finished runs, which are removed later.
void
moveToFinished(Step& aStep, const RunId& aId, const Run& aRun)
{
  auto& table = aStep.state.table;
  const bool old = aStep.now - aRun.finishedAt >= aStep.state.options.finishedRetention;
  if (aRun.settled && ((aRun.receiverAcked && aRun.ownerAcked) || old) && table.unsettled.erase(aId) > 0) {
    table.finished.push_back(aId);
  }
}

void
settle(Step& aStep, const RunId& aId)
{
  auto* run = findRun(aStep.state.table, aId);
  if (run == nullptr || run->phase != Phase::kDone) {
    return;
  }
  run->settled = true;
  moveToFinished(aStep, aId, *run);
}

bool
isUnresponsive(const State& aState, const Address& aRouter, TimePoint aNow)
{
  const auto found = aState.peers.routers.find(aRouter);
  return found == aState.peers.routers.end() || aNow - found->second.lastContactAt >= aState.options.routerTimeout;
}

bool
mustDeliverCharge(const State& aState, const Run& aRun, TimePoint aNow)
{
  return !aRun.settled && (isRouterLost(aState, aRun.owner, aRun.request.routerSession, aNow) ||
                           aNow - aRun.finishedAt >= aState.options.settleTimeout);
}

void
sendBatch(Step& aStep, GrantId aGrant, const std::vector<RunId>& aRuns)
{
  auto& charges = aStep.state.charges;
  ChargeBatch batch;
  batch.number = charges.nextNumber++;
  batch.grant = aGrant;
  std::ranges::transform(aRuns, std::back_inserter(batch.charges), [&](const RunId& aId) {
    return Charge{ aId.request, aStep.state.table.runs.at(aId).done.charge };
  });
  charges.batches.emplace(batch.number, aRuns);
  if (charges.batches.size() > kMaxBatches) {
    charges.batches.erase(charges.batches.begin());
  }
  aStep.send(leader(aStep.state), std::move(batch));
}

void
deliverCharges(Step& aStep)
{
  std::map<GrantId, std::vector<RunId>> byGrant;
  const auto& table = aStep.state.table;
  for (const auto& id : table.unsettled) {
    const auto& run = table.runs.at(id);
    auto& runs = byGrant[run.request.grant];
    if (mustDeliverCharge(aStep.state, run, aStep.now) && runs.size() < aStep.state.options.chargesPerBatch) {
      runs.push_back(id);
    }
  }
  for (const auto& [grant, runs] : byGrant) {
    if (!runs.empty()) {
      sendBatch(aStep, grant, runs);
    }
  }
}

} // namespace

bool
isRouterLost(const State& aState, const Address& aRouter, SessionId aSession, TimePoint aNow)
{
  return !sessionAccepted(aState.sessions, aSession) || isUnresponsive(aState, aRouter, aNow);
}

Tokens
chargeOf(const Run& aRun)
{
  return aRun.request.model.empty() ? chargeOfService(aRun) : chargeOfEngine(aRun);
}

void
onRunDoneAck(Step& aStep, const Address& aFrom, const RunDoneAck& aAck)
{
  auto* run = findRun(aStep.state.table, aAck.run);
  if (run == nullptr || run->phase != Phase::kDone) {
    return;
  }
  run->receiverAcked = run->receiverAcked || aFrom == run->receiver;
  run->ownerAcked = run->ownerAcked || aFrom == run->owner;
  moveToFinished(aStep, aAck.run, *run);
}

void
onChargeSettled(Step& aStep, const ChargeSettled& aSettled)
{
  settle(aStep, aSettled.run);
}

void
onChargeAck(Step& aStep, const Address& aFrom, const ChargeAck& aAck)
{
  auto& batches = aStep.state.charges.batches;
  const auto found = batches.find(aAck.number);
  if (found == batches.end() || !isController(aStep.state, aFrom)) {
    return;
  }
  const auto runs = std::move(found->second);
  batches.erase(found);
  std::ranges::for_each(runs, [&](const RunId& aId) { settle(aStep, aId); });
}

void
deliverRunDone(Step& aStep, Run& aRun)
{
  const auto& options = aStep.state.options;
  if (aRun.phase != Phase::kDone || aStep.now < aRun.nextDone) {
    return;
  }
  const bool complete = aRun.answer.sent >= aRun.answer.received();
  const bool toReceiver = !aRun.receiverAcked && complete;
  const bool toOwner = !aRun.ownerAcked && aRun.owner != aRun.receiver;
  if (!toReceiver && !toOwner) {
    return;
  }
  aRun.nextDone = aStep.now + options.doneResendPeriod;
  if (toReceiver) {
    aStep.send(aRun.receiver, aRun.done);
  }
  if (toOwner) {
    aStep.send(aRun.owner, aRun.done);
  }
}

void
onChargeTick(Step& aStep)
{
  if (aStep.now < aStep.state.charges.nextScan) {
    return;
  }
  aStep.state.charges.nextScan = aStep.now + kScanPeriod;
  auto& table = aStep.state.table;
  const std::vector<RunId> ids{ table.unsettled.begin(), table.unsettled.end() };
  for (const auto& id : ids) {
    auto& run = table.runs.at(id);
    deliverRunDone(aStep, run);
    moveToFinished(aStep, id, run);
  }
  if (aStep.now >= aStep.state.charges.nextSend) {
    aStep.state.charges.nextSend = aStep.now + aStep.state.options.chargeResendPeriod;
    deliverCharges(aStep);
  }
}

} // namespace rhubarbarch::agent
