#pragma once

#include "rhubarbarch/base/log_line.h"
#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/router/events.h"
#include "rhubarbarch/wire/message.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbarch::relay {

using router::Connect;
using router::Log;
using router::PeerDown;
using router::PeerMessage;
using router::PeerUp;
using router::Send;
using router::Shutdown;
using router::Stopped;
using router::Tick;

/// The settings name other first contacts.
struct Contacts
{
  std::vector<std::string> controllers; ///< endpoints
};

using Event = std::variant<PeerMessage, PeerUp, PeerDown, Tick, Shutdown, Contacts>;
using Action = std::variant<Send, Connect, Log, Stopped>;
using Actions = std::vector<Action>;

/// Settings of the relay role.
struct RelayOptions
{
  std::vector<std::string> controllers; ///< endpoints of the first contacts; they are the instance names, too
  Duration silence{ 400 };              ///< a controller that leaves polls unanswered for this long is replaced
  Duration pollKept{ 1500 };            ///< gateways repeat their polls; an older one is not passed on any more
};

/// Passes polls of gateways on to the leader, and its answers back. A gateway that is cut off from the controllers,
/// but not from all other instances, stays in contact through a relay. So does a gateway, or a controller that seeks
/// its group, whose settings name only a process without a disk. A deterministic state machine.
///
/// Usage: `for (auto& action : role.handle(event, now)) { run(std::move(action)); }`.
class RelayRole
{
public:
  explicit RelayRole(RelayOptions aOptions);

  /// Handles one event.
  /// @param aNow local time, never earlier than in the call before
  Actions handle(const Event& aEvent, TimePoint aNow);

  bool ready() const noexcept { return !mControllers.empty(); }
  Metrics metrics() const;

private:
  /// The last poll of a gateway.
  struct Pending
  {
    Address gateway;
    GatewayPoll poll;
    TimePoint at;
    bool answered = false;
  };

  void on(const PeerMessage& aEvent);
  void on(const PeerUp& /*aEvent*/) {}
  void on(const PeerDown& /*aEvent*/) {}
  void on(const Tick& aEvent);
  void on(const Shutdown& aEvent);
  void on(const Contacts& aEvent);
  /// Connects to controllers that are not known yet.
  void learn(const std::vector<std::string>& aControllers);
  void takeJoin(const InstanceId& aFrom, const JoinRequest& aRequest);
  void takePoll(const Address& aFrom, const GatewayPoll& aPoll);
  void takeState(const GatewayState& aState);
  void takeHint(const InstanceId& aFrom, const NotLeader& aHint);
  void passOn(const GatewayPoll& aPoll);
  void choose(std::size_t aController);
  void connectAll();

  RelayOptions mOptions;
  std::vector<std::string> mControllers;
  std::size_t mCurrent = 0;
  TimePoint mTriedSince; ///< start of the silence of the current controller
  bool mAsked = false;   ///< a poll waits for the current controller's answer
  bool mConnected = false;
  std::map<InstanceId, Pending> mPending;
  std::uint64_t mPassed = 0;
  std::uint64_t mAnswered = 0;
  TimePoint mNow;
  Actions mActions;
};

} // namespace rhubarbarch::relay
