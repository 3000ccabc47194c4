#pragma once

#include "base/Base.h"

#include <cmath>

namespace auburnmux::placing {

/** Running share of requests that fail; it fades without new samples. */
class FailureMeter
{
public:
  explicit FailureMeter(double aSampleWeight)
    : mSampleWeight(aSampleWeight)
  {
  }

  void Count(base::TimePoint aNow, double aFailure)
  {
    const double share = Share(aNow);
    mShare = share + mSampleWeight * (aFailure - share);
    mAt = aNow;
  }

  /** \returns the share, 0 to 1. */
  double Share(base::TimePoint aNow) const
  {
    // Half of it is forgotten in this time, as upstreams recover.
    constexpr std::chrono::duration<double> kHalfLife{ 1.5 };
    return mShare *
           std::exp2(-std::chrono::duration<double>(aNow - mAt) / kHalfLife);
  }

private:
  double mSampleWeight;
  double mShare = 0;
  base::TimePoint mAt;
};

} // namespace auburnmux::placing
