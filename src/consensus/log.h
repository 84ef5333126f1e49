#pragma once

#include "rhubarbarch/consensus/storage.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbarch::consensus {

/// Entries that a replica keeps in memory before its snapshot, so that a follower that is slightly behind is served
/// entries instead of the whole snapshot.
inline constexpr std::size_t kTrailingEntries = 1024;

/// The index `aCount` after `aIndex`.
constexpr LogIndex
advance(LogIndex aIndex, std::uint64_t aCount) noexcept
{
  return static_cast<LogIndex>(toNumber(aIndex) + aCount);
}

/// The index before `aIndex`, which must not be zero.
constexpr LogIndex
previous(LogIndex aIndex) noexcept
{
  return static_cast<LogIndex>(toNumber(aIndex) - 1);
}

/// Members as of an index.
struct Configuration
{
  LogIndex index{};
  std::vector<Member> members;
};

/// The log in memory: a snapshot, entries from shortly before it to the end, and the member lists in force along them.
struct Log
{
  std::shared_ptr<const SnapshotRecord> snapshot; ///< null: none taken
  LogIndex baseIndex{};                           ///< the entry before the first of `entries`
  Term baseTerm{};
  std::deque<LogEntry> entries;
  std::vector<Configuration> configurations; ///< ascending; the last one is in force
  ReplicaId group{}; ///< the replica that founded the group: the first member of the first entry
};

/// Encodes a member list as the data of a kMembership entry.
std::string
encodeMembers(const std::vector<Member>& aMembers);

/// Decodes a member list. Stored and received entries have been checksummed, so malformed data aborts.
std::vector<Member>
decodeMembers(const std::string& aData);

Log
makeLog(const StoredState& aStored);

LogIndex
lastIndex(const Log& aLog) noexcept;

Term
lastTerm(const Log& aLog) noexcept;

/// @return last index of the snapshot; zero without one
LogIndex
snapshotIndex(const Log& aLog) noexcept;

/// @return true when the log has never held an entry
bool
blank(const Log& aLog) noexcept;

/// @return the term of an entry; nothing when it is beyond the end or no longer kept
std::optional<Term>
termAt(const Log& aLog, LogIndex aIndex) noexcept;

/// @return an entry that is kept
const LogEntry&
entryAt(const Log& aLog, LogIndex aIndex);

/// @return the members in force at the end of the log
const std::vector<Member>&
currentMembers(const Log& aLog) noexcept;

/// @return the index of the entry that set the current members
LogIndex
configurationIndex(const Log& aLog) noexcept;

/// @return the members in force at an index
const std::vector<Member>&
membersAt(const Log& aLog, LogIndex aIndex) noexcept;

void
appendEntry(Log& aLog, LogEntry aEntry);

/// Drops an entry and all after it.
void
truncateFrom(Log& aLog, LogIndex aIndex);

/// @return entries from an index on, bounded by number and bytes, at least one if there is any
std::vector<LogEntry>
entriesFrom(const Log& aLog, LogIndex aIndex, std::size_t aMaxEntries, std::size_t aMaxBytes);

/// Takes a snapshot of the log's own prefix.
void
compactLog(Log& aLog, std::shared_ptr<const SnapshotRecord> aSnapshot);

/// Takes a snapshot of the leader: entries after it are kept only if the log agrees with its last entry.
void
installSnapshot(Log& aLog, std::shared_ptr<const SnapshotRecord> aSnapshot);

} // namespace rhubarbarch::consensus
