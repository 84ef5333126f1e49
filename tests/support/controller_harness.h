#pragma once

#include "memory_disk.h"

#include "rhubarbarch/controller/controller_role.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::testing {

/// Three controllers (or one) in one thread with a lossless network that can be cut, and routers and agents that poll.
class ControllerHarness
{
public:
  struct Peer
  {
    Address address;
    SessionId session{};
    std::uint64_t boot = 1;
    std::uint64_t polls = 0;
    bool silent = false;
    ConfigPoll poll; ///< template of its polls
    ConfigState config;
  };

  explicit ControllerHarness(std::size_t aCount = 1, const controller::ControllerOptions& aOptions = {})
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mNames.push_back("c" + std::to_string(i + 1));
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      auto options = aOptions;
      options.replica.instance = mNames[i];
      options.replica.controllers = mNames;
      options.replica.bootstrap = i == 0;
      disks.emplace(mNames[i], consensus::MemoryDisk(mRandom));
      roles.emplace(mNames[i],
                    std::make_unique<controller::ControllerRole>(
                      options, disks.at(mNames[i]).synced(), std::mt19937_64(mRandom())));
    }
    for (const auto& name : mNames) {
      take(name, roles.at(name)->start(now));
    }
    run(Duration{ 5000 });
  }

  const InstanceId& leader() const
  {
    const auto found =
      std::ranges::find_if(mNames, [&](const auto& aName) { return !cut.contains(aName) && leads(aName); });
    return found == mNames.end() ? mNames.front() : *found;
  }

  bool leads(const InstanceId& aName) const { return roles.at(aName)->isLeader(); }

  const state::ReplicatedState& state() const { return roles.at(leader())->replicatedState(); }

  const state::Account& account(const PlanId& aPlan) const { return *state::findAccount(state().ledger, aPlan); }

  /// Lets time pass, tick by tick.
  void run(Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      now += kTickPeriod;
      wall += kTickPeriod;
      for (const auto& name : mNames) {
        take(name, roles.at(name)->handle(controller::Tick{ wall }, now));
      }
      deliver();
      if (now.time_since_epoch() % kPollPeriod == Duration{ 0 }) {
        poll();
      }
    }
  }

  /// Sends a message of a router or agent to the leader and delivers what follows from it.
  void send(const Address& aFrom, const Message& aMessage) { sendTo(leader(), aFrom, aMessage); }

  void sendTo(const InstanceId& aController, const Address& aFrom, const Message& aMessage)
  {
    take(aController, roles.at(aController)->handle(controller::PeerMessage{ aFrom, aMessage }, now));
    deliver();
  }

  /// Runs an operator's request at the leader. @return its answer, if it came within a second
  std::optional<controller::OperatorReply> operate(const controller::Operation& aOperation)
  {
    const auto id = start(leader(), aOperation);
    run(Duration{ 1500 });
    return answerTo(id);
  }

  /// Runs an operator's request at the leader. @return its answer; throws when none came within the time of operate()
  controller::OperatorReply answered(const controller::Operation& aOperation)
  {
    const auto id = start(leader(), aOperation);
    run(Duration{ 1500 });
    return answerTo(id);
  }

  controller::OperatorId start(const InstanceId& aController, const controller::Operation& aOperation)
  {
    const auto id = controller::OperatorId{ ++mOperators };
    take(aController, roles.at(aController)->handle(controller::OperatorRequest{ id, aOperation }, now));
    deliver();
    return id;
  }

  bool hasAnswer(controller::OperatorId aId) const
  {
    return std::ranges::find(replies, aId, &controller::OperatorReply::id) != replies.end();
  }

  /// The answer to an operator's request; throws when there is none.
  controller::OperatorReply answerTo(controller::OperatorId aId) const
  {
    const auto found = std::ranges::find(replies, aId, &controller::OperatorReply::id);
    return replies.at(static_cast<std::size_t>(found - replies.begin()));
  }

  Peer& join(const InstanceId& aInstance, Role aRole, std::uint64_t aBoot = 1)
  {
    auto& peer = peers[{ aInstance, aRole }];
    peer.address = { aInstance, aRole };
    peer.boot = aBoot;
    RegisterSession session;
    session.instance = aInstance;
    session.boot = Boot{ aBoot };
    session.role = aRole;
    send(peer.address, session);
    run(kTickPeriod);
    const auto answers = received<SessionRegistered>(peer.address);
    peer.session = answers.empty() ? SessionId{} : answers.back().session;
    poll();
    run(kTickPeriod);
    return peer;
  }

  void setBudget(const PlanId& aPlan, Tokens aTokens)
  {
    controller::ApplyUses apply;
    apply.requestId = "budget-" + std::to_string(++mBudgets);
    apply.expected = state().lists.lists.usesRevision;
    apply.uses.emplace_back();
    apply.uses.back().plan = aPlan;
    apply.uses.back().budgetTokens = aTokens;
    start(leader(), apply);
    run(kTickPeriod);
  }

  /// Messages of a type that a peer received, in order.
  template<typename T>
  std::vector<T> received(const Address& aPeer) const
  {
    std::vector<T> found;
    const auto inbox = inboxes.find(aPeer);
    if (inbox != inboxes.end()) {
      for (const auto& message : inbox->second) {
        if (const auto* typed = std::get_if<T>(&message)) {
          found.push_back(*typed);
        }
      }
    }
    return found;
  }

  /// The last message of a type that a peer received; throws when there is none.
  template<typename T>
  T last(const Address& aPeer) const
  {
    const auto all = received<T>(aPeer);
    return all.at(all.size() - 1);
  }

  std::size_t countLines(const std::string& aEvent) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(lines, [&](const LogLine& aLine) { return aLine.event == aEvent; }));
  }

  TimePoint now{ Duration{ 1'000'000 } };
  WallTime wall{ Duration{ 1'800'000'000'000 } };
  std::map<InstanceId, std::unique_ptr<controller::ControllerRole>> roles;
  std::map<InstanceId, consensus::MemoryDisk> disks;
  std::set<InstanceId> cut;      ///< controllers that exchange nothing with anyone
  std::set<InstanceId> isolated; ///< controllers that exchange nothing with other controllers
  std::map<Address, Peer> peers;
  std::map<Address, std::vector<Message>> inboxes;
  std::vector<controller::OperatorReply> replies;
  std::vector<LogLine> lines;

private:
  static constexpr Duration kPollPeriod{ 500 };

  void take(const InstanceId& aFrom, controller::Actions aActions)
  {
    for (auto& action : aActions) {
      if (auto* persist = std::get_if<controller::Persist>(&action)) {
        disks.at(aFrom).write(persist->records);
        disks.at(aFrom).sync();
      } else if (auto* sent = std::get_if<controller::Send>(&action)) {
        mNetwork.push_back({ { aFrom, Role::kController }, sent->to, std::move(sent->message) });
      } else if (auto* reply = std::get_if<controller::OperatorReply>(&action)) {
        replies.push_back(std::move(*reply));
      } else if (auto* log = std::get_if<controller::Log>(&action)) {
        lines.push_back(std::move(log->line));
      }
    }
  }

  void deliver()
  {
    while (!mNetwork.empty()) {
      for (auto& envelope : std::exchange(mNetwork, {})) {
        if (cut.contains(envelope.from.instance) || cut.contains(envelope.to.instance)) {
          continue;
        }
        if (envelope.to.role == Role::kController && roles.contains(envelope.to.instance)) {
          const auto& to = envelope.to.instance;
          if (isolated.contains(envelope.from.instance) || isolated.contains(to)) {
            continue;
          }
          take(to, roles.at(to)->handle(controller::PeerMessage{ envelope.from, envelope.message }, now));
          continue;
        }
        const auto peer = peers.find(envelope.to);
        if (const auto* config = std::get_if<ConfigState>(&envelope.message);
            config != nullptr && peer != peers.end()) {
          apply(peer->second, *config);
        }
        inboxes[envelope.to].push_back(std::move(envelope.message));
      }
    }
  }

  static void apply(Peer& aPeer, const ConfigState& aState)
  {
    aPeer.config = aState;
    aPeer.poll.readIndex = aState.readIndex;
    aPeer.poll.directoryRevision = aState.directoryRevision;
    aPeer.poll.movesRevision = aState.movesRevision;
    if (aState.hasLists) {
      aPeer.poll.plansRevision = aState.lists.plansRevision;
      aPeer.poll.usesRevision = aState.lists.usesRevision;
    }
  }

  void poll()
  {
    for (auto& [address, peer] : peers) {
      if (!peer.silent && peer.session != SessionId{}) {
        peer.poll.instance = address.instance;
        peer.poll.role = address.role;
        peer.poll.session = peer.session;
        peer.poll.number = ++peer.polls;
        send(address, peer.poll);
      }
    }
  }

  std::mt19937_64 mRandom{ 20261204 };
  std::vector<InstanceId> mNames;
  std::vector<Envelope> mNetwork;
  std::uint64_t mOperators = 0;
  std::uint64_t mBudgets = 0;
};

} // namespace rhubarbarch::testing
