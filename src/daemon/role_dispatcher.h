#pragma once

#include "lanes.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/gateway/events.h"
#include "rhubarbarch/relay/relay_role.h"
#include "rhubarbarch/wire/message.h"

#include <functional>
#include <vector>

namespace rhubarbarch::daemon {

/// Passes messages between the roles of this process and to and from its peers. The pointers are set before the first
/// thread starts; a role that this process does not have stays null.
class RoleDispatcher
{
public:
  explicit RoleDispatcher(InstanceId aInstance)
    : mInstance(std::move(aInstance))
  {
  }

  const InstanceId& instance() const noexcept { return mInstance; }

  /// Sends a message of a role of this process; on the thread of that role.
  void send(Role aFrom, Address aTo, Message aMessage);
  /// Gives a message to the role that it is for. Over the limit of the inbox it is dropped, since senders repeat.
  void deliver(Lane aLane, Envelope aEnvelope);
  void peerUp(Lane aLane, const Address& aPeer);
  void peerDown(Lane aLane, const Address& aPeer);
  /// Tells each role of this process that the other ones can be reached.
  void introduceRoles(Lane aLane);
  /// @return whether any role is behind with the events of a lane
  bool congested(Lane aLane) const;
  std::vector<Role> roles() const;

  net::Inbox<router::Event>* router = nullptr;
  net::Inbox<gateway::Event>* gateway = nullptr; ///< takes the router's place in a process with a gateway
  net::Inbox<agent::Event>* agent = nullptr;
  net::Inbox<relay::Event>* relay = nullptr; ///< takes the agent's place in a process with a relay
  net::Inbox<controller::Event>* controller = nullptr;
  net::Inbox<PeerCommand>* peers = nullptr;

private:
  InstanceId mInstance;
};

} // namespace rhubarbarch::daemon
