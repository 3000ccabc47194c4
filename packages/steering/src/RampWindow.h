#pragma once

#include "base/Base.h"

#include <chrono>
#include <deque>

namespace auburnmux::steering {

/**
 * Limits how fast a level grows: within any second by at most the ramp, and
 * within any quarter of a second by at most a quarter of it, rounded up.
 */
class RampWindow
{
public:
  explicit RampWindow(base::SlotCount aRampPerSecond);

  /** Notes the level at \a aNow; before and after each change. */
  void Record(base::TimePoint aNow, base::SlotCount aLevel);
  /** \returns the highest level allowed now. */
  base::SlotCount Allowed(base::TimePoint aNow) const;

private:
  struct Sample
  {
    base::TimePoint mTime;
    std::uint32_t mLevel = 0;
  };

  std::uint32_t Lowest(base::TimePoint aSince) const;

  std::uint32_t mRamp;
  std::deque<Sample> mSamples;
};

} // namespace auburnmux::steering
