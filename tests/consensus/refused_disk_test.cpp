// CppUTest replaces operator new by macro, so the standard and project headers come first.
#include "rhubarbarch/consensus/log_store.h"

#include "seed.h"

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace rhubarbarch;
using namespace rhubarbarch::consensus;

namespace {

namespace fs = std::filesystem;

/// What the disk under this test program does, and what has reached it.
struct Disk
{
  bool refusesSyncs = false;
  bool refusesWrites = false;
  std::size_t writesLeft = 0;             ///< bytes that are taken before writes are refused
  std::map<ino_t, std::uintmax_t> synced; ///< size of each file at its last sync
  std::set<ino_t> folders;                ///< synced
};

Disk&
disk()
{
  static Disk sDisk;
  return sDisk;
}

struct stat
statusOf(int aDescriptor)
{
  struct stat status{};
  ::fstat(aDescriptor, &status);
  return status;
}

int
syncDescriptor(int aDescriptor, long aCall)
{
  const auto status = statusOf(aDescriptor);
  if (disk().refusesSyncs) {
    errno = EIO;
    return -1;
  }
  if (S_ISDIR(status.st_mode)) {
    disk().folders.insert(status.st_ino);
  } else {
    disk().synced[status.st_ino] = static_cast<std::uintmax_t>(status.st_size);
  }
  return static_cast<int>(::syscall(aCall, aDescriptor));
}

} // namespace

// The project's calls of these functions reach the ones below, not those of the C library.
extern "C" int
fsync(int aDescriptor)
{
  return syncDescriptor(aDescriptor, SYS_fsync);
}

extern "C" int
fdatasync(int aDescriptor)
{
  return syncDescriptor(aDescriptor, SYS_fdatasync);
}

extern "C" ssize_t
write(int aDescriptor, const void* aBytes, size_t aCount)
{
  if (disk().refusesWrites && S_ISREG(statusOf(aDescriptor).st_mode)) {
    aCount = std::min(aCount, disk().writesLeft);
    disk().writesLeft -= aCount;
    if (aCount == 0) {
      errno = ENOSPC;
      return -1;
    }
  }
  return ::syscall(SYS_write, aDescriptor, aBytes, aCount);
}

TEST_GROUP(RefusedDisk)
{
  std::mt19937_64 random{ testSeed() };
  fs::path folder;

  void setup() override
  {
    std::string pattern = (fs::temp_directory_path() / "rhubarbarch-refused-XXXXXX").string();
    CHECK(mkdtemp(pattern.data()) != nullptr);
    folder = pattern;
    disk() = {};
  }

  void teardown() override
  {
    disk() = {};
    fs::remove_all(folder);
  }

  static std::vector<StorageRecord> append(std::uint64_t aIndex)
  {
    return { EntriesRecord{ { { Term{ 1 }, LogIndex{ aIndex }, EntryKind::kCommand, { "command" } } } } };
  }

  ino_t inode(const fs::path& aPath)
  {
    struct stat status{};
    ::stat(aPath.c_str(), &status);
    return status.st_ino;
  }

  bool isDurable(const char* aFile)
  {
    const auto synced = disk().synced.find(inode(folder / aFile));
    return synced != disk().synced.end() && synced->second == fs::file_size(folder / aFile) &&
           disk().folders.contains(inode(folder));
  }
};

// Guards against acknowledging entries that no disk holds: a process that was killed between a write and its sync finds
// the entry in the log when it starts again, tells the leader that it has it, and loses it with the power.
TEST(RefusedDisk, whatAStartReadsIsDurable)
{
  {
    auto opened = LogStore::open(folder, random);
    CHECK(opened.has_value());
    CHECK(opened.value().store.write(append(1)).has_value());
    disk().refusesSyncs = true;
    CHECK(opened.value().store.write(append(2)).has_error());
  }
  disk() = {};
  const auto opened = LogStore::open(folder, random);
  CHECK(opened.has_value());
  LONGS_EQUAL(2, opened.value().state.entries.size());
  CHECK(isDurable("log"));
}

// Guards against starting from what cannot be made durable.
TEST(RefusedDisk, doesNotOpenWhatItCannotSync)
{
  CHECK(LogStore::open(folder, random).has_value());
  disk().refusesSyncs = true;
  const auto opened = LogStore::open(folder, random);
  CHECK(opened.has_error());
  CHECK(opened.error().code == ErrorCode::kIo);
}

// Guards against trusting a file whose sync was refused: the system may drop what it holds of it, and a later sync says
// nothing on that. A store that goes on after a refusal writes its log anew.
TEST(RefusedDisk, writesTheLogAnewAfterARefusal)
{
  {
    auto opened = LogStore::open(folder, random);
    CHECK(opened.value().store.write(append(1)).has_value());
    disk().refusesSyncs = true;
    CHECK(opened.value().store.write(append(2)).has_error());
  }
  const auto refused = inode(folder / "log");
  disk() = {};
  const auto opened = LogStore::recover(folder, random);
  CHECK(opened.has_value());
  CHECK(inode(folder / "log") != refused);
  CHECK(isDurable("log"));
}

// Guards against a store that opens on a full disk and refuses its first record again.
TEST(RefusedDisk, doesNotRecoverWhileTheDiskIsFull)
{
  {
    auto opened = LogStore::open(folder, random);
    CHECK(opened.value().store.write(append(1)).has_value());
  }
  disk().refusesWrites = true;
  const auto refused = LogStore::recover(folder, random);
  CHECK(refused.has_error());
  CHECK(refused.error().code == ErrorCode::kIo);
  disk() = {};
  LONGS_EQUAL(1, LogStore::recover(folder, random).value().state.entries.size());
}

// Guards against a write that a full disk cut off anywhere, in the log, in a snapshot or in a file that replaces
// another one, losing what was written before it.
TEST(RefusedDisk, keepsWhatWasWrittenWhereverADiskFillsUp)
{
  const std::vector<StorageRecord> snapshot{ SnapshotRecord{ LogIndex{ 1 }, Term{ 1 }, {}, "state", {} } };
  for (std::size_t room = 0; room < 200; ++room) {
    {
      auto opened = LogStore::open(folder, random);
      CHECK(opened.value().store.write(append(1)).has_value());
      CHECK(opened.value().store.write(append(2)).has_value());
      disk().refusesWrites = true;
      disk().writesLeft = room;
      static_cast<void>(opened.value().store.write(snapshot));
      static_cast<void>(opened.value().store.write(append(3)));
    }
    static_cast<void>(LogStore::recover(folder, random));
    disk() = {};
    const auto opened = LogStore::recover(folder, random);
    CHECK(opened.has_value());
    const auto& state = opened.value().state;
    const auto base = state.snapshot ? toNumber(state.snapshot->lastIndex) : 0;
    CHECK_COMPARE(base + state.entries.size(), >=, 2U);
    fs::remove_all(folder);
  }
}
