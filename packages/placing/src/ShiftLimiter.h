#pragma once

#include "base/Base.h"

#include <deque>
#include <optional>

namespace auburnmux::placing {

/**
 * Limits how fast the share of requests that go to other regions may rise or
 * fall while only the clients' traffic changes. A change of the upstreams
 * lifts the limit for some seconds, because work has to follow the capacity.
 */
class ShiftLimiter
{
public:
  /** \param aMaxShift maximum share of the requests that may change their
   * region from one window to the next */
  explicit ShiftLimiter(double aMaxShift);

  void SetMaxShift(double aMaxShift) { mMaxShift = aMaxShift; }
  /** Lifts the limit because the usable upstreams changed. Does nothing before
   * the first request. */
  void OnCapacityChanged(base::TimePoint aNow)
  {
    if (!mSlices.empty()) {
      mCapacityChangedAt = aNow;
    }
  }
  /** \returns whether a change of the upstreams lifts the limit. */
  bool IsLifted(base::TimePoint aNow) const;
  /** \returns whether another request may go to another region. */
  bool MayLeaveRegion(base::TimePoint aNow) const;
  /** \returns whether another request may stay in this region without the share
   * of other regions falling too fast. */
  bool MayStayInRegion(base::TimePoint aNow) const;
  void OnPlaced(base::TimePoint aNow, bool aIsOtherRegion);

private:
  struct Slice
  {
    base::TimePoint mStart;
    double mTotal = 0;
    double mOtherRegion = 0;
  };

  /** The latest window and the one before it. */
  struct Windows
  {
    Slice mLatest;
    Slice mPrevious;
  };

  /** \returns the windows; none while the limit is lifted or requests are too
   * few. */
  std::optional<Windows> LimitingWindows(base::TimePoint aNow) const;

  double mMaxShift;
  std::optional<base::TimePoint> mCapacityChangedAt;
  std::deque<Slice> mSlices;
};

} // namespace auburnmux::placing
