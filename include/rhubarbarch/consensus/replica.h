#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/base/time.h"
#include "rhubarbarch/consensus/storage.h"
#include "rhubarbarch/wire/message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rhubarbarch::consensus {

/// Settings of a replica.
struct ReplicaOptions
{
  InstanceId instance;
  std::vector<InstanceId> controllers; ///< all controllers named in the settings, this one included
  bool bootstrap = false; ///< found a new group when the data folder is fresh; set once, when the fleet is founded
  /// Instances that `controllers` does not name may join, and a new one takes the place of a voter that stays silent.
  /// `controllers` then only holds the first contacts, and the founders when the group is founded.
  bool openMembership = false;
  std::size_t lossesTolerated = 1; ///< instances that may lose their disks at the same time
  Duration heartbeat{ 100 };
  Duration electionTimeout{ 600 }; ///< a random part of up to the same length is added
  std::size_t maxEntriesPerAppend = 256;
  std::size_t snapshotChunkBytes = std::size_t{ 256 } * 1024;
};

/// A message to the controller role of another instance.
struct Outgoing
{
  InstanceId to;
  Message message;
};

/// What a step of the replica asks for, in the order of the members.
struct Output
{
  std::vector<StorageRecord> records;     ///< write and sync these before `messages` are sent
  std::optional<SnapshotRecord> restored; ///< replace the replicated state by this before `committed`
  std::vector<LogEntry> committed;        ///< commands to apply, in order
  std::vector<std::uint64_t> readsReady;  ///< reads confirmed by a quorum; answer them from the state after `committed`
  std::vector<std::uint64_t> readsFailed; ///< reads whose leadership was lost
  std::vector<Outgoing> messages;
};

/// How far a member has come, as this replica knows.
struct MemberProgress
{
  Member member;
  LogIndex matchIndex{}; ///< last index known to be synced there; only on the leader
  Duration silent{ 0 };  ///< since its last reply; only on the leader
  bool takesSnapshot = false;
};

/// One member of the replicated log: a deterministic state machine without clock, disk or socket.
///
/// Usage: call start() once, then handle() for each consensus message and tick() every kTickPeriod; do what each Output
/// asks for.
class Replica
{
public:
  /// @param aOptions settings
  /// @param aStored what the data folder held
  /// @param aRandom generator for election timeouts
  Replica(ReplicaOptions aOptions, StoredState aStored, std::mt19937_64 aRandom);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Restores the stored snapshot; entries after it are applied once they are known to be committed.
  Output start(TimePoint aNow);

  /// Handles a consensus message; other message types are ignored.
  /// @param aFrom the sending instance
  Output handle(const InstanceId& aFrom, const Message& aMessage, TimePoint aNow);

  /// Advances timers.
  Output tick(TimePoint aNow);

  /// Appends a command on the leader.
  /// @param aCommand encoded command
  /// @param aOutput receives what the step asks for
  /// @return the index the command will have if it is committed; kNotLeader otherwise
  Result<LogIndex> propose(std::string aCommand, TimePoint aNow, Output& aOutput);

  /// Asks for a quorum-confirmed read on the leader; its id appears in `readsReady` or `readsFailed` of a later Output.
  Result<void> requestRead(std::uint64_t aRead, TimePoint aNow, Output& aOutput);

  /// Replaces the log up to the last applied index by a snapshot.
  Output compact(std::string aState);

  /// Hands leadership to the follower that has caught up furthest. No effect on a follower.
  Output transferLeadership(TimePoint aNow);

  /// Replaces the instances that are asked first by a replica without a group or leader.
  void setContacts(std::vector<InstanceId> aControllers);

  bool isLeader() const noexcept;
  /// Last known leader; empty when unknown.
  InstanceId leader() const;
  Term term() const noexcept;
  ReplicaId id() const noexcept;
  LogIndex appliedIndex() const noexcept;
  LogIndex lastIndex() const noexcept;
  /// Number of entries kept after the snapshot.
  std::size_t logLength() const noexcept;
  /// Bytes of the commands that are kept in memory.
  std::size_t logBytes() const noexcept;
  /// Bytes of the last snapshot, which is kept in memory.
  std::size_t snapshotBytes() const noexcept;
  /// Index of the entry that holds the members in force.
  LogIndex membershipIndex() const noexcept;
  std::vector<Member> members() const;
  /// All members with what the leader knows of them; on others only who they are.
  std::vector<MemberProgress> progress(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace rhubarbarch::consensus
