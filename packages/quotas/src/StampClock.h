#pragma once

#include "quotas/src/Messages.h"

#include <algorithm>

namespace auburnmux::quotas {

/**
 * Issues increasing stamps and converts them back to times. Stamps count
 * microseconds from a random number, so that those of an earlier process at
 * the same address aren't recognised.
 */
class StampClock
{
public:
  StampClock(base::TimePoint aNow, std::uint64_t aRandom)
    : mStart(aNow)
    , mFirst((aRandom >> 2U) + 1)
    , mLast(mFirst)
  {
  }

  Stamp Next(base::TimePoint aNow)
  {
    const auto age =
      std::chrono::duration_cast<std::chrono::microseconds>(aNow - mStart);
    mLast =
      std::max(mLast + 1, mFirst + static_cast<std::uint64_t>(age.count()));
    return Stamp(mLast);
  }

  /** \returns the last stamp that was issued. */
  Stamp Last() const { return Stamp(mLast); }

  /** \returns when \a aStamp was issued, or nothing if this process hasn't
   * issued it. */
  std::optional<base::TimePoint> TimeOf(Stamp aStamp) const
  {
    if (aStamp.Count() <= mFirst || aStamp.Count() > mLast) {
      return std::nullopt;
    }
    return mStart + std::chrono::microseconds(aStamp.Count() - mFirst);
  }

private:
  base::TimePoint mStart;
  std::uint64_t mFirst;
  std::uint64_t mLast;
};

} // namespace auburnmux::quotas
