#include "rhubarbarch/controller/controller_role.h"

#include "controllers.h"
#include "rhubarbarch/consensus/replica.h"
#include "rhubarbarch/wire/codec.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <type_traits>
#include <utility>

namespace rhubarbarch::controller {

namespace {

// Commands that hold complete documents fill memory and disk long before their number reaches the snapshot threshold.
// The limit holds a few documents of the largest size that operators may send.
constexpr std::size_t kSnapshotBytes = std::size_t{ 4 } * 1024 * 1024;
// Largest command that an operator may propose. It must fit into one frame with the message that replicates it, which
// adds some hundred bytes.
constexpr std::size_t kMaxCommandBytes = kMaxFrameBytes - std::size_t{ 64 } * 1024;
// A controller that leads without serving, or knows no leader, logs this once per period.
constexpr Duration kStallReport{ 1500 };
// Longest time that a shutdown waits for a follower to take over.
constexpr Duration kHandoverTime{ 2000 };

template<typename T, typename... Others>
constexpr bool kIsOneOf = (std::is_same_v<T, Others> || ...);

bool
isConsensus(const Message& aMessage)
{
  return std::visit(
    [](const auto& aTyped) {
      return kIsOneOf<std::decay_t<decltype(aTyped)>,
                      VoteRequest,
                      VoteReply,
                      AppendRequest,
                      AppendReply,
                      SnapshotChunk,
                      SnapshotReply,
                      TimeoutNow,
                      JoinRequest>;
    },
    aMessage);
}

// Messages whose sender repeats them until the leader answers.
bool
needsLeader(const Message& aMessage)
{
  return std::visit(
    [](const auto& aTyped) {
      return kIsOneOf<std::decay_t<decltype(aTyped)>,
                      RegisterSession,
                      ConfigPoll,
                      GrantRequest,
                      GrantReturn,
                      ChargeBatch,
                      CloseGrant,
                      ClaimRequest,
                      ClaimUpdate,
                      BrakeReport,
                      SessionFenced,
                      GatewayPoll>;
    },
    aMessage);
}

struct Pending
{
  Term term{};
  Completion done;
  std::optional<OperatorId> oper;
};

} // namespace

struct ControllerRole::Core final : Proposer
{
  Core(ControllerOptions aOptions, consensus::StoredState aStored, std::mt19937_64 aRandom)
    : options(std::move(aOptions))
    , replica(options.replica, std::move(aStored), aRandom)
  {
  }

  Context context() { return { options, state, memory, platform, *this, *actions, now, unixMs }; }

  bool propose(state::Command aCommand, Completion aDone, std::optional<OperatorId> aOperator) override;
  std::vector<InstanceId> members() const override;

  // Processes the replica's outputs until none is left; completions may add further ones.
  void drain();
  void process(consensus::Output& aOutput);
  void restore(const consensus::SnapshotRecord& aSnapshot);
  void applyEntry(const LogEntry& aEntry);
  void finish();
  // Stops this replica because its stored data cannot be read.
  void fail();

  void followLeadership();
  void gainLeadership();
  void loseLeadership();
  // Refuses the operator requests of a failed read. Polls need no reply because their senders repeat them.
  void failRead(std::uint64_t aRead);
  void refuseAll(const std::vector<OperatorRequest>& aRequests);
  void refuseOperator(OperatorId aOperator);
  void compact();

  bool serves() const { return leading && caughtUp; }

  void on(const PeerMessage& aEvent);
  void on(const PeerUp& /*aEvent*/) {}
  void on(const PeerDown& /*aEvent*/) {}
  void on(const Tick& aEvent);
  void on(const Shutdown& aEvent);
  void on(const OperatorRequest& aEvent);
  void on(const PlatformList& aEvent);
  void stopWhenHandedOver();
  void reportStall();
  void reportMembers();
  void on(const UpstreamsRead& aEvent);
  void on(const Contacts& aEvent) { replica.setContacts(aEvent.controllers); }
  void requestRead();
  void connectTo(const InstanceId& aController);

  ControllerOptions options;
  consensus::Replica replica;
  state::ReplicatedState state;
  Memory memory;
  PlatformMemory platform;
  std::deque<consensus::Output> outputs;
  std::map<LogIndex, Pending> pending;
  Actions* actions = nullptr;
  TimePoint now;
  std::int64_t unixMs = 0;
  std::uint64_t lastRead = 0;
  LogIndex compactedIndex{};
  Term leadTerm{};
  bool leading = false;
  bool caughtUp = false;      ///< an entry of this leadership is applied, so the state includes all earlier commits
  LogIndex reportedMembers{}; ///< index of the members that were logged last
  TimePoint stalledSince;     ///< start of the stall or its last report; time of the last tick while there is none
  std::optional<TimePoint> shutdownAt;
  bool stopped = false;
  bool failed = false;
  std::set<InstanceId> connected; ///< controllers to which a connection was requested
  std::size_t appliedBytes = 0;   ///< of commands since the last snapshot
  std::uint64_t commandsApplied = 0;
  std::uint64_t leaderships = 0;
};

bool
ControllerRole::Core::propose(state::Command aCommand, Completion aDone, std::optional<OperatorId> aOperator)
{
  auto command = state::encodeCommand(aCommand);
  if (aOperator && command.size() > kMaxCommandBytes) {
    const auto detail = "the change takes " + std::to_string(command.size()) + " bytes of " +
                        std::to_string(kMaxCommandBytes) + " that can be replicated";
    actions->emplace_back(OperatorReply{ *aOperator, 413, { { "error", "too_large" }, { "detail", detail } }, {} });
    return false;
  }
  consensus::Output output;
  const auto index = replica.propose(std::move(command), now, output);
  if (index.has_value()) {
    pending.insert_or_assign(index.value(), Pending{ replica.term(), std::move(aDone), aOperator });
  } else if (aOperator) {
    refuseOperator(*aOperator);
  }
  outputs.push_back(std::move(output));
  return index.has_value();
}

std::vector<InstanceId>
ControllerRole::Core::members() const
{
  std::vector<InstanceId> instances;
  std::ranges::transform(replica.members(), std::back_inserter(instances), &Member::instance);
  return instances;
}

// In a group with open membership no settings name the members. Controllers connect to the members that the log and
// join requests name.
void
ControllerRole::Core::connectTo(const InstanceId& aController)
{
  if (options.replica.openMembership && aController != options.replica.instance &&
      connected.insert(aController).second) {
    actions->emplace_back(Connect{ aController });
  }
}

void
ControllerRole::Core::drain()
{
  while (!outputs.empty()) {
    auto output = std::move(outputs.front());
    outputs.pop_front();
    process(output);
  }
}

void
ControllerRole::Core::process(consensus::Output& aOutput)
{
  if (!aOutput.records.empty()) {
    actions->emplace_back(Persist{ std::move(aOutput.records) });
  }
  if (aOutput.restored) {
    restore(*aOutput.restored);
  }
  for (const auto& entry : aOutput.committed) {
    applyEntry(entry);
  }
  auto step = context();
  for (const auto read : aOutput.readsReady) {
    answerRead(step, read);
  }
  for (const auto read : aOutput.readsFailed) {
    failRead(read);
  }
  for (auto& outgoing : aOutput.messages) {
    connectTo(outgoing.to);
    send(step, { std::move(outgoing.to), Role::kController }, std::move(outgoing.message));
  }
}

void
ControllerRole::Core::restore(const consensus::SnapshotRecord& aSnapshot)
{
  auto decoded = state::decode(aSnapshot.state);
  if (decoded.has_value()) {
    state = std::move(decoded).value();
    compactedIndex = aSnapshot.lastIndex;
    return;
  }
  // Continuing without the state would let this replica lead with an empty ledger.
  auto step = context();
  log(step, "snapshot_unreadable", { { "detail", decoded.error().detail } }, Severity::kError);
  fail();
}

void
ControllerRole::Core::fail()
{
  actions->emplace_back(Stopped{});
  stopped = true;
  failed = true;
}

void
ControllerRole::Core::applyEntry(const LogEntry& aEntry)
{
  if (aEntry.kind != EntryKind::kCommand) {
    return;
  }
  appliedBytes += aEntry.data.data.size();
  const auto command = state::decodeCommand(aEntry.data.data);
  auto step = context();
  if (!command.has_value()) {
    log(step,
        "command_unreadable",
        { { "index", toNumber(aEntry.index) }, { "detail", command.error().detail } },
        Severity::kError);
    fail();
    return;
  }
  const auto outcome = state::apply(state, command.value(), aEntry.index);
  ++commandsApplied;
  const auto waiting = pending.extract(aEntry.index);
  if (!waiting.empty() && waiting.mapped().term == aEntry.term && waiting.mapped().done) {
    waiting.mapped().done(step, outcome);
  }
}

void
ControllerRole::Core::finish()
{
  drain();
  followLeadership();
  drain();
  compact();
  drain();
  reportMembers();
}

void
ControllerRole::Core::followLeadership()
{
  const bool leads = replica.isLeader();
  if (leading && (!leads || replica.term() != leadTerm)) {
    loseLeadership();
  }
  if (!leading && leads) {
    gainLeadership();
  }
}

void
ControllerRole::Core::gainLeadership()
{
  leading = true;
  caughtUp = false;
  leadTerm = replica.term();
  ++leaderships;
  memory = Memory{};
  memory.leaderSince = now;
  auto step = context();
  log(step, "leadership_gained", { { "term", toNumber(leadTerm) } });
  propose(
    state::RaiseFence{ unixMs },
    [this](Context& aContext, const state::Outcome& /*aOutcome*/) {
      caughtUp = true;
      initialiseGateways(aContext);
    },
    std::nullopt);
}

void
ControllerRole::Core::loseLeadership()
{
  leading = false;
  caughtUp = false;
  auto step = context();
  log(step, "leadership_lost", { { "term", toNumber(leadTerm) }, { "leader", replica.leader() } });
  for (const auto& [index, waiting] : std::exchange(pending, {})) {
    if (waiting.oper) {
      refuseOperator(*waiting.oper);
    }
  }
  for (const auto& [number, explain] : memory.explains) {
    refuseOperator(explain.id);
  }
  for (const auto& [number, read] : memory.reads) {
    refuseAll(read.shows);
  }
  refuseAll(memory.nextRead.shows);
  memory = Memory{};
}

void
ControllerRole::Core::failRead(std::uint64_t aRead)
{
  const auto read = memory.reads.extract(aRead);
  if (!read.empty()) {
    refuseAll(read.mapped().shows);
  }
}

void
ControllerRole::Core::refuseAll(const std::vector<OperatorRequest>& aRequests)
{
  for (const auto& request : aRequests) {
    refuseOperator(request.id);
  }
}

void
ControllerRole::Core::refuseOperator(OperatorId aOperator)
{
  auto step = context();
  log(step, "operator_sent_on", { { "leader", replica.leader() }, { "leads", leading }, { "caught_up", caughtUp } });
  actions->emplace_back(
    OperatorReply{ aOperator,
                   503,
                   { { "error", "not_leader" },
                     { "detail", "this controller does not lead; repeat the request at the leader" },
                     { "leader", replica.leader() } },
                   {} });
}

void
ControllerRole::Core::compact()
{
  const auto applied = replica.appliedIndex();
  const bool many = toNumber(applied) >= toNumber(compactedIndex) + options.snapshotEntries;
  if (stopped || (!many && appliedBytes < kSnapshotBytes)) {
    return;
  }
  compactedIndex = applied;
  appliedBytes = 0;
  outputs.push_back(replica.compact(state::encode(state)));
}

void
ControllerRole::Core::on(const PeerMessage& aEvent)
{
  if (isConsensus(aEvent.message)) {
    outputs.push_back(replica.handle(aEvent.from.instance, aEvent.message, now));
    return;
  }
  auto step = context();
  if (!serves()) {
    if (needsLeader(aEvent.message)) {
      send(step, aEvent.from, NotLeader{ replica.leader() });
    }
    return;
  }
  for (const auto& controller : controllers()) {
    if (controller.handle(step, aEvent.from, aEvent.message)) {
      return;
    }
  }
}

void
ControllerRole::Core::on(const Tick& aEvent)
{
  unixMs = aEvent.wall.time_since_epoch().count();
  outputs.push_back(replica.tick(now));
  drain();
  followLeadership();
  drain();
  if (serves()) {
    auto step = context();
    for (const auto& controller : controllers()) {
      controller.tick(step);
    }
    requestRead();
  }
  reportStall();
  stopWhenHandedOver();
}

// Logs who belongs to the group whenever that changes, and once after a start.
void
ControllerRole::Core::reportMembers()
{
  const auto index = replica.membershipIndex();
  if (index == reportedMembers) {
    return;
  }
  reportedMembers = index;
  auto voters = nlohmann::json::array();
  auto learners = nlohmann::json::array();
  for (const auto& member : replica.members()) {
    (member.voter ? voters : learners).push_back(member.instance);
  }
  auto step = context();
  log(step,
      "members",
      { { "index", toNumber(index) },
        { "last_index", toNumber(replica.lastIndex()) },
        { "voters", std::move(voters) },
        { "learners", std::move(learners) } });
}

// Logs the state of the group's members when no leader serves.
void
ControllerRole::Core::reportStall()
{
  const bool follows = !replica.isLeader() && !replica.leader().empty();
  if (serves() || follows || stalledSince == TimePoint{}) {
    stalledSince = now;
    return;
  }
  if (now - stalledSince < kStallReport) {
    return;
  }
  stalledSince = now;
  auto members = nlohmann::json::array();
  for (const auto& each : replica.progress(now)) {
    members.push_back({ { "instance", each.member.instance },
                        { "voter", each.member.voter },
                        { "match", toNumber(each.matchIndex) },
                        { "silent_ms", each.silent.count() },
                        { "snapshot", each.takesSnapshot } });
  }
  auto step = context();
  log(step,
      leading ? "leader_not_serving" : "no_leader",
      { { "term", toNumber(replica.term()) },
        { "last_index", toNumber(replica.lastIndex()) },
        { "applied_index", toNumber(replica.appliedIndex()) },
        { "members", std::move(members) } },
      Severity::kWarning);
}

// A single quorum-confirmed read answers all polls of a tick.
void
ControllerRole::Core::requestRead()
{
  const auto read = beginRead(memory, lastRead);
  if (!read) {
    return;
  }
  consensus::Output output;
  if (!replica.requestRead(*read, now, output).has_value()) {
    failRead(*read);
  }
  outputs.push_back(std::move(output));
}

void
ControllerRole::Core::on(const Shutdown& /*aEvent*/)
{
  if (!shutdownAt) {
    shutdownAt = now;
    outputs.push_back(replica.transferLeadership(now));
  }
}

void
ControllerRole::Core::stopWhenHandedOver()
{
  if (shutdownAt && !stopped && (!replica.isLeader() || now - *shutdownAt >= kHandoverTime)) {
    stopped = true;
    actions->emplace_back(Stopped{});
  }
}

void
ControllerRole::Core::on(const OperatorRequest& aEvent)
{
  if (!serves()) {
    refuseOperator(aEvent.id);
    return;
  }
  auto step = context();
  handleOperator(step, aEvent);
}

void
ControllerRole::Core::on(const PlatformList& aEvent)
{
  platform.live = { aEvent.live.begin(), aEvent.live.end() };
  platform.leaving = { aEvent.leaving.begin(), aEvent.leaving.end() };
  platform.everSeen.insert(aEvent.live.begin(), aEvent.live.end());
  platform.everSeen.insert(aEvent.leaving.begin(), aEvent.leaving.end());
}

void
ControllerRole::Core::on(const UpstreamsRead& aEvent)
{
  const auto text = nlohmann::json(aEvent.upstreams).dump();
  platform.upstreams = aEvent.upstreams;
  platform.upstreamsRevision = std::hash<std::string>{}(text);
  platform.upstreamsReadAt = now;
}

ControllerRole::ControllerRole(ControllerOptions aOptions, consensus::StoredState aStored, std::mt19937_64 aRandom)
  : mCore(std::make_unique<Core>(std::move(aOptions), std::move(aStored), aRandom))
{
}

ControllerRole::~ControllerRole() = default;
ControllerRole::ControllerRole(ControllerRole&&) noexcept = default;
ControllerRole&
ControllerRole::operator=(ControllerRole&&) noexcept = default;

Actions
ControllerRole::start(TimePoint aNow)
{
  Actions actions;
  mCore->actions = &actions;
  mCore->now = aNow;
  mCore->outputs.push_back(mCore->replica.start(aNow));
  mCore->finish();
  mCore->actions = nullptr;
  return actions;
}

Actions
ControllerRole::handle(const Event& aEvent, TimePoint aNow)
{
  Actions actions;
  if (mCore->failed) {
    return actions;
  }
  mCore->actions = &actions;
  mCore->now = aNow;
  std::visit([this](const auto& aTyped) { mCore->on(aTyped); }, aEvent);
  mCore->finish();
  mCore->actions = nullptr;
  return actions;
}

bool
ControllerRole::ready() const
{
  return mCore->serves() || (!mCore->replica.isLeader() && !mCore->replica.leader().empty());
}

bool
ControllerRole::isLeader() const
{
  return mCore->replica.isLeader();
}

Metrics
ControllerRole::metrics() const
{
  const auto& core = *mCore;
  const auto& sessions = core.state.sessions;
  const auto members = core.replica.members();
  const auto own = std::ranges::find(members, core.replica.id(), &Member::replica);
  const bool votes = own != members.end() && own->voter;
  return { { "rhubarbarch_controller_leader", "", core.serves() ? 1.0 : 0.0 },
           { "rhubarbarch_controller_voter", "", votes ? 1.0 : 0.0 },
           { "rhubarbarch_controller_leaderships_total", "", static_cast<double>(core.leaderships) },
           { "rhubarbarch_controller_commands_total", "", static_cast<double>(core.commandsApplied) },
           { "rhubarbarch_controller_log_entries", "", static_cast<double>(core.replica.logLength()) },
           { "rhubarbarch_controller_log_bytes", "", static_cast<double>(core.replica.logBytes()) },
           { "rhubarbarch_controller_snapshot_bytes", "", static_cast<double>(core.replica.snapshotBytes()) },
           { "rhubarbarch_controller_reads_waiting", "", static_cast<double>(core.memory.reads.size()) },
           { "rhubarbarch_controller_sessions", "role=\"router\"", static_cast<double>(sessions.routers.size()) },
           { "rhubarbarch_controller_sessions", "role=\"agent\"", static_cast<double>(sessions.agents.size()) },
           { "rhubarbarch_controller_grants", "", static_cast<double>(core.state.ledger.grants.size()) },
           { "rhubarbarch_controller_accounts", "", static_cast<double>(core.state.ledger.accounts.size()) },
           { "rhubarbarch_controller_claims", "", static_cast<double>(core.state.claims.records.size()) } };
}

const state::ReplicatedState&
ControllerRole::replicatedState() const noexcept
{
  return mCore->state;
}

} // namespace rhubarbarch::controller
