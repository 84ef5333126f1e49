#include "log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

// Entries before the snapshot that hold more than this together are dropped, however few they are: they may be
// documents of hundreds of kilobytes, and a follower that is behind gets the snapshot instead.
constexpr std::size_t kMaxTrailingBytes = std::size_t{ 2 } * 1024 * 1024;

const std::vector<Member> kNoMembers;

void
noteConfiguration(Log& aLog, const LogEntry& aEntry)
{
  if (aEntry.kind == EntryKind::kMembership) {
    aLog.configurations.push_back({ aEntry.index, decodeMembers(aEntry.data.data) });
    if (aEntry.index == LogIndex{ 1 }) {
      aLog.group = currentMembers(aLog).front().replica;
    }
  }
}

/// Bytes of the entries up to the snapshot.
std::size_t
trailingBytes(const Log& aLog)
{
  std::size_t bytes = 0;
  for (const auto& entry : aLog.entries) {
    bytes += entry.index <= snapshotIndex(aLog) ? entry.data.data.size() : 0;
  }
  return bytes;
}

/// Drops entries before the trailing ones that precede the snapshot.
void
dropPrefix(Log& aLog)
{
  const auto keepAfter =
    toNumber(snapshotIndex(aLog)) - std::min<std::uint64_t>(toNumber(snapshotIndex(aLog)), kTrailingEntries);
  auto bytes = trailingBytes(aLog);
  while (!aLog.entries.empty() && aLog.entries.front().index <= snapshotIndex(aLog) &&
         (toNumber(aLog.entries.front().index) <= keepAfter || bytes > kMaxTrailingBytes)) {
    bytes -= aLog.entries.front().data.data.size();
    aLog.baseIndex = aLog.entries.front().index;
    aLog.baseTerm = aLog.entries.front().term;
    aLog.entries.pop_front();
  }
}

/// Replaces the configurations up to the snapshot by that of the snapshot.
void
dropConfigurations(Log& aLog)
{
  const auto later = std::ranges::find_if(
    aLog.configurations, [&aLog](const auto& aEach) { return aEach.index > aLog.snapshot->lastIndex; });
  aLog.configurations.erase(aLog.configurations.begin(), later);
  aLog.configurations.insert(aLog.configurations.begin(), { aLog.snapshot->lastIndex, aLog.snapshot->members });
}

} // namespace

std::string
encodeMembers(const std::vector<Member>& aMembers)
{
  std::string data;
  nlohmann::json::to_cbor(nlohmann::json(aMembers), data);
  return data;
}

std::vector<Member>
decodeMembers(const std::string& aData)
{
  return nlohmann::json::from_cbor(aData).get<std::vector<Member>>();
}

Log
makeLog(StoredState aStored)
{
  Log log;
  if (aStored.snapshot) {
    log.snapshot = std::make_shared<const SnapshotRecord>(std::move(*aStored.snapshot));
    log.baseIndex = log.snapshot->lastIndex;
    log.baseTerm = log.snapshot->lastTerm;
    log.configurations.push_back({ log.snapshot->lastIndex, log.snapshot->members });
    log.group = log.snapshot->group;
  }
  std::ranges::for_each(aStored.entries, [&log](auto& aEntry) { appendEntry(log, std::move(aEntry)); });
  return log;
}

LogIndex
lastIndex(const Log& aLog) noexcept
{
  return aLog.entries.empty() ? aLog.baseIndex : aLog.entries.back().index;
}

Term
lastTerm(const Log& aLog) noexcept
{
  return aLog.entries.empty() ? aLog.baseTerm : aLog.entries.back().term;
}

LogIndex
snapshotIndex(const Log& aLog) noexcept
{
  return aLog.snapshot ? aLog.snapshot->lastIndex : LogIndex{};
}

bool
blank(const Log& aLog) noexcept
{
  return lastIndex(aLog) == LogIndex{};
}

std::optional<Term>
termAt(const Log& aLog, LogIndex aIndex) noexcept
{
  if (aIndex == aLog.baseIndex) {
    return aLog.baseTerm;
  }
  if (aIndex < aLog.baseIndex || aIndex > lastIndex(aLog)) {
    return std::nullopt;
  }
  return entryAt(aLog, aIndex).term;
}

const LogEntry&
entryAt(const Log& aLog, LogIndex aIndex)
{
  return aLog.entries[toNumber(aIndex) - toNumber(aLog.baseIndex) - 1];
}

const std::vector<Member>&
currentMembers(const Log& aLog) noexcept
{
  return aLog.configurations.empty() ? kNoMembers : aLog.configurations.back().members;
}

LogIndex
configurationIndex(const Log& aLog) noexcept
{
  return aLog.configurations.empty() ? LogIndex{} : aLog.configurations.back().index;
}

const std::vector<Member>&
membersAt(const Log& aLog, LogIndex aIndex) noexcept
{
  const auto later =
    std::ranges::find_if(aLog.configurations, [aIndex](const auto& aEach) { return aEach.index > aIndex; });
  return later == aLog.configurations.begin() ? kNoMembers : std::prev(later)->members;
}

void
appendEntry(Log& aLog, LogEntry aEntry)
{
  noteConfiguration(aLog, aEntry);
  aLog.entries.push_back(std::move(aEntry));
}

void
truncateFrom(Log& aLog, LogIndex aIndex)
{
  while (!aLog.entries.empty() && aLog.entries.back().index >= aIndex) {
    aLog.entries.pop_back();
  }
  std::erase_if(aLog.configurations, [aIndex](const auto& aEach) { return aEach.index >= aIndex; });
}

std::vector<LogEntry>
entriesFrom(const Log& aLog, LogIndex aIndex, std::size_t aMaxEntries, std::size_t aMaxBytes)
{
  std::vector<LogEntry> result;
  std::size_t bytes = 0;
  for (auto index = aIndex; index <= lastIndex(aLog) && result.size() < aMaxEntries; index = next(index)) {
    const auto& entry = entryAt(aLog, index);
    bytes += entry.data.data.size();
    if (!result.empty() && bytes > aMaxBytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

void
compactLog(Log& aLog, std::shared_ptr<const SnapshotRecord> aSnapshot)
{
  aLog.snapshot = std::move(aSnapshot);
  dropConfigurations(aLog);
  dropPrefix(aLog);
}

void
installSnapshot(Log& aLog, std::shared_ptr<const SnapshotRecord> aSnapshot)
{
  if (termAt(aLog, aSnapshot->lastIndex) == aSnapshot->lastTerm) {
    compactLog(aLog, std::move(aSnapshot));
    return;
  }
  aLog.snapshot = std::move(aSnapshot);
  aLog.group = aLog.snapshot->group;
  aLog.entries.clear();
  aLog.configurations.clear();
  aLog.baseIndex = aLog.snapshot->lastIndex;
  aLog.baseTerm = aLog.snapshot->lastTerm;
  dropConfigurations(aLog);
}

} // namespace rhubarbarch::consensus
