#include "record_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbarch::consensus {

namespace {

using nlohmann::json;

// Names of the kinds of records in a file. They must not change.
constexpr auto kHardState = "hard";
constexpr auto kEntries = "entries";
constexpr auto kSnapshot = "snapshot";

struct Encoder
{
  json operator()(const HardState& aHardState) const
  {
    return { { "kind", kHardState },
             { "term", aHardState.term },
             { "votedFor", aHardState.votedFor },
             { "founder", aHardState.founder } };
  }

  json operator()(const EntriesRecord& aRecord) const
  {
    return { { "kind", kEntries }, { "entries", aRecord.entries } };
  }

  json operator()(const SnapshotRecord& aRecord) const
  {
    return { { "kind", kSnapshot },          { "lastIndex", aRecord.lastIndex },  { "lastTerm", aRecord.lastTerm },
             { "members", aRecord.members }, { "state", Bytes{ aRecord.state } }, { "group", aRecord.group } };
  }
};

StorageRecord
decodeRecord(const json& aJson)
{
  const auto& kind = aJson.at("kind").get_ref<const std::string&>();
  if (kind == kHardState) {
    return HardState{ aJson.at("term").get<Term>(),
                      aJson.at("votedFor").get<ReplicaId>(),
                      aJson.at("founder").get<ReplicaId>() };
  }
  if (kind == kEntries) {
    return EntriesRecord{ aJson.at("entries").get<std::vector<LogEntry>>() };
  }
  return SnapshotRecord{ aJson.at("lastIndex").get<LogIndex>(),
                         aJson.at("lastTerm").get<Term>(),
                         aJson.at("members").get<std::vector<Member>>(),
                         aJson.at("state").get<Bytes>().data,
                         aJson.at("group").get<ReplicaId>() };
}

std::string
toBytes(const json& aJson)
{
  std::string bytes;
  json::to_cbor(aJson, bytes);
  return bytes;
}

/// Decodes bytes whose checksum was right, so a failure means a file of another format.
template<typename Value, typename Decode>
Result<Value>
decode(std::string_view aBytes, Decode aDecode)
{
  try {
    return aDecode(json::from_cbor(aBytes.begin(), aBytes.end()));
  } catch (const json::exception& error) {
    return failure(ErrorCode::kCorrupt, error.what());
  }
}

} // namespace

std::string
encodeIdentity(ReplicaId aReplica)
{
  return toBytes({ { "replica", aReplica } });
}

Result<ReplicaId>
decodeIdentity(std::string_view aBytes)
{
  return decode<ReplicaId>(aBytes, [](const json& aJson) { return aJson.at("replica").get<ReplicaId>(); });
}

std::string
encodeHeader(const LogHeader& aHeader)
{
  return toBytes({ { "baseIndex", aHeader.baseIndex }, { "baseTerm", aHeader.baseTerm } });
}

Result<LogHeader>
decodeHeader(std::string_view aBytes)
{
  return decode<LogHeader>(aBytes, [](const json& aJson) {
    return LogHeader{ aJson.at("baseIndex").get<LogIndex>(), aJson.at("baseTerm").get<Term>() };
  });
}

std::string
encodeRecords(std::span<const StorageRecord> aRecords)
{
  json records = json::array();
  std::ranges::transform(
    aRecords, std::back_inserter(records), [](const auto& aRecord) { return std::visit(Encoder{}, aRecord); });
  return toBytes(records);
}

Result<std::vector<StorageRecord>>
decodeRecords(std::string_view aBytes)
{
  return decode<std::vector<StorageRecord>>(aBytes, [](const json& aJson) {
    std::vector<StorageRecord> records;
    std::ranges::transform(aJson, std::back_inserter(records), decodeRecord);
    return records;
  });
}

} // namespace rhubarbarch::consensus
