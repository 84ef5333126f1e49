#pragma once

#include "context.h"

#include <optional>
#include <span>

namespace rhubarbarch::controller {

/// One controller: free functions over the replicated state and the leader's memory.
struct Controller
{
  /// Handles a message of a peer. @return whether this controller is responsible for the message
  bool (*handle)(Context& aContext, const Address& aFrom, const Message& aMessage);
  /// Reconciles state and memory with their desired values; runs every tick on the leader.
  void (*tick)(Context& aContext);
};

/// Sessions: registration, liveness, fencing of lost routers, leaving agents.
bool
handleSessions(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickSessions(Context& aContext);

/// Configuration: answers polls from a quorum-confirmed read.
bool
handleConfig(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickConfig(Context& aContext);
/// Answers the polls and operator requests of a confirmed read.
void
answerRead(Context& aContext, std::uint64_t aRead);
/// Starts a read for all polls and operator requests collected so far.
/// @param aLastRead number of the last read, incremented when a read starts
/// @return number of the read to request; nothing when there is nothing to answer
std::optional<std::uint64_t>
beginRead(Memory& aMemory, std::uint64_t& aLastRead);

/// Grants: requests, placement in advance, recall.
bool
handleGrants(Context& aContext, const Address& aFrom, const Message& aMessage);
void
tickGrants(Context& aContext);
/// Retries the requests of a plan that wait for tokens.
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

/// Version moves: traffic shares, evaluation, rollback.
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
/// Computes the sums that answers use; called once a new leader's state is complete.
void
initialiseGateways(Context& aContext);
/// Records that this replica was confirmed to lead after a poll of a gateway had arrived.
void
confirmPoll(Context& aContext, SessionId aSession, std::uint64_t aPoll);
/// Answers a gateway from the current state; the caller has confirmed that this replica still leads.
void
answerGateway(Context& aContext, const Address& aTo, const GatewayPoll& aPoll);
/// Sends all connected gateways a routing document or evacuation that was just committed.
void
announceToGateways(Context& aContext);

/// Operators: lists, moves and views. A view waits for a quorum-confirmed read, so that an operator never receives an
/// older list than one that was already accepted.
void
handleOperator(Context& aContext, const OperatorRequest& aRequest);
/// Runs an operation on the current state.
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
