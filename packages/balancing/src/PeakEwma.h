#pragma once

#include "base/Base.h"

namespace auburnmux::balancing {

/**
 * Latency estimate that takes a rise at once and fades with time. A lone
 * sample far above the typical latency is a straggler and moves the estimate
 * little; two in a row are taken as a rise.
 */
class PeakEwma
{
public:
  /** \param aTypical the pool's typical latency; zero when there is none. */
  void Add(base::TimePoint aNow, base::Duration aSample,
           base::Duration aTypical, base::Duration aDecay);

  /** \returns the estimate at \a aNow, which returns to \a aTypical over 5 s
   * without samples, so that an avoided upstream is tried again. Zero when
   * there is no sample. */
  base::Duration Estimate(base::TimePoint aNow, base::Duration aTypical) const;
  /** \returns the mean of recent samples; zero when there is none. */
  base::Duration Mean() const { return mMean; }
  bool IsEmpty() const { return mMean.count() == 0; }
  void Reset() { *this = PeakEwma(); }

private:
  base::Duration mEstimate{};
  base::Duration mMean{};
  base::TimePoint mLast{};
  bool mAfterOutlier = false;
};

} // namespace auburnmux::balancing
