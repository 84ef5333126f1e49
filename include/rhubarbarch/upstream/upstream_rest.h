#pragma once

#include "rhubarbarch/base/time.h"

namespace rhubarbarch::upstream {

/// Time for which an upstream has asked this gateway for no calls.
struct UpstreamRest
{
  TimePoint until;          ///< no calls before this time
  bool unconfirmed = false; ///< since the rest was asked for, the upstream has answered no call
  bool trial = false;       ///< a call is in progress that shows whether it takes calls again
};

/// @return whether the upstream must get no calls now
bool
isResting(const UpstreamRest& aRest, TimePoint aNow) noexcept;

/// Records that the upstream asks for no calls for some time. A time beyond a minute is cut: then one call shows
/// whether the upstream still asks for it, so that a wrong number does not take an upstream out for good.
void
askForRest(UpstreamRest& aRest, Duration aTime, TimePoint aNow) noexcept;

/// Records a call to the upstream.
/// @return whether it is the trial after a rest
bool
beginTrial(UpstreamRest& aRest) noexcept;

/// Records the end of the trial.
/// @param aAnswered the upstream answered it
void
endTrial(UpstreamRest& aRest, bool aAnswered) noexcept;

} // namespace rhubarbarch::upstream
