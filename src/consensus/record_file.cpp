#include "record_file.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

using boost::outcome_v2::success;

/// Marks the start of a frame, so that valid frames after a damaged one are found.
constexpr std::string_view kMarker = "RBF1";
constexpr std::size_t kHeaderBytes = 12; ///< marker, length, checksum
constexpr mode_t kFileMode = 0600;       ///< the log holds key hashes

auto
ioFailure(const std::filesystem::path& aPath)
{
  return failure(ErrorCode::kIo, aPath.string() + ": " + std::system_category().message(errno));
}

std::string
encodeNumber(std::uint32_t aNumber)
{
  std::array<unsigned char, sizeof(aNumber)> bytes{};
  boost::endian::store_little_u32(bytes.data(), aNumber);
  return { bytes.begin(), bytes.end() };
}

std::uint32_t
decodeNumber(std::string_view aBytes, std::size_t aOffset)
{
  std::array<unsigned char, sizeof(std::uint32_t)> bytes{};
  std::memcpy(bytes.data(), aBytes.data() + aOffset, bytes.size());
  return boost::endian::load_little_u32(bytes.data());
}

std::uint32_t
checksum(std::string_view aPayload)
{
  boost::crc_32_type crc;
  crc.process_bytes(aPayload.data(), aPayload.size());
  return crc.checksum();
}

/// @return the payload of the frame at an offset; nothing when it is incomplete or damaged
std::optional<std::string_view>
frameAt(std::string_view aBytes, std::size_t aOffset)
{
  const auto rest = aBytes.substr(aOffset);
  if (rest.size() < kHeaderBytes || !rest.starts_with(kMarker)) {
    return std::nullopt;
  }
  const std::size_t length = decodeNumber(rest, kMarker.size());
  if (rest.size() - kHeaderBytes < length) {
    return std::nullopt;
  }
  const auto payload = rest.substr(kHeaderBytes, length);
  const bool intact = checksum(payload) == decodeNumber(rest, kMarker.size() + sizeof(std::uint32_t));
  return intact ? std::optional(payload) : std::nullopt;
}

bool
validFrameAfter(std::string_view aBytes, std::size_t aOffset)
{
  auto at = aBytes.find(kMarker, aOffset);
  while (at != std::string_view::npos && !frameAt(aBytes, at)) {
    at = aBytes.find(kMarker, at + 1);
  }
  return at != std::string_view::npos;
}

Result<void>
writeAll(const FileDescriptor& aFile, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto written = ::write(aFile.number(), aBytes.data(), aBytes.size());
    if (written < 0 && errno != EINTR) {
      return ioFailure("write");
    }
    aBytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
  }
  return success();
}

} // namespace

FileDescriptor::~FileDescriptor()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
  }
}

FileDescriptor::FileDescriptor(FileDescriptor&& aOther) noexcept
  : mDescriptor(std::exchange(aOther.mDescriptor, -1))
{
}

FileDescriptor&
FileDescriptor::operator=(FileDescriptor&& aOther) noexcept
{
  std::swap(mDescriptor, aOther.mDescriptor);
  return *this;
}

std::string
frame(std::string_view aPayload)
{
  std::string bytes(kMarker);
  bytes += encodeNumber(static_cast<std::uint32_t>(aPayload.size()));
  bytes += encodeNumber(checksum(aPayload));
  bytes += aPayload;
  return bytes;
}

Result<ScannedFrames>
scanFrames(std::string_view aBytes)
{
  ScannedFrames scanned;
  while (scanned.validBytes < aBytes.size()) {
    const auto payload = frameAt(aBytes, scanned.validBytes);
    if (!payload && validFrameAfter(aBytes, scanned.validBytes)) {
      return failure(ErrorCode::kCorrupt, "damaged record at offset " + std::to_string(scanned.validBytes));
    }
    if (!payload) {
      break;
    }
    scanned.payloads.push_back(*payload);
    scanned.validBytes += kHeaderBytes + payload->size();
  }
  return scanned;
}

Result<std::string>
readFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string bytes{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  if (!file.is_open() || file.bad()) {
    return failure(ErrorCode::kIo, aPath.string() + ": cannot be read");
  }
  return bytes;
}

Result<void>
replaceFile(const std::filesystem::path& aPath, std::string_view aBytes)
{
  auto temporary = aPath;
  temporary += ".tmp";
  const FileDescriptor file(::open(temporary.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, kFileMode));
  if (file.number() < 0) {
    return ioFailure(temporary);
  }
  BOOST_OUTCOME_TRYV(appendAndSync(file, aBytes));
  if (::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return ioFailure(aPath);
  }
  return syncFolder(aPath.parent_path());
}

Result<void>
syncFile(const std::filesystem::path& aPath)
{
  BOOST_OUTCOME_TRY(file, openForAppend(aPath));
  return ::fsync(file.number()) == 0 ? Result<void>(success()) : Result<void>(ioFailure(aPath));
}

Result<void>
syncFolder(const std::filesystem::path& aFolder)
{
  const FileDescriptor folder(::open(aFolder.empty() ? "." : aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.number() < 0 || ::fsync(folder.number()) != 0) {
    return ioFailure(aFolder);
  }
  return success();
}

Result<FileDescriptor>
openForAppend(const std::filesystem::path& aPath)
{
  FileDescriptor file(::open(aPath.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  if (file.number() < 0) {
    return ioFailure(aPath);
  }
  return file;
}

Result<void>
appendAndSync(const FileDescriptor& aFile, std::string_view aBytes)
{
  BOOST_OUTCOME_TRYV(writeAll(aFile, aBytes));
  if (::fdatasync(aFile.number()) != 0) {
    return ioFailure("sync");
  }
  return success();
}

Result<void>
truncateAndSync(const FileDescriptor& aFile, std::size_t aBytes)
{
  if (::ftruncate(aFile.number(), static_cast<off_t>(aBytes)) != 0 || ::fsync(aFile.number()) != 0) {
    return ioFailure("truncate");
  }
  return success();
}

Result<FileDescriptor>
lockFolder(const std::filesystem::path& aFolder)
{
  const auto path = aFolder / "lock";
  FileDescriptor file(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, kFileMode));
  if (file.number() < 0 || ::flock(file.number(), LOCK_EX | LOCK_NB) != 0) {
    return ioFailure(path);
  }
  return file;
}

} // namespace rhubarbarch::consensus
