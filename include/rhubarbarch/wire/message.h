#pragma once

#include "rhubarbarch/wire/consensus_messages.h"
#include "rhubarbarch/wire/control_messages.h"
#include "rhubarbarch/wire/gateway_messages.h"
#include "rhubarbarch/wire/run_messages.h"

#include <variant>

namespace rhubarbarch {

/// Every message between processes.
using Message = std::variant<VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotChunk,
                             SnapshotReply,
                             TimeoutNow,
                             JoinRequest,
                             NotLeader,
                             RegisterSession,
                             SessionRegistered,
                             ConfigPoll,
                             ConfigState,
                             GrantRequest,
                             GrantReply,
                             GrantCallback,
                             GrantReturn,
                             GrantReturned,
                             ChargeBatch,
                             ChargeAck,
                             CloseGrant,
                             GrantClosed,
                             ClaimRequest,
                             ClaimReply,
                             ClaimUpdate,
                             BrakeReport,
                             FenceSession,
                             SessionFenced,
                             Order,
                             OrderReply,
                             ExplainQuery,
                             ExplainReply,
                             Dispatch,
                             DispatchRefused,
                             RunHead,
                             StreamChunk,
                             RunDone,
                             RunDoneAck,
                             Credit,
                             CancelRun,
                             RunQuery,
                             RunStatus,
                             Attach,
                             ChargeSettled,
                             AgentStatus,
                             GatewayPoll,
                             GatewayState>;

/// A message with its sender and receiver.
struct Envelope
{
  Address from;
  Address to;
  Message message;
};

} // namespace rhubarbarch
