#pragma once

#include "rhubarbarch/base/bytes.h"
#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/wire/json_fields.h"

#include <cstdint>
#include <vector>

namespace rhubarbarch {

/// One member of the consensus group.
struct Member
{
  ReplicaId replica{};
  InstanceId instance;
  bool voter = false; ///< false: learner

  bool operator==(const Member&) const = default;
};

/// What a log entry holds.
enum class EntryKind : std::uint8_t
{
  kNoop,      ///< written by a new leader
  kCommand,   ///< a command of the replicated state, CBOR
  kMembership ///< the full member list, CBOR
};

/// One entry of the replicated log.
struct LogEntry
{
  Term term{};
  LogIndex index{};
  EntryKind kind = EntryKind::kNoop;
  Bytes data;

  bool operator==(const LogEntry&) const = default;
};

/// Asks for a vote; with `preVote` set, asks whether a vote would be given, without changing any term.
struct VoteRequest
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
  bool preVote = false;
  bool transfer = false; ///< the leader asked for this election, so a recent heartbeat is no reason to refuse
  LogIndex lastIndex{};
  Term lastTerm{};
  ReplicaId group{}; ///< the replica that founded the sender's group
};

/// Answer to VoteRequest.
struct VoteReply
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
  bool preVote = false;
  bool granted = false;
};

/// Replicates entries; empty as a heartbeat.
struct AppendRequest
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
  LogIndex previousIndex{};
  Term previousTerm{};
  LogIndex commitIndex{};
  std::uint64_t round = 0; ///< heartbeat round, confirmed by the reply; proves leadership for reads
  ReplicaId group{};       ///< the replica that founded the sender's group
  std::vector<LogEntry> entries;
};

/// Answer to AppendRequest.
struct AppendReply
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
  bool success = false;
  LogIndex matchIndex{}; ///< on success: last index synced; on failure: last index worth trying
  std::uint64_t round = 0;
};

/// One piece of a snapshot.
struct SnapshotChunk
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
  LogIndex lastIndex{};
  Term lastTerm{};
  std::vector<Member> members;
  ReplicaId group{};        ///< the replica that founded the sender's group
  std::uint64_t offset = 0; ///< in bytes
  bool last = false;
  Bytes data;
};

/// Acknowledges snapshot bytes up to an offset.
struct SnapshotReply
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
  LogIndex lastIndex{};
  std::uint64_t nextOffset = 0; ///< in bytes
  bool installed = false;
};

/// Tells a caught-up follower to stand for election at once; sent by a leader that is shutting down.
struct TimeoutNow
{
  ReplicaId from{};
  ReplicaId to{};
  Term term{};
};

/// Asks the leader to make a replica a member. Sent by a replica that is not one, for example after it lost its disk.
struct JoinRequest
{
  ReplicaId replica{};
  InstanceId instance;
  bool founding = false; ///< the sender would found a group and asks whether the receiver is without a group, too
  ReplicaId answers{};   ///< the founding sender whose question this answers; zero: no answer
  bool grouped = false;  ///< `replica` holds entries of a group
};

RHUBARBARCH_DECLARE_FIELDS(Member)
RHUBARBARCH_DECLARE_FIELDS(LogEntry)
RHUBARBARCH_DECLARE_FIELDS(VoteRequest)
RHUBARBARCH_DECLARE_FIELDS(VoteReply)
RHUBARBARCH_DECLARE_FIELDS(AppendRequest)
RHUBARBARCH_DECLARE_FIELDS(AppendReply)
RHUBARBARCH_DECLARE_FIELDS(SnapshotChunk)
RHUBARBARCH_DECLARE_FIELDS(SnapshotReply)
RHUBARBARCH_DECLARE_FIELDS(TimeoutNow)
RHUBARBARCH_DECLARE_FIELDS(JoinRequest)

} // namespace rhubarbarch
