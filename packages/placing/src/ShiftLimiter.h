#pragma once

#include "base/Base.h"

#include <deque>
#include <optional>

namespace auburnmux::placing {

/**
 * Keeps the share of requests that go to other regions from rising or falling
 * faster than the cap on shifts allows, while nothing but the clients' traffic
 * changes. A change of the upstreams themselves lifts the limit, as work has
 * to follow the capacity.
 */
class ShiftLimiter
{
public:
  /** \param aMaxShift share of the requests that may change their region from
   * one window to the next */
  explicit ShiftLimiter(double aMaxShift);

  void SetMaxShift(double aMaxShift) { mMaxShift = aMaxShift; }
  /** The usable upstreams changed; before the first request that is no change.
   */
  void OnCapacityChanged(base::TimePoint aNow)
  {
    if (!mSlices.empty()) {
      mChangedAt = aNow;
    }
  }
  /** \returns whether a change of the upstreams lifts the limit. */
  bool IsLifted(base::TimePoint aNow) const;
  /** \returns whether another request may go to another region. */
  bool MayLeave(base::TimePoint aNow) const;
  /** \returns whether another request may stay in this region: the share that
   * leaves would not fall too fast. */
  bool MayStay(base::TimePoint aNow) const;
  void OnPlaced(base::TimePoint aNow, bool aIsOtherRegion);

private:
  struct Slice
  {
    base::TimePoint mStart;
    double mAll = 0;
    double mLeft = 0;
  };

  /** The last window and the one before it. */
  struct Windows
  {
    Slice mLast;
    Slice mBefore;
  };

  /** \returns the windows; none while no limit applies. */
  std::optional<Windows> LimitingWindows(base::TimePoint aNow) const;

  double mMaxShift;
  std::optional<base::TimePoint> mChangedAt;
  std::deque<Slice> mSlices;
};

} // namespace auburnmux::placing
