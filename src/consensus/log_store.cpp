#include "rhubarbarch/consensus/log_store.h"

#include "record_codec.h"
#include "record_file.h"

#include <algorithm>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace rhubarbarch::consensus {

namespace {

namespace fs = std::filesystem;
using boost::outcome_v2::success;

fs::path
identityPath(const fs::path& aFolder)
{
  return aFolder / "identity";
}

fs::path
snapshotPath(const fs::path& aFolder)
{
  return aFolder / "snapshot";
}

fs::path
logPath(const fs::path& aFolder)
{
  return aFolder / "log";
}

auto
corrupt(const fs::path& aPath, const std::string& aDetail)
{
  return failure(ErrorCode::kCorrupt, aPath.string() + ": " + aDetail);
}

bool
fileExists(const fs::path& aPath)
{
  std::error_code ignored;
  return fs::exists(aPath, ignored);
}

Result<void>
createFolder(const fs::path& aFolder)
{
  std::error_code error;
  const bool created = fs::create_directories(aFolder, error);
  if (error) {
    return failure(ErrorCode::kIo, aFolder.string() + ": " + error.message());
  }
  return created ? syncFolder(fs::absolute(aFolder).parent_path()) : Result<void>(success());
}

/// The payload of a file that is always replaced as a whole.
Result<std::string>
readSingleFrame(const fs::path& aPath)
{
  BOOST_OUTCOME_TRY(bytes, readFile(aPath));
  const auto scanned = scanFrames(bytes);
  if (!scanned || scanned.value().payloads.size() != 1 || scanned.value().validBytes != bytes.size()) {
    return corrupt(aPath, "wrong checksum");
  }
  return std::string(scanned.value().payloads.front());
}

Result<ReplicaId>
openIdentity(const fs::path& aFolder, std::mt19937_64& aRandom)
{
  const auto path = identityPath(aFolder);
  if (fileExists(path)) {
    BOOST_OUTCOME_TRY(payload, readSingleFrame(path));
    return decodeIdentity(payload);
  }
  if (fileExists(snapshotPath(aFolder)) || fileExists(logPath(aFolder))) {
    return corrupt(path, "missing beside a log");
  }
  // Zero means "none".
  const ReplicaId replica{ std::uniform_int_distribution<std::uint64_t>(1)(aRandom) };
  BOOST_OUTCOME_TRYV(replaceFile(path, frame(encodeIdentity(replica))));
  return replica;
}

Result<std::optional<SnapshotRecord>>
openSnapshot(const fs::path& aFolder)
{
  const auto path = snapshotPath(aFolder);
  if (!fileExists(path)) {
    return std::nullopt;
  }
  BOOST_OUTCOME_TRY(payload, readSingleFrame(path));
  BOOST_OUTCOME_TRY(records, decodeRecords(payload));
  auto* snapshot = records.size() == 1 ? std::get_if<SnapshotRecord>(&records.front()) : nullptr;
  if (snapshot == nullptr) {
    return corrupt(path, "holds no snapshot");
  }
  return std::optional(std::move(*snapshot));
}

/// What a log file holds.
struct ReadLog
{
  LogHeader header;
  StoredState state; ///< without snapshot
  std::size_t validBytes = 0;
  bool torn = false;
};

bool
contiguous(const ReadLog& aLog)
{
  auto expected = aLog.header.baseIndex;
  return std::ranges::all_of(aLog.state.entries, [&expected](const auto& aEntry) {
    expected = next(expected);
    return aEntry.index == expected;
  });
}

Result<ReadLog>
readLog(const fs::path& aPath)
{
  BOOST_OUTCOME_TRY(bytes, readFile(aPath));
  auto scanned = scanFrames(bytes);
  if (!scanned) {
    return corrupt(aPath, scanned.error().detail);
  }
  const auto& payloads = scanned.value().payloads;
  if (payloads.empty()) {
    return corrupt(aPath, "damaged header"); // it is in place before the file gets its name
  }
  ReadLog log;
  BOOST_OUTCOME_TRY(header, decodeHeader(payloads.front()));
  log.header = header;
  for (auto payload = payloads.begin() + 1; payload != payloads.end(); ++payload) {
    BOOST_OUTCOME_TRY(records, decodeRecords(*payload));
    std::ranges::for_each(records, [&log](const auto& aRecord) { applyRecord(log.state, aRecord); });
  }
  if (!contiguous(log)) {
    return corrupt(aPath, "entries are missing");
  }
  log.validBytes = scanned.value().validBytes;
  log.torn = log.validBytes != bytes.size();
  return log;
}

LogHeader
headerOf(const std::optional<SnapshotRecord>& aSnapshot)
{
  return aSnapshot ? LogHeader{ aSnapshot->lastIndex, aSnapshot->lastTerm } : LogHeader{};
}

/// Writes a log file that follows the snapshot of a state.
Result<void>
rewriteLog(const fs::path& aFolder, const StoredState& aState)
{
  const std::vector<StorageRecord> records{ aState.hardState, EntriesRecord{ aState.entries } };
  return replaceFile(logPath(aFolder), frame(encodeHeader(headerOf(aState.snapshot))) + frame(encodeRecords(records)));
}

Result<StoredState>
openLog(const fs::path& aFolder, std::optional<SnapshotRecord> aSnapshot)
{
  const auto path = logPath(aFolder);
  StoredState state;
  if (!fileExists(path)) {
    if (aSnapshot) {
      return corrupt(path, "missing beside a snapshot");
    }
    BOOST_OUTCOME_TRYV(rewriteLog(aFolder, state));
    return state;
  }
  BOOST_OUTCOME_TRY(log, readLog(path));
  if (log.torn) {
    BOOST_OUTCOME_TRY(file, openForAppend(path));
    BOOST_OUTCOME_TRYV(truncateAndSync(file, log.validBytes));
  }
  state = std::move(log.state);
  const auto header = headerOf(aSnapshot);
  if (log.header.baseIndex > header.baseIndex) {
    return corrupt(path, "follows a snapshot that is missing");
  }
  if (log.header == header) {
    state.snapshot = std::move(aSnapshot);
  } else if (aSnapshot) {
    // The process ended between replacing the snapshot and compacting the log.
    applyRecord(state, *aSnapshot);
    BOOST_OUTCOME_TRYV(rewriteLog(aFolder, state));
  }
  return state;
}

bool
isSnapshot(const StorageRecord& aRecord)
{
  return std::holds_alternative<SnapshotRecord>(aRecord);
}

} // namespace

struct LogStore::Files
{
  fs::path folder;
  FileDescriptor lock;
  FileDescriptor log;
  bool failed = false;

  Result<void> append(std::span<const StorageRecord> aRecords) const
  {
    if (aRecords.empty()) {
      return success();
    }
    return appendAndSync(log, frame(encodeRecords(aRecords)));
  }

  /// Replaces the snapshot, then the log: in the other order a crash in between would lose entries.
  Result<void> replaceSnapshot(const StorageRecord& aSnapshot)
  {
    BOOST_OUTCOME_TRYV(replaceFile(snapshotPath(folder), frame(encodeRecords({ &aSnapshot, 1 }))));
    BOOST_OUTCOME_TRY(current, readLog(logPath(folder)));
    applyRecord(current.state, aSnapshot);
    BOOST_OUTCOME_TRYV(rewriteLog(folder, current.state));
    BOOST_OUTCOME_TRY(file, openForAppend(logPath(folder)));
    log = std::move(file);
    return success();
  }

  Result<void> write(std::span<const StorageRecord> aRecords)
  {
    while (!aRecords.empty()) {
      const auto snapshot = std::ranges::find_if(aRecords, isSnapshot);
      const auto before = static_cast<std::size_t>(snapshot - aRecords.begin());
      BOOST_OUTCOME_TRYV(append(aRecords.first(before)));
      if (snapshot == aRecords.end()) {
        break;
      }
      BOOST_OUTCOME_TRYV(replaceSnapshot(*snapshot));
      aRecords = aRecords.subspan(before + 1);
    }
    return success();
  }
};

LogStore::LogStore(std::unique_ptr<Files> aFiles)
  : mFiles(std::move(aFiles))
{
}

LogStore::~LogStore() = default;
LogStore::LogStore(LogStore&&) noexcept = default;
LogStore&
LogStore::operator=(LogStore&&) noexcept = default;

Result<LogStore::Opened>
LogStore::open(const std::filesystem::path& aFolder, std::mt19937_64& aRandom)
{
  BOOST_OUTCOME_TRY(opened, openFolder(aFolder, aRandom));
  BOOST_OUTCOME_TRYV(syncFile(logPath(aFolder)));
  BOOST_OUTCOME_TRYV(syncFolder(aFolder));
  return std::move(opened);
}

Result<LogStore::Opened>
LogStore::recover(const std::filesystem::path& aFolder, std::mt19937_64& aRandom)
{
  BOOST_OUTCOME_TRY(opened, openFolder(aFolder, aRandom));
  BOOST_OUTCOME_TRYV(rewriteLog(aFolder, opened.state));
  BOOST_OUTCOME_TRY(log, openForAppend(logPath(aFolder)));
  opened.store.mFiles->log = std::move(log);
  return std::move(opened);
}

Result<LogStore::Opened>
LogStore::openFolder(const std::filesystem::path& aFolder, std::mt19937_64& aRandom)
{
  auto files = std::make_unique<Files>();
  files->folder = aFolder;
  BOOST_OUTCOME_TRYV(createFolder(aFolder));
  BOOST_OUTCOME_TRY(lock, lockFolder(aFolder));
  files->lock = std::move(lock);
  BOOST_OUTCOME_TRY(replica, openIdentity(aFolder, aRandom));
  BOOST_OUTCOME_TRY(snapshot, openSnapshot(aFolder));
  BOOST_OUTCOME_TRY(state, openLog(aFolder, std::move(snapshot)));
  BOOST_OUTCOME_TRY(log, openForAppend(logPath(aFolder)));
  files->log = std::move(log);
  state.replica = replica;
  state.fresh = !state.snapshot && state.entries.empty() && state.hardState == HardState{};
  return Opened{ LogStore(std::move(files)), std::move(state) };
}

Result<void>
LogStore::write(std::span<const StorageRecord> aRecords)
{
  if (mFiles->failed) {
    return failure(ErrorCode::kIo, mFiles->folder.string() + ": an earlier write failed");
  }
  auto written = mFiles->write(aRecords);
  mFiles->failed = !written;
  return written;
}

} // namespace rhubarbarch::consensus
