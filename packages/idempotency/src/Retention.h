#pragma once

#include <chrono>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Both clocks at one moment. Only the age of keys uses the wall clock. */
struct Now
{
  base::TimePoint mTime;
  base::WallTime mWall;
};

/**
 * How long keys are accepted and remembered. A key is refused once it is older
 * than the window and forgotten only after the margin has passed as well, so
 * that no host accepts a key that another one has forgotten while their clocks
 * differ by less than the margin.
 */
struct Retention
{
  std::chrono::milliseconds mWindow = std::chrono::hours(2);
  std::chrono::milliseconds mClockMargin = std::chrono::minutes(5);
  std::chrono::milliseconds mFutureBound = std::chrono::minutes(1);

  /** \returns the time before which keys are refused as expired. */
  base::WallTime AcceptedSince(base::WallTime aNow) const
  {
    return aNow - mWindow;
  }
  /** \returns the time before which records of keys may be dropped. */
  base::WallTime RememberedSince(base::WallTime aNow) const
  {
    return aNow - mWindow - mClockMargin;
  }
  /** \returns the newest key time that the dispatching host accepts. */
  base::WallTime AcceptedUntil(base::WallTime aNow) const
  {
    return aNow + mFutureBound;
  }
};

} // namespace auburnmux::idempotency
