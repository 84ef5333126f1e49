#pragma once

#include "rhubarbarch/base/error.h"

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbarch::consensus {

/// Closes a file when it goes out of scope.
class FileDescriptor
{
public:
  explicit FileDescriptor(int aDescriptor = -1) noexcept
    : mDescriptor(aDescriptor)
  {
  }
  ~FileDescriptor();
  FileDescriptor(FileDescriptor&& aOther) noexcept;
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int number() const noexcept { return mDescriptor; }

private:
  int mDescriptor;
};

/// A payload with marker, length and checksum in front.
std::string
frame(std::string_view aPayload);

/// The frames at the start of a file.
struct ScannedFrames
{
  std::vector<std::string_view> payloads; ///< into the scanned bytes
  std::size_t validBytes = 0;             ///< length of all whole frames; the rest is a torn write
};

/// Splits the bytes of a file into frames. A write that was cut off leaves a bad frame with nothing valid after it,
/// because each write is one frame and is synced before the next one.
/// @return the whole frames; kCorrupt when a valid frame follows a bad one
Result<ScannedFrames>
scanFrames(std::string_view aBytes);

Result<std::string>
readFile(const std::filesystem::path& aPath);

/// Replaces a file as a whole and syncs it and its folder. After a crash either the old or the new content is there.
Result<void>
replaceFile(const std::filesystem::path& aPath, std::string_view aBytes);

/// Syncs a file that was written before.
Result<void>
syncFile(const std::filesystem::path& aPath);

/// Syncs the names in a folder.
Result<void>
syncFolder(const std::filesystem::path& aFolder);

/// Opens an existing file to append.
Result<FileDescriptor>
openForAppend(const std::filesystem::path& aPath);

/// Appends bytes and syncs them.
Result<void>
appendAndSync(const FileDescriptor& aFile, std::string_view aBytes);

/// Cuts a file off at a length and syncs it.
Result<void>
truncateAndSync(const FileDescriptor& aFile, std::size_t aBytes);

/// Takes the lock of a data folder for the life of the descriptor, so that no two processes write to it.
/// @return kIo when another process has it
Result<FileDescriptor>
lockFolder(const std::filesystem::path& aFolder);

} // namespace rhubarbarch::consensus
