#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

/// Pause before the next poll when a controller reports no leader: an election is in progress.
constexpr Duration kNoLeaderPause{ 50 };

/// Polls whose times are kept. At the shortest interval (20 ms) and with a relay they reach back over two seconds; the
/// confirmation of an older poll is not used.
constexpr std::size_t kPollTimesKept = 256;

/// Versions above the one held whose times are kept; the earliest one decides.
constexpr std::size_t kNewerVersionsKept = 64;

/// Earlier tables that are kept, as many as the leader keeps to make changes from.
constexpr std::size_t kEarlierTablesKept = 8;
/// How long they are kept: changes that have been on their way for longer are of no use to callers any more.
constexpr Duration kEarlierTableTime{ 10'000 };

/// A gateway that cannot serve logs what it lacks once in this period.
constexpr Duration kStartupReport{ 1500 };

const std::string&
currentController(const ControlLink& aLink)
{
  return aLink.controllers[aLink.current % aLink.controllers.size()];
}

void
switchController(State& aState, std::size_t aController, Duration aPause)
{
  auto& link = aState.link;
  link.current = aController % std::max<std::size_t>(link.controllers.size(), 1);
  link.currentSince = aState.now;
  link.pollAt = aState.now + aPause;
}

enum class PollKind : std::uint8_t
{
  kFull,
  kUrgent ///< only the plans that requests wait for or that returned tokens
};

GatewayPoll
makePoll(State& aState, PollKind aKind)
{
  auto& link = aState.link;
  GatewayPoll poll;
  poll.instance = aState.options.instance;
  poll.boot = aState.boot;
  poll.session = link.session;
  poll.number = ++link.polls;
  poll.endpoint = aState.options.endpoint;
  poll.answered = link.answered;
  poll.routingVersion = aState.index ? aState.index->table.version : 0;
  poll.routingRejected = std::exchange(link.routingRejected, false);
  poll.upstreamsRevision = aState.upstreams.revision;
  poll.leaving = aState.leavingSince.has_value();
  poll.partial = aKind == PollKind::kUrgent;
  if (poll.partial) {
    poll.plans = reportUrgent(aState.budgets, aState.options.allowanceWindow, poll.leaving);
  } else {
    poll.plans = reportUse(aState.budgets, aState.options.allowanceWindow, poll.leaving);
    poll.upstreams = reportCalls(aState.upstreams);
  }
  link.pollTimes.push_back({ poll.number, aState.now });
  reportLimits(aState, poll);
  reportEvidence(aState.crashes, poll, aState.now);
  return poll;
}

/// Sends a poll to the current controller and, without recent direct answers, also through a relay. The relayed poll
/// has a separate number because the leader may have received the direct one while its answers are lost.
void
sendPoll(State& aState, PollKind aKind)
{
  auto& link = aState.link;
  auto poll = makePoll(aState, aKind);
  if (!link.relays.empty() && aState.now - link.directAnswerAt >= aState.options.relayAfter) {
    const auto& relay = link.relays[link.polls / 2 % link.relays.size()];
    auto relayed = poll;
    relayed.number = ++link.polls;
    link.pollTimes.push_back({ relayed.number, aState.now });
    auto sent = link.sentPolls.back();
    sent.number = relayed.number;
    link.sentPolls.push_back(std::move(sent));
    aState.actions.emplace_back(Send{ { relay, Role::kAgent }, std::move(relayed) });
  }
  while (link.pollTimes.size() > kPollTimesKept) {
    link.pollTimes.pop_front();
  }
  aState.actions.emplace_back(Send{ { currentController(link), Role::kController }, std::move(poll) });
  link.polledAt = aState.now;
  link.urgent = false;
  if (aKind == PollKind::kFull) {
    link.pollAt = aState.now + aState.options.pollPeriod;
  }
}

/// Sends a full poll when it is due, or an urgent one when there is something to report to the leader soon. No urgent
/// poll is sent while an answer is outstanding, so that a slow leader does not get more work.
void
sendDue(State& aState)
{
  auto& link = aState.link;
  if (aState.now >= link.pollAt) {
    sendPoll(aState, PollKind::kFull);
    return;
  }
  const bool answered = link.answered >= link.polls;
  if (link.urgent && answered && aState.now - link.polledAt >= aState.options.minPollInterval) {
    sendPoll(aState, PollKind::kUrgent);
  }
}

void
rotateOnTimeout(State& aState)
{
  auto& link = aState.link;
  const auto lastContactAt = std::max(link.currentSince, link.directAnswerAt);
  if (aState.now - lastContactAt >= aState.options.controllerSilence) {
    log(aState, Severity::kWarning, "controller_silent", { { "controller", currentController(link) } });
    switchController(aState, link.current + 1, Duration{ 0 });
  }
}

void
readListIfStale(State& aState)
{
  auto& link = aState.link;
  const auto age = aState.now - aState.upstreams.listedAt;
  const bool stale = aState.index && (!aState.upstreams.received || age >= aState.options.maxListAge);
  if (stale && aState.now - link.listRequestedAt >= aState.options.listRetryInterval) {
    link.listRequestedAt = aState.now;
    aState.actions.emplace_back(ReadUpstreams{});
  }
}

/// @return milliseconds from the start to an event; -1: it has not come
std::int64_t
sinceStart(const State& aState, const std::optional<TimePoint>& aAt)
{
  return aAt ? (*aAt - aState.startedAt).count() : -1;
}

/// Logs when all that this gateway needs to serve has come, and until then now and then what is missing.
void
reportStartup(State& aState)
{
  auto& startup = aState.startup;
  if (startup.reported) {
    return;
  }
  const auto note = [&](std::optional<TimePoint>& aAt, bool aCame) {
    if (aCame && !aAt) {
      aAt = aState.now;
    }
  };
  note(startup.answeredAt, aState.link.answeredAt.has_value());
  note(startup.sessionAt, aState.link.session != SessionId{});
  note(startup.routingAt, aState.index != nullptr);
  note(startup.upstreamsAt, aState.upstreams.received);
  startup.reported = startup.answeredAt && startup.sessionAt && startup.routingAt && startup.upstreamsAt;
  const auto stalledSince = std::max(startup.stallReportedAt, aState.startedAt);
  if (!startup.reported && aState.now - stalledSince < kStartupReport) {
    return;
  }
  startup.stallReportedAt = aState.now;
  log(aState,
      startup.reported ? Severity::kInfo : Severity::kWarning,
      startup.reported ? "serving" : "not_serving",
      { { "answer_ms", sinceStart(aState, startup.answeredAt) },
        { "session_ms", sinceStart(aState, startup.sessionAt) },
        { "routing_ms", sinceStart(aState, startup.routingAt) },
        { "upstreams_ms", sinceStart(aState, startup.upstreamsAt) },
        { "controller", currentController(aState.link) },
        { "controllers", aState.link.controllers },
        { "not_leading", startup.hints } });
}

std::uint64_t
relayOrder(const State& aState, const std::string& aUpstream)
{
  return std::hash<std::string>{}(aState.options.instance + "/" + aUpstream);
}

/// Relays run beside the engines, at the engines' IP addresses. Each gateway uses only a few of them, so that the total
/// number of connections grows with the number of gateways and not with gateways times relays.
void
chooseRelays(State& aState)
{
  if (aState.options.relayPort == 0 || !aState.index) {
    return;
  }
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [id, upstream] : aState.upstreams.byId) {
    const auto* service = findService(*aState.index, upstream.entry.service);
    if (service != nullptr && service->isEngine && usable(upstream)) {
      const auto address = upstream.entry.endpoint.substr(0, upstream.entry.endpoint.rfind(':'));
      order.emplace_back(relayOrder(aState, id), address + ":" + std::to_string(aState.options.relayPort));
    }
  }
  std::ranges::sort(order);
  std::vector<std::string> chosen;
  for (std::size_t i = 0; i < std::min(order.size(), aState.options.relays); ++i) {
    chosen.push_back(order[i].second);
  }
  auto& relays = aState.link.relays;
  for (const auto& relay : relays) {
    if (std::ranges::find(chosen, relay) == chosen.end()) {
      aState.actions.emplace_back(Connect{ { relay, Role::kAgent }, "" });
    }
  }
  for (const auto& relay : chosen) {
    if (std::ranges::find(relays, relay) == relays.end()) {
      aState.actions.emplace_back(Connect{ { relay, Role::kAgent }, relay });
    }
  }
  relays = std::move(chosen);
}

void
updateControllers(State& aState, const std::vector<std::string>& aControllers)
{
  auto& link = aState.link;
  if (aControllers.empty() || aControllers == link.controllers) {
    return;
  }
  const auto current = currentController(link);
  for (const auto& controller : aControllers) {
    aState.actions.emplace_back(Connect{ { controller, Role::kController }, controller });
  }
  link.controllers = aControllers;
  const auto found = std::ranges::find(link.controllers, current);
  link.current = found == link.controllers.end() ? 0 : static_cast<std::size_t>(found - link.controllers.begin());
}

/// @return when the poll was sent that an answer confirms; nothing when it confirms none of the polls that are kept
std::optional<TimePoint>
confirmedSince(const ControlLink& aLink, const GatewayState& aAnswer)
{
  const auto found = std::ranges::find(aLink.pollTimes, aAnswer.confirmedPoll, &PollTime::number);
  return found == aLink.pollTimes.end() ? std::nullopt : std::optional(found->at);
}

/// Records what an answer says on the age of the table, after the answer's own document was applied.
void
updateConfirmation(State& aState, const GatewayState& aAnswer)
{
  if (!aState.index) {
    return;
  }
  auto& confirmation = aState.confirmation;
  const auto held = aState.index->table.version;
  if (aAnswer.routingVersion > held && confirmation.newer.size() < kNewerVersionsKept) {
    confirmation.newer.try_emplace(aAnswer.routingVersion, aState.now);
  }
  confirmation.newer.erase(confirmation.newer.begin(), confirmation.newer.upper_bound(held));
  const auto since = confirmedSince(aState.link, aAnswer);
  if (since && held >= aAnswer.routingVersion && (!confirmation.at || *confirmation.at < *since)) {
    confirmation.at = since;
  }
}

void
removeOldTables(State& aState)
{
  auto& earlier = aState.earlierTables;
  while (!earlier.empty() &&
         (earlier.size() > kEarlierTablesKept || aState.now - earlier.front().replacedAt >= kEarlierTableTime)) {
    earlier.pop_front();
  }
}

/// @return the table of a version, in force or replaced a moment ago; null when it is not kept
std::shared_ptr<const RouteIndex>
findTable(const State& aState, std::int64_t aVersion)
{
  if (aState.index && aState.index->table.version == aVersion) {
    return aState.index;
  }
  const auto found = std::ranges::find_if(
    aState.earlierTables, [aVersion](const auto& aEach) { return aEach.index->table.version == aVersion; });
  return found == aState.earlierTables.end() ? nullptr : found->index;
}

void
updateRouting(State& aState, const RoutingTable& aTable, const Address& aFrom)
{
  if (aState.index && aState.index->table.version >= aTable.version) {
    return;
  }
  const auto age = confirmationAgeMs(aState);
  if (aState.index) {
    aState.earlierTables.push_back({ aState.index, aState.now });
    removeOldTables(aState);
  }
  aState.index = makeRouteIndex(aTable);
  updateColdUpstreams(aState);
  aState.actions.emplace_back(LimitCallers{ aTable.limits });
  const auto& link = aState.link;
  log(aState,
      Severity::kInfo,
      "routing_in_force",
      { { "version", aTable.version },
        { "routes", aTable.routes.size() },
        { "confirmed_ms", age },
        { "from", aFrom.instance },
        { "relayed", aFrom.role != Role::kController },
        { "unanswered_polls", link.polls - std::min(link.polls, link.answered) } });
}

void
applyRoutingDelta(State& aState, const RoutingDelta& aDelta, const Address& aFrom)
{
  const auto held = aState.index ? aState.index->table.version : 0;
  if (held >= aDelta.rest.version) {
    return;
  }
  if (const auto base = findTable(aState, aDelta.base)) {
    updateRouting(aState, applyDelta(base->table, aDelta), aFrom);
  } else {
    aState.link.routingRejected = true;
    pollSoon(aState);
    log(aState,
        Severity::kWarning,
        "routing_delta_not_applied",
        { { "held", held }, { "base", aDelta.base }, { "version", aDelta.rest.version } });
  }
}

void
updateEvacuations(State& aState, const GatewayState& aAnswer)
{
  if (applyEvacuations(aState.upstreams, aAnswer.evacuated, aAnswer.evacuationsRevision)) {
    log(aState,
        Severity::kInfo,
        "evacuations_in_force",
        { { "revision", aAnswer.evacuationsRevision }, { "evacuated", aAnswer.evacuated } });
  }
}

void
updateRollouts(State& aState, const GatewayState& aAnswer)
{
  if (applyRollouts(aState.upstreams, aAnswer.rollouts, aAnswer.rolloutsRevision)) {
    log(aState,
        Severity::kInfo,
        "rollouts_in_force",
        { { "revision", aAnswer.rolloutsRevision }, { "rollouts", aAnswer.rollouts.size() } });
  }
}

void
endSession(State& aState)
{
  log(aState, Severity::kWarning, "session_ended", { { "session", toNumber(aState.link.session) } });
  aState.link.session = SessionId{};
  aState.link.pollAt = aState.now;
  for (auto& [plan, budget] : aState.budgets.plans) {
    budget.issued = budget.returned = budget.spent = 0;
  }
}

void
updatePlans(State& aState, const GatewayState& aAnswer)
{
  bool returned = false;
  for (const auto& plan : aAnswer.plans) {
    returned = apply(aState.budgets.plans[plan.plan], plan, aState.now) || returned;
  }
  if (returned) {
    pollSoon(aState);
  }
}

void
onState(State& aState, const Address& aFrom, const GatewayState& aAnswer)
{
  auto& link = aState.link;
  if (aAnswer.instance != aState.options.instance || aAnswer.boot != aState.boot) {
    return;
  }
  link.answeredAt = aState.now;
  if (aFrom.role == Role::kController) {
    link.directAnswerAt = aState.now;
  }
  link.answered = std::max(link.answered, aAnswer.number);
  link.gateways.record(aAnswer.gateways, aState.now);
  updateControllers(aState, aAnswer.controllers);
  updateEvacuations(aState, aAnswer);
  updateRollouts(aState, aAnswer);
  updateQuarantine(aState, aAnswer);
  const bool first = !aState.index;
  if (aAnswer.hasRouting) {
    updateRouting(aState, aAnswer.routing, aFrom);
  } else if (aAnswer.hasRoutingDelta && aState.index) {
    applyRoutingDelta(aState, aAnswer.routingDelta, aFrom);
  }
  updateConfirmation(aState, aAnswer);
  if (aAnswer.upstreamsAgeMs >= 0) {
    const auto readAt = aState.now - Duration(aAnswer.upstreamsAgeMs);
    if (aAnswer.hasUpstreams && readAt >= aState.upstreams.listedAt) {
      applyUpstreams(aState, aAnswer.upstreams, readAt);
      aState.upstreams.revision = aAnswer.upstreamsRevision;
    } else if (aAnswer.upstreamsRevision == aState.upstreams.revision) {
      aState.upstreams.listedAt = std::max(aState.upstreams.listedAt, readAt);
    }
  }
  if (aAnswer.hasOthersUse) {
    applyOthersUse(aState.upstreams, aAnswer.othersUse);
  }
  if (link.session == SessionId{} && !aAnswer.superseded && aAnswer.session != SessionId{}) {
    link.session = aAnswer.session;
    link.pollAt = aState.now;
  }
  if (first && aState.index) {
    serveWaiting(aState);
  }
  if (aAnswer.session != link.session) {
    return;
  }
  if (aAnswer.superseded) {
    endSession(aState);
    return;
  }
  updatePlans(aState, aAnswer);
  applyPermits(aState, aAnswer);
  serveWaiting(aState);
}

/// Connects to a controller that is not in the settings, which list only some of the group's members.
void
addController(State& aState, const std::string& aController)
{
  auto& known = aState.link.controllers;
  if (std::ranges::find(known, aController) == known.end()) {
    known.push_back(aController);
    aState.actions.emplace_back(Connect{ { aController, Role::kController }, aController });
  }
}

void
onNotLeader(State& aState, const InstanceId& aFrom, const NotLeader& aHint)
{
  auto& link = aState.link;
  ++aState.startup.hints;
  if (currentController(link) != aFrom) {
    return;
  }
  if (aHint.leader.empty() || aHint.leader == aFrom) {
    switchController(aState, link.current + 1, kNoLeaderPause);
    return;
  }
  addController(aState, aHint.leader);
  const auto found = std::ranges::find(link.controllers, aHint.leader);
  switchController(aState, static_cast<std::size_t>(found - link.controllers.begin()), Duration{ 0 });
}

} // namespace

std::int64_t
confirmationAgeMs(const State& aState)
{
  const auto& at = aState.confirmation.at;
  return at ? (aState.now - *at).count() : -1;
}

bool
confirmedLately(const State& aState)
{
  const auto& at = aState.confirmation.at;
  return at && aState.now - *at <= aState.options.maxConfirmationAge;
}

bool
supersededForLong(const State& aState)
{
  const auto& newer = aState.confirmation.newer;
  return !newer.empty() && aState.now - newer.begin()->second > aState.options.maxConfirmationAge;
}

void
onContacts(State& aState, const Contacts& aContacts)
{
  std::ranges::for_each(aContacts.controllers, [&](const auto& aEach) { addController(aState, aEach); });
}

void
tickControl(State& aState)
{
  if (aState.link.controllers.empty()) {
    return;
  }
  updateDemand(aState.budgets, aState.now);
  removeOldTables(aState);
  rotateOnTimeout(aState);
  readListIfStale(aState);
  sendDue(aState);
  reportStartup(aState);
}

void
pollSoon(State& aState)
{
  aState.link.urgent = true;
  if (!aState.link.controllers.empty()) {
    sendDue(aState);
  }
}

void
handlePeer(State& aState, const PeerMessage& aMessage)
{
  if (const auto* answer = std::get_if<GatewayState>(&aMessage.message)) {
    onState(aState, aMessage.from, *answer);
  } else if (const auto* hint = std::get_if<NotLeader>(&aMessage.message)) {
    onNotLeader(aState, aMessage.from.instance, *hint);
  }
}

void
applyUpstreams(State& aState, const std::vector<UpstreamEntry>& aList, TimePoint aReadAt)
{
  applyList(aState.upstreams, aList, aReadAt, aState.now);
  updateColdUpstreams(aState);
  chooseRelays(aState);
  const auto leaving = std::ranges::count_if(aList, &UpstreamEntry::leaving);
  log(aState, Severity::kInfo, "upstreams_listed", { { "upstreams", aList.size() }, { "leaving", leaving } });
}

} // namespace rhubarbarch::gateway
