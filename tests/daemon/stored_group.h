#pragma once

// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "memory_disk.h"
#include "stored_controller.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbarch::daemon {

/// A controller on a disk that refuses writes while it is full.
struct StoredNode
{
  InstanceId name;
  consensus::MemoryDisk disk;
  bool full = false;
  std::unique_ptr<StoredController> controller;
};

/// An operator's request at one controller.
struct AskedRequest
{
  InstanceId controller;
  TimePoint at;
  std::optional<TimePoint> answeredAt;
  controller::OperatorReply reply;
};

/// Controllers with disks that fill up, in one thread on a virtual clock and a lossless network.
class StoredGroup
{
public:
  /// @param aSize controllers; the first three found the group, the others join it
  /// @param aTolerated disks that may be lost at the same time
  StoredGroup(std::size_t aSize, std::size_t aTolerated, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    const std::vector<InstanceId> contacts{ "c1", "c2", "c3" };
    for (std::size_t i = 0; i < aSize; ++i) {
      nodes.push_back({ "c" + std::to_string(i + 1), consensus::MemoryDisk(mRandom), false, nullptr });
    }
    for (auto& node : nodes) {
      controller::ControllerOptions options;
      options.replica.instance = node.name;
      options.replica.controllers = contacts;
      options.replica.bootstrap = std::ranges::find(contacts, node.name) != contacts.end();
      options.replica.openMembership = true;
      options.replica.lossesTolerated = aTolerated;
      node.controller = std::make_unique<StoredController>(
        options, open(node), [&node] { return reopen(node); }, std::mt19937_64(mRandom()));
      take(node, node.controller->start(now));
    }
  }

  void step()
  {
    now += kTickPeriod;
    wall += kTickPeriod;
    for (auto& envelope : std::exchange(mNetwork, {})) {
      const auto to = std::ranges::find(nodes, envelope.to.instance, &StoredNode::name);
      if (to != nodes.end()) {
        handle(*to, controller::PeerMessage{ envelope.from, std::move(envelope.message) });
      }
    }
    std::ranges::for_each(nodes, [this](auto& aNode) { handle(aNode, controller::Tick{ wall }); });
  }

  void run(Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      step();
    }
  }

  template<typename Condition>
  bool runUntil(Duration aLimit, Condition aCondition)
  {
    const auto end = now + aLimit;
    while (!aCondition() && now < end) {
      step();
    }
    return aCondition();
  }

  void handle(StoredNode& aNode, const controller::Event& aEvent)
  {
    take(aNode, aNode.controller->handle(aEvent, now));
  }

  /// Sends an operator's request to a controller. @return its place in `asked`
  std::size_t ask(StoredNode& aNode, const controller::Operation& aOperation)
  {
    asked.push_back({ aNode.name, now, {}, {} });
    handle(aNode, controller::OperatorRequest{ controller::OperatorId{ asked.size() }, aOperation });
    return asked.size() - 1;
  }

  /// Asks as an operator does: follows the address of a leader twice, and turns to the next controller after a refusal
  /// or a second without an answer.
  /// @return the answer; nothing within the limit
  std::optional<controller::OperatorReply> operate(const controller::Operation& aOperation, Duration aLimit)
  {
    constexpr Duration kPatience{ 1000 };
    constexpr Duration kPause{ 100 };
    constexpr int kRedirects = 2;
    const auto end = now + aLimit;
    while (now < end) {
      auto* node = &nodes[mNext++ % nodes.size()];
      for (int redirects = 0; node != nullptr && redirects <= kRedirects; ++redirects) {
        const auto request = ask(*node, aOperation);
        runUntil(kPatience, [&] { return asked[request].answeredAt.has_value(); });
        const auto& reply = asked[request].reply;
        if (asked[request].answeredAt && reply.httpStatus != 503) {
          return reply;
        }
        const auto leader = asked[request].answeredAt ? reply.body.value("leader", std::string()) : std::string();
        const auto found = std::ranges::find(nodes, leader, &StoredNode::name);
        node = found == nodes.end() ? nullptr : &*found;
      }
      run(kPause);
    }
    return std::nullopt;
  }

  StoredNode* leader()
  {
    const auto found = std::ranges::find_if(nodes, [](const auto& aNode) { return leads(aNode); });
    return found == nodes.end() ? nullptr : &*found;
  }

  static double metric(const StoredNode& aNode, const std::string& aName)
  {
    const auto metrics = aNode.controller->metrics();
    const auto found = std::ranges::find(metrics, aName, &Metric::name);
    return found == metrics.end() ? 0 : found->value;
  }

  std::size_t voters() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      nodes, [](const auto& aNode) { return metric(aNode, "rhubarbarch_controller_voter") > 0; }));
  }

  TimePoint now{ Duration{ 1'000'000 } };
  WallTime wall{ Duration{ 1'800'000'000'000 } };
  std::deque<StoredNode> nodes; ///< a deque, since the stores refer to their nodes
  std::vector<AskedRequest> asked;
  std::vector<LogLine> lines;
  std::map<InstanceId, int> stopped;                    ///< times that a controller said that it had stopped
  std::map<InstanceId, std::set<InstanceId>> addressed; ///< instances to which a controller has sent anything

private:
  static bool leads(const StoredNode& aNode) { return metric(aNode, "rhubarbarch_controller_leader") > 0; }

  static OpenedStore open(StoredNode& aNode)
  {
    return { [&aNode](std::span<const consensus::StorageRecord> aRecords) -> Result<void> {
              if (aNode.full) {
                return failure(ErrorCode::kIo, "no space left");
              }
              aNode.disk.write({ aRecords.begin(), aRecords.end() });
              aNode.disk.sync();
              return boost::outcome_v2::success();
            },
             aNode.disk.synced() };
  }

  static Result<OpenedStore> reopen(StoredNode& aNode)
  {
    if (aNode.full) {
      return failure(ErrorCode::kIo, "no space left");
    }
    return open(aNode);
  }

  void take(StoredNode& aNode, controller::Actions aActions)
  {
    for (auto& action : aNode.controller->persist(std::move(aActions), now)) {
      if (auto* sent = std::get_if<controller::Send>(&action)) {
        addressed[aNode.name].insert(sent->to.instance);
        mNetwork.push_back({ { aNode.name, Role::kController }, sent->to, std::move(sent->message) });
      } else if (auto* reply = std::get_if<controller::OperatorReply>(&action)) {
        auto& request = asked.at(static_cast<std::size_t>(reply->id) - 1);
        request.answeredAt = request.answeredAt.value_or(now);
        request.reply = std::move(*reply);
      } else if (auto* log = std::get_if<controller::Log>(&action)) {
        lines.push_back(std::move(log->line));
      } else if (std::holds_alternative<controller::Stopped>(action)) {
        ++stopped[aNode.name];
      }
    }
  }

  std::mt19937_64 mRandom;
  std::vector<Envelope> mNetwork;
  std::size_t mNext = 0;
};

} // namespace rhubarbarch::daemon
