#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/consensus/storage.h"

#include <filesystem>
#include <memory>
#include <random>
#include <span>

namespace rhubarbarch::consensus {

/// Applies a record to the stored state in memory, with the meaning that the data folder gives it. A snapshot keeps
/// the entries after it only if the entry at its last index has its term.
/// @param aState stored state, changed in place
/// @param aRecord the record
void
applyRecord(StoredState& aState, const StorageRecord& aRecord);

/// The data folder of a replica: its identity, its snapshot and its log, each checksummed.
///
/// Usage: `auto opened = LogStore::open(folder, random); opened.value().store.write(output.records);`.
class LogStore
{
public:
  struct Opened;

  /// Opens a data folder; creates the folder and draws a replica identity when it is absent or empty. A torn last
  /// record is cut off, and all that is read is synced: a process that was killed may have written it and not synced
  /// it.
  /// @param aFolder the data folder; one process at a time
  /// @param aRandom generator for the identity
  /// @return the store and what it holds; kCorrupt when a checksum before the last record is wrong; kIo when the
  /// folder cannot be read, written or is in use
  static Result<Opened> open(const std::filesystem::path& aFolder, std::mt19937_64& aRandom);

  /// Opens a data folder whose store has refused a write or sync, in the same process. What the system holds of the log
  /// may not be on the disk, so the log is written anew; that also shows that the disk takes writes again.
  /// @return as open()
  static Result<Opened> recover(const std::filesystem::path& aFolder, std::mt19937_64& aRandom);

  ~LogStore();
  LogStore(LogStore&&) noexcept;
  LogStore& operator=(LogStore&&) noexcept;
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Writes records and syncs them before it returns. After a failure every later call fails, because the state of a
  /// file after a failed sync is not known.
  /// @param aRecords records in order; none: no effect
  /// @return kIo when the operating system refuses
  Result<void> write(std::span<const StorageRecord> aRecords);

private:
  struct Files;
  explicit LogStore(std::unique_ptr<Files> aFiles);
  static Result<Opened> openFolder(const std::filesystem::path& aFolder, std::mt19937_64& aRandom);
  std::unique_ptr<Files> mFiles;
};

/// An opened data folder.
struct LogStore::Opened
{
  LogStore store;
  StoredState state;
};

} // namespace rhubarbarch::consensus
