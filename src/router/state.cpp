#include "state.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace rhubarbarch::router {

Request*
findRequest(State& aState, RequestKey aKey)
{
  const auto found = aState.requests.find(aKey);
  return found == aState.requests.end() ? nullptr : &found->second;
}

Request*
findRun(State& aState, const RunId& aRun)
{
  const auto found = aState.runs.find(aRun);
  return found == aState.runs.end() ? nullptr : findRequest(aState, found->second);
}

RequestId
newRequestId(State& aState)
{
  std::array<char, 16> boot{};
  const auto end = std::to_chars(boot.data(), boot.data() + boot.size(), toNumber(aState.boot), 16).ptr;
  return aState.options.instance + "-" + std::string(boot.data(), end) + "-" + std::to_string(aState.nextRequestId++);
}

void
send(State& aState, Address aTo, Message aMessage)
{
  aState.actions.emplace_back(Send{ std::move(aTo), std::move(aMessage) });
}

void
sendToAgent(State& aState, const InstanceId& aAgent, Message aMessage)
{
  send(aState, { aAgent, Role::kAgent }, std::move(aMessage));
}

void
sendToLeader(State& aState, Message aMessage)
{
  if (!aState.link.controllers.empty()) {
    send(aState, leaderAddress(aState.link), std::move(aMessage));
  }
}

void
log(State& aState, Severity aSeverity, std::string aEvent, nlohmann::json aFields)
{
  aState.actions.emplace_back(Log{ LogLine{ aSeverity, std::move(aEvent), std::move(aFields) } });
}

void
noteDecision(State& aState, const RequestId& aRequest, const char* aStep, nlohmann::json aFields)
{
  aFields["step"] = aStep;
  aFields["router"] = aState.options.instance;
  aFields["uptime_ms"] = aState.now.time_since_epoch().count();
  explain(aState.explanations, aRequest, aFields, aState.options.explainEntries);
}

void
updateHeldBytes(State& aState, Request& aRequest)
{
  const std::size_t held = aRequest.call.body.size() + aRequest.answerCopy.size() +
                           static_cast<std::size_t>(aRequest.stream.received - aRequest.stream.drained);
  aState.heldBytes += held;
  aState.heldBytes -= aRequest.heldBytes;
  aRequest.heldBytes = held;
}

void
eraseRequest(State& aState, RequestKey aKey)
{
  const auto found = aState.requests.find(aKey);
  if (found == aState.requests.end()) {
    return;
  }
  Request& request = found->second;
  aState.heldBytes -= request.heldBytes;
  if (request.caller) {
    aState.callers.erase(*request.caller);
  }
  const auto run = aState.runs.find(request.run.id);
  if (run != aState.runs.end() && run->second == aKey) {
    aState.runs.erase(run);
  }
  aState.requests.erase(found);
  if (aState.leaving && aState.requests.empty()) {
    aState.lastRequestEndedAt = aState.now;
  }
}

} // namespace rhubarbarch::router
