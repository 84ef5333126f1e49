#pragma once

#include "rhubarbarch/base/error.h"
#include "rhubarbarch/consensus/storage.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbarch::consensus {

/// First record of a log file: the snapshot that its entries follow.
struct LogHeader
{
  LogIndex baseIndex{}; ///< zero: no snapshot
  Term baseTerm{};

  bool operator==(const LogHeader&) const = default;
};

std::string
encodeIdentity(ReplicaId aReplica);

Result<ReplicaId>
decodeIdentity(std::string_view aBytes);

std::string
encodeHeader(const LogHeader& aHeader);

Result<LogHeader>
decodeHeader(std::string_view aBytes);

std::string
encodeRecords(std::span<const StorageRecord> aRecords);

/// @return the records; kCorrupt when the bytes are not what encodeRecords writes
Result<std::vector<StorageRecord>>
decodeRecords(std::string_view aBytes);

} // namespace rhubarbarch::consensus
