#pragma once

#include "context.h"

#include <optional>
#include <span>

namespace rhubarbarch::controller {

/// One controller: free functions over the replicated state and the leader's memory.
struct Controller
{
  /// Handles a message of a peer. @return whether it is one of this controller's
  bool (*handle)(Context& aContext, const Address& aFrom, const Message& aMessage);
  /// Compares state and memory with what they should be; runs every tick on the leader.
  void (*tick)(Context& aContext);
};

/// Sessions: registration, liveness, fencing of lost routers, agents that leave.
bool
handleSessions(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickSessions(Context& aContext);

/// Configuration: polls answered from a quorum-confirmed read.
bool
handleConfig(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickConfig(Context& aContext);
/// Answers the polls of a confirmed read.
void
readReady(Context& aContext, std::uint64_t aRead);
/// Returns the number of the read to request for what was gathered so far; nothing when there is nothing to answer.
std::optional<std::uint64_t>
takeRead(Memory& aMemory, std::uint64_t& aNextRead);

/// Grants: requests, placement in advance, recall.
bool
handleGrants(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickGrants(Context& aContext);
/// Tries the requests of a plan that wait for tokens.
void
serveWaiting(Context& aContext, const PlanId& aPlan);

/// Charges, returns and closing of grants.
bool
handleCharges(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickCharges(Context& aContext);

/// Claims of non-idempotent requests.
bool
handleClaims(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickClaims(Context& aContext);

/// Version moves: shares, judging, taking back.
bool
handleMoves(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickMoves(Context& aContext);

/// Orders to the agents: load and unload versions.
bool
handleOrders(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickOrders(Context& aContext);

/// Gateways: sessions, budgets, the routing document, the platform's list of upstreams.
bool
handleGateways(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickGateways(Context& aContext);
/// Prepares the sums that answers are read from, once a new leader's state is complete.
void
beginGateways(Context& aContext);
/// Answers a gateway from the state as it is; the caller has confirmed that it is current.
void
answerGateway(Context& aContext, const Address& aTo, const GatewayPoll& aPoll);
/// Tells all gateways of a document that was just committed.
void
announceToGateways(Context& aContext);

/// Operators: lists, moves and views. A view waits for a quorum-confirmed read, so that an operator never sees a list
/// older than one already accepted.
void
handleOperator(Context& aContext, const OperatorRequest& aRequest);
/// Runs an operation on the state as it is.
void
runOperator(Context& aContext, const OperatorRequest& aRequest);
bool
handleExplain(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickExplain(Context& aContext);

/// All controllers, in the order in which they run.
std::span<const Controller>
controllers();

} // namespace rhubarbarch::controller
