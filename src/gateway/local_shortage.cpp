#include "local_shortage.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace rhubarbarch::gateway {

namespace {

/// Time over which contacts count: two connection time-outs, since the first attempts that time out do so together.
constexpr Duration kContactWindow{ 1000 };
/// Fewer upstreams may fail at once by themselves, for example in a release.
constexpr std::size_t kMinUnreachable = 4;
/// Bytes that may wait to be sent, as time on the link: a fraction of the shortest target latency of the deployments
/// (250 ms), so that a refused caller still reaches another gateway in time.
constexpr double kLinkDelaySeconds = 0.1;
/// A body up to this size delays others little; such requests may wait behind three times as many bytes.
constexpr std::size_t kSmallBody = 2048;
constexpr double kSmallBodyFactor = 3;
/// Headers, acknowledgements and packet headers take the rest of the link.
constexpr double kPayloadShare = 0.85;
/// Additive increase and multiplicative decrease of the usable share.
constexpr double kDecrease = 0.7;
constexpr double kIncreasePerSecond = 0.1;
constexpr double kSmallestShare = 0.3;
/// One decrease a period: attempts that were made before the last one still time out.
constexpr Duration kDecreasePeriod{ 500 };
constexpr Duration kMeasurePeriod{ 1000 };
/// Without another decrease for this long the link is free again: contacts count for a second, and the next decrease is
/// due half a second after the last one.
constexpr Duration kShortTime = kContactWindow + kDecreasePeriod;
/// A measured rate below this says more about the load than about the link.
constexpr double kSmallestLinkRate = 65536;

double
seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
usableRate(const LocalShortage& aShortage)
{
  return aShortage.linkRate * kPayloadShare * aShortage.usableShare;
}

void
update(LocalShortage& aShortage, TimePoint aNow)
{
  const auto passed = seconds(aNow - std::exchange(aShortage.updatedAt, aNow));
  aShortage.queuedBytes = std::max(0.0, aShortage.queuedBytes - passed * usableRate(aShortage));
  aShortage.usableShare = std::min(1.0, aShortage.usableShare + passed * kIncreasePerSecond);
  if (const auto period = aNow - aShortage.periodAt; period >= kMeasurePeriod) {
    aShortage.sentRate = std::exchange(aShortage.sentInPeriod, 0.0) / seconds(period);
    aShortage.periodAt = aNow;
  }
}

/// @return whether at least half of the upstreams in contact timed out, of all or only of those in this data centre
bool
halfTimedOut(const std::deque<Contact>& aContacts, bool aLocalOnly, std::size_t aLeast)
{
  std::set<std::string_view> used;
  std::set<std::string_view> timedOut;
  for (const auto& contact : aContacts) {
    if (aLocalOnly && !contact.local) {
      continue;
    }
    used.insert(contact.upstream);
    if (contact.timedOut) {
      timedOut.insert(contact.upstream);
    }
  }
  return timedOut.size() >= aLeast && 2 * timedOut.size() >= used.size();
}

void
removeOld(LocalShortage& aShortage, TimePoint aNow)
{
  while (!aShortage.contacts.empty() && aShortage.contacts.front().at + kContactWindow <= aNow) {
    aShortage.contacts.pop_front();
  }
}

} // namespace

void
recordContact(LocalShortage& aShortage, Contact aContact)
{
  removeOld(aShortage, aContact.at);
  aShortage.contacts.push_back(std::move(aContact));
}

bool
connectionsFail(const LocalShortage& aShortage, TimePoint aNow)
{
  const auto recent = [aNow](const Contact& aEach) { return aEach.timedOut && aEach.at + kContactWindow > aNow; };
  if (std::ranges::count_if(aShortage.contacts, recent) < static_cast<std::ptrdiff_t>(kMinUnreachable)) {
    return false;
  }
  // With upstreams of this data centre within reach, the cause lies between the data centres.
  return halfTimedOut(aShortage.contacts, false, kMinUnreachable) && halfTimedOut(aShortage.contacts, true, 0);
}

void
lowerLinkShare(LocalShortage& aShortage, TimePoint aNow)
{
  update(aShortage, aNow);
  if (aShortage.loweredAt && aNow - *aShortage.loweredAt < kDecreasePeriod) {
    return;
  }
  aShortage.loweredAt = aNow;
  if (aShortage.linkRate <= 0) {
    aShortage.linkRate = std::max(kSmallestLinkRate, aShortage.sentRate);
  }
  aShortage.usableShare = std::max(kSmallestShare, aShortage.usableShare * kDecrease);
}

bool
linkShort(const LocalShortage& aShortage, TimePoint aNow)
{
  return aShortage.loweredAt && aNow - *aShortage.loweredAt < kShortTime;
}

void
recordSent(LocalShortage& aShortage, std::size_t aBytes, TimePoint aNow)
{
  update(aShortage, aNow);
  aShortage.sentInPeriod += static_cast<double>(aBytes);
  if (aShortage.linkRate > 0) {
    aShortage.queuedBytes += static_cast<double>(aBytes);
  }
}

bool
linkCarries(LocalShortage& aShortage, std::size_t aBytes, TimePoint aNow)
{
  update(aShortage, aNow);
  if (aShortage.linkRate <= 0) {
    return true;
  }
  const auto limit = usableRate(aShortage) * kLinkDelaySeconds * (aBytes <= kSmallBody ? kSmallBodyFactor : 1);
  return aShortage.queuedBytes <= limit;
}

} // namespace rhubarbarch::gateway
