#include "role_dispatcher.h"

#include "rhubarbarch/wire/message_size.h"

#include <utility>

namespace rhubarbarch::daemon {

void
RoleDispatcher::send(Role aFrom, Address aTo, Message aMessage)
{
  const auto lane = laneOf(aFrom);
  Envelope envelope{ { mInstance, aFrom }, std::move(aTo), std::move(aMessage) };
  if (envelope.to.instance == mInstance) {
    deliver(lane, std::move(envelope));
  } else {
    const auto bytes = approximateBytes(envelope.message);
    peers->pushUnlessFull(lane, std::move(envelope), bytes);
  }
}

void
RoleDispatcher::deliver(Lane aLane, Envelope aEnvelope)
{
  const auto bytes = approximateBytes(aEnvelope.message);
  // The settings of others may name a process without a disk as a controller; its relay passes on what it gets as one.
  const bool asController = aEnvelope.to.role == Role::kController && controller == nullptr;
  const bool forRelay = relay != nullptr && (aEnvelope.to.role == Role::kAgent || asController);
  if (aEnvelope.to.role == Role::kRouter && gateway != nullptr) {
    gateway->pushUnlessFull(
      aLane, router::PeerMessage{ std::move(aEnvelope.from), std::move(aEnvelope.message) }, bytes);
  } else if (aEnvelope.to.role == Role::kRouter && router != nullptr) {
    router->pushUnlessFull(
      aLane, router::PeerMessage{ std::move(aEnvelope.from), std::move(aEnvelope.message) }, bytes);
  } else if (forRelay) {
    relay->pushUnlessFull(aLane, router::PeerMessage{ std::move(aEnvelope.from), std::move(aEnvelope.message) }, bytes);
  } else if (aEnvelope.to.role == Role::kAgent && agent != nullptr) {
    agent->pushUnlessFull(aLane, agent::PeerMessage{ std::move(aEnvelope.from), std::move(aEnvelope.message) }, bytes);
  } else if (aEnvelope.to.role == Role::kController && controller != nullptr) {
    controller->pushUnlessFull(
      aLane, controller::PeerMessage{ std::move(aEnvelope.from), std::move(aEnvelope.message) }, bytes);
  }
}

void
RoleDispatcher::peerUp(Lane aLane, const Address& aPeer)
{
  if (router != nullptr) {
    router->push(aLane, router::PeerUp{ aPeer });
  }
  if (agent != nullptr) {
    agent->push(aLane, agent::PeerUp{ aPeer });
  }
  if (controller != nullptr) {
    controller->push(aLane, controller::PeerUp{ aPeer });
  }
}

void
RoleDispatcher::peerDown(Lane aLane, const Address& aPeer)
{
  if (router != nullptr) {
    router->push(aLane, router::PeerDown{ aPeer });
  }
  if (agent != nullptr) {
    agent->push(aLane, agent::PeerDown{ aPeer });
  }
  if (controller != nullptr) {
    controller->push(aLane, controller::PeerDown{ aPeer });
  }
}

void
RoleDispatcher::introduceRoles(Lane aLane)
{
  for (const auto role : roles()) {
    const Address peer{ mInstance, role };
    if (router != nullptr && role != Role::kRouter) {
      router->push(aLane, router::PeerUp{ peer });
    }
    if (agent != nullptr && role != Role::kAgent) {
      agent->push(aLane, agent::PeerUp{ peer });
    }
    if (controller != nullptr && role != Role::kController) {
      controller->push(aLane, controller::PeerUp{ peer });
    }
  }
}

bool
RoleDispatcher::congested(Lane aLane) const
{
  const auto isCongested = [aLane](const auto* aInbox) { return aInbox != nullptr && aInbox->congested(aLane); };
  return isCongested(router) || isCongested(gateway) || isCongested(agent) || isCongested(relay) ||
         isCongested(controller);
}

std::vector<Role>
RoleDispatcher::roles() const
{
  std::vector<Role> present;
  if (router != nullptr) {
    present.push_back(Role::kRouter);
  }
  if (agent != nullptr) {
    present.push_back(Role::kAgent);
  }
  if (controller != nullptr) {
    present.push_back(Role::kController);
  }
  return present;
}

} // namespace rhubarbarch::daemon
