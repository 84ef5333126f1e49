#pragma once

#include "rhubarbarch/wire/consensus_messages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbarch::consensus {

/// What a replica must remember besides its log.
struct HardState
{
  Term term{};
  ReplicaId votedFor{}; ///< zero: none in this term
  ReplicaId founder{};  ///< a replica without entries joins only the group that this one founds; zero: any

  bool operator==(const HardState&) const = default;
};

/// Entries to append. Entries stored before at or after the first index are dropped first.
struct EntriesRecord
{
  std::vector<LogEntry> entries;
};

/// State up to an index. Entries up to it may be dropped.
struct SnapshotRecord
{
  LogIndex lastIndex{};
  Term lastTerm{};
  std::vector<Member> members;
  std::string state; ///< encoded replicated state
  ReplicaId group{}; ///< the replica that founded the group
};

/// One write to the data folder.
using StorageRecord = std::variant<HardState, EntriesRecord, SnapshotRecord>;

/// Everything that the data folder held at start.
struct StoredState
{
  ReplicaId replica{}; ///< identity of this disk, drawn when the data folder is created
  bool fresh = true;   ///< the data folder was empty
  HardState hardState;
  std::optional<SnapshotRecord> snapshot;
  std::vector<LogEntry> entries; ///< those after the snapshot
};

} // namespace rhubarbarch::consensus
