#pragma once

#include "rhubarbarch/base/ids.h"
#include "rhubarbarch/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace rhubarbarch::gateway {

/// Contact with one upstream: an answer of it, or a connection attempt that timed out.
struct Contact
{
  TimePoint at;
  std::string upstream;
  bool local = false; ///< the upstream is in this gateway's data centre
  bool timedOut = false;
};

/// Tells a shortage of this machine's link from failures of upstreams. All upstreams share the link, so when
/// connections to most of them time out at once, the link is the cause. Estimates what waits to be sent, too.
struct LocalShortage
{
  std::deque<Contact> contacts;       ///< within the last second, in order of time
  double linkRate = 0;                ///< bytes a second that the link carries; zero: unknown
  double usableShare = 1;             ///< of that rate; lowered while connections time out
  double queuedBytes = 0;             ///< estimate of the bytes that wait to be sent
  TimePoint updatedAt;                ///< when the estimate and the share were last updated
  std::optional<TimePoint> loweredAt; ///< when the share was last lowered
  double sentInPeriod = 0;            ///< bytes handed to the sockets since `periodAt`
  double sentRate = 0;                ///< bytes a second handed to the sockets in the last full period
  TimePoint periodAt;
  TimePoint loggedAt;
  std::uint64_t refused = 0;  ///< requests refused because the link is full
  std::uint64_t timeouts = 0; ///< connection attempts that timed out and count against no upstream
};

/// Records an answer of an upstream, or a connection attempt that timed out.
void
recordContact(LocalShortage& aShortage, Contact aContact);

/// @return whether connections to most upstreams time out, those in this data centre included
bool
connectionsFail(const LocalShortage& aShortage, TimePoint aNow);

/// Lowers the usable part of the link because connections time out; without a known rate, takes the rate measured.
void
lowerLinkShare(LocalShortage& aShortage, TimePoint aNow);

/// @return whether the share was lowered a moment ago: connections time out, because the link is full in either
/// direction. What callers send fills it even when each request is refused.
bool
linkShort(const LocalShortage& aShortage, TimePoint aNow);

/// Records bytes that were handed to the sockets.
void
recordSent(LocalShortage& aShortage, std::size_t aBytes, TimePoint aNow);

/// @param aBytes size of the request's body, which would be sent to an upstream
/// @return whether the link carries the request without a delay that callers would notice. While nothing waits, it
/// carries a request of any size.
bool
linkCarries(LocalShortage& aShortage, std::size_t aBytes, TimePoint aNow);

} // namespace rhubarbarch::gateway
