#pragma once

#include "base/Base.h"

#include <cmath>

namespace auburnmux::placing {

/** EWMA of the share of failed requests; it decays without new samples. */
class FailureMeter
{
public:
  explicit FailureMeter(double aSampleWeight)
    : mSampleWeight(aSampleWeight)
  {
  }

  void AddSample(base::TimePoint aNow, double aFailureWeight)
  {
    const double share = Share(aNow);
    mShare = share + mSampleWeight * (aFailureWeight - share);
    mUpdatedAt = aNow;
  }

  /** \returns the share, 0 to 1. */
  double Share(base::TimePoint aNow) const
  {
    // The share decays because upstreams recover.
    constexpr std::chrono::duration<double> kHalfLife{ 1.5 };
    return mShare *
           std::exp2(-std::chrono::duration<double>(aNow - mUpdatedAt) /
                     kHalfLife);
  }

private:
  double mSampleWeight;
  double mShare = 0;
  base::TimePoint mUpdatedAt;
};

} // namespace auburnmux::placing
