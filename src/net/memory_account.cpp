#include "rhubarbarch/net/memory_account.h"

#include <algorithm>
#include <utility>

namespace rhubarbarch::net {

namespace {

/// An eighth of the ceiling: room for some hundreds of small requests on the smallest machine (110 MB).
constexpr std::size_t kReserveDivisor = 8;

} // namespace

MemoryAccount::MemoryAccount(std::size_t aCeiling)
  : mCeiling(aCeiling)
{
}

std::size_t
MemoryAccount::reserve() const noexcept
{
  return mCeiling / kReserveDivisor;
}

bool
MemoryAccount::tryCharge(std::size_t aBytes, std::size_t aKeepFree)
{
  const auto most = mCeiling - std::min(aKeepFree, mCeiling);
  auto used = mUsed.load();
  do {
    if (aBytes > most || used > most - aBytes) {
      ++mRefused;
      return false;
    }
  } while (!mUsed.compare_exchange_weak(used, used + aBytes));
  mMost = std::max(mMost.load(), used + aBytes);
  return true;
}

void
MemoryAccount::charge(std::size_t aBytes)
{
  const auto used = mUsed.fetch_add(aBytes) + aBytes;
  mMost = std::max(mMost.load(), used);
}

void
MemoryAccount::release(std::size_t aBytes)
{
  mUsed -= aBytes;
}

Metrics
MemoryAccount::metrics() const
{
  return { { "rhubarbarch_memory_charged_bytes", "", static_cast<double>(mUsed.load()) },
           { "rhubarbarch_memory_charged_max_bytes", "", static_cast<double>(mMost.load()) },
           { "rhubarbarch_memory_ceiling_bytes", "", static_cast<double>(mCeiling) },
           { "rhubarbarch_memory_charges_refused_total", "", static_cast<double>(mRefused.load()) } };
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryAccount> aAccount)
  : mAccount(std::move(aAccount))
{
}

MemoryCharge::~MemoryCharge()
{
  set(0);
}

bool
MemoryCharge::trySet(std::size_t aBytes, std::size_t aKeepFree)
{
  if (aBytes > mBytes && !mAccount->tryCharge(aBytes - mBytes, aKeepFree)) {
    return false;
  }
  if (aBytes < mBytes) {
    mAccount->release(mBytes - aBytes);
  }
  mBytes = aBytes;
  return true;
}

void
MemoryCharge::set(std::size_t aBytes)
{
  if (aBytes > mBytes) {
    mAccount->charge(aBytes - mBytes);
  } else {
    mAccount->release(mBytes - aBytes);
  }
  mBytes = aBytes;
}

std::vector<std::size_t>
chooseEvictions(std::vector<Receiving> aRequests, std::size_t aBytes, bool aForSmall)
{
  const auto isStalled = [](const Receiving& aEach) { return aEach.stalled >= kStallTime; };
  std::erase_if(aRequests, [&](const Receiving& aEach) {
    return !isStalled(aEach) && (!aForSmall || aEach.bytes <= kSmallRequestBytes);
  });
  std::ranges::sort(aRequests, [&](const Receiving& aLeft, const Receiving& aRight) {
    return std::pair(isStalled(aLeft), aLeft.bytes) > std::pair(isStalled(aRight), aRight.bytes);
  });
  std::vector<std::size_t> chosen;
  std::size_t freed = 0;
  for (const auto& each : aRequests) {
    if (freed >= aBytes) {
      break;
    }
    freed += each.bytes;
    chosen.push_back(each.index);
  }
  return chosen;
}

} // namespace rhubarbarch::net
