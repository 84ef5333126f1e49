#pragma once

#include "rhubarbarch/base/metric.h"
#include "rhubarbarch/base/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace rhubarbarch::net {

/// Bytes that a process holds, or is about to hold, for those who connect to it. The servers of a process, on several
/// threads, share one account.
class MemoryAccount
{
public:
  /// @param aCeiling most bytes; the largest number: no bound
  explicit MemoryAccount(std::size_t aCeiling = std::numeric_limits<std::size_t>::max());

  /// Charges the bytes unless less than aKeepFree would then be free.
  bool tryCharge(std::size_t aBytes, std::size_t aKeepFree);
  /// Charges bytes that are held already.
  void charge(std::size_t aBytes);
  void release(std::size_t aBytes);

  std::size_t ceiling() const noexcept { return mCeiling; }
  std::size_t used() const noexcept { return mUsed.load(); }
  /// Part of the ceiling that only small requests may use.
  std::size_t reserve() const noexcept;
  Metrics metrics() const;

private:
  std::size_t mCeiling;
  std::atomic<std::size_t> mUsed{ 0 };
  std::atomic<std::size_t> mMost{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
};

/// What one holder has charged; released when the object ends.
class MemoryCharge
{
public:
  explicit MemoryCharge(std::shared_ptr<MemoryAccount> aAccount);
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  std::size_t bytes() const noexcept { return mBytes; }
  /// Sets what is charged; false, without effect, when that is more than before and the account lacks the difference.
  /// @param aKeepFree bytes of the account that must stay free
  bool trySet(std::size_t aBytes, std::size_t aKeepFree);
  /// Sets what is charged to bytes that are held already.
  void set(std::size_t aBytes);

private:
  std::shared_ptr<MemoryAccount> mAccount;
  std::size_t mBytes = 0;
};

/// A request that is being received.
struct Receiving
{
  std::size_t index = 0; ///< the caller's own name for it
  std::size_t bytes = 0; ///< that it has charged
  Duration stalled{ 0 }; ///< since its last progress
};

/// Requests without progress for this long are given up first when memory is short. A sender whose packet is lost
/// repeats it within 200 ms, twice within 600 ms.
inline constexpr Duration kStallTime{ 1000 };
/// A request that holds no more than this may use the reserve of the account: a usual head and prompt.
inline constexpr std::size_t kSmallRequestBytes = std::size_t{ 128 } * 1024;

/// Chooses requests to give up until aBytes are free: the stalled ones, those that hold most first. Only for a small
/// request, those that make progress and are not small follow.
/// @return indices in the order of their eviction
std::vector<std::size_t>
chooseEvictions(std::vector<Receiving> aRequests, std::size_t aBytes, bool aForSmall);

} // namespace rhubarbarch::net
