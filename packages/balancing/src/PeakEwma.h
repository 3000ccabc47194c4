#pragma once

#include "base/Base.h"

namespace auburnmux::balancing {

/**
 * Peak EWMA of latency: follows a rise immediately and decays over time. A
 * single sample far above the typical latency is treated as a straggler and
 * clipped, so that it moves the estimate little; a second one in a row is taken
 * as a rise.
 */
class PeakEwma
{
public:
  /** Adds a sample. \param aTypicalLatency typical latency of the pool, zero
   * if unknown. \param aDecay time constant with which a peak decays. */
  void Add(base::TimePoint aNow, base::Duration aSample,
           base::Duration aTypicalLatency, base::Duration aDecay);

  /** \returns the estimate at \a aNow, zero if there are no samples. Without
   * new samples, a higher estimate decays to \a aTypicalLatency with a time
   * constant of 5 s, so that a slow upstream is eventually tried again. */
  base::Duration Estimate(base::TimePoint aNow,
                          base::Duration aTypicalLatency) const;
  /** \returns the moving average of the samples, zero if there are none. */
  base::Duration Mean() const { return mMean; }
  bool IsEmpty() const { return mMean.count() == 0; }
  void Reset() { *this = PeakEwma(); }

private:
  base::Duration mEstimate{};
  base::Duration mMean{};
  base::TimePoint mLast{};
  bool mWasOutlier = false;
};

} // namespace auburnmux::balancing
