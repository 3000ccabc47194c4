#pragma once

#include <chrono>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** The monotonic and the wall clock at one moment. The wall clock is used only
 * for the age of keys. */
struct Now
{
  base::TimePoint mTime;
  base::WallTime mWall;
};

/**
 * How long keys are accepted and retained. A key is refused once it is older
 * than the window, but its records are retained for the clock margin beyond
 * that. Thus no host accepts a key whose records another host has removed, as
 * long as their clocks differ by less than the margin.
 */
struct Retention
{
  std::chrono::milliseconds mWindow = std::chrono::hours(2);
  std::chrono::milliseconds mClockMargin = std::chrono::minutes(5);
  std::chrono::milliseconds mMaxFutureOffset = std::chrono::minutes(1);

  /** \returns the time before which keys are refused as expired. */
  base::WallTime AcceptedSince(base::WallTime aNow) const
  {
    return aNow - mWindow;
  }
  /** \returns the time before which records of keys may be dropped. */
  base::WallTime RetainedSince(base::WallTime aNow) const
  {
    return aNow - mWindow - mClockMargin;
  }
  /** \returns the newest key time that the dispatching host accepts. */
  base::WallTime AcceptedUntil(base::WallTime aNow) const
  {
    return aNow + mMaxFutureOffset;
  }
};

} // namespace auburnmux::idempotency
