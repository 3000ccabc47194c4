#pragma once

#include "base/Base.h"

#include <chrono>
#include <deque>

namespace auburnmux::steering {

/**
 * Limits the growth of a level: within any second to the ramp, and within any
 * quarter of a second to a quarter of the ramp, rounded up.
 */
class RampLimiter
{
public:
  explicit RampLimiter(base::SlotCount aRampPerSecond);

  /** Records the level at \a aNow. To be called before and after each change.
   */
  void Record(base::TimePoint aNow, base::SlotCount aLevel);
  /** \returns the highest level allowed now. */
  base::SlotCount MaxLevel(base::TimePoint aNow) const;

private:
  struct Sample
  {
    base::TimePoint mTime;
    std::uint32_t mLevel = 0;
  };

  /** \returns the lowest of the last level and the levels recorded since
   * \a aSince; 0 without samples. */
  std::uint32_t MinLevel(base::TimePoint aSince) const;

  std::uint32_t mRamp;
  std::deque<Sample> mSamples;
};

} // namespace auburnmux::steering
