#include "balancing/src/PeakEwma.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::balancing {

using base::Duration;
using base::TimePoint;

namespace {

/** Multiple of the typical latency from which a sample is an outlier. */
constexpr int kOutlier = 8;
/** Weight of a sample in the mean. */
constexpr int kMeanDivisor = 4;
/** Time constant of the return to the typical latency without samples. */
constexpr Duration kForget = std::chrono::seconds(5);

double Fade(Duration aElapsed, Duration aDecay)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  return std::exp(-std::max(elapsed, 0.0) /
                  static_cast<double>(aDecay.count()));
}

Duration Blend(Duration aOld, Duration aNew, double aOldWeight)
{
  const auto difference = static_cast<double>((aOld - aNew).count());
  return aNew + Duration(static_cast<Duration::rep>(difference * aOldWeight));
}

} // namespace

void PeakEwma::Add(TimePoint aNow, Duration aSample, Duration aTypical,
                   Duration aDecay)
{
  Duration sample = std::max(aSample, Duration(1));
  const bool outlier = aTypical.count() > 0 && sample > kOutlier * aTypical;
  const bool lone = outlier && !mAfterOutlier;
  mAfterOutlier = outlier;
  if (lone) {
    sample = kOutlier * aTypical;
  }
  if (IsEmpty()) {
    mEstimate = mMean = sample;
  } else if (sample > mEstimate && !lone) {
    mEstimate = sample;
  } else {
    mEstimate = Blend(mEstimate, sample, Fade(aNow - mLast, aDecay));
  }
  mMean += (sample - mMean) / kMeanDivisor;
  mLast = aNow;
}

Duration PeakEwma::Estimate(TimePoint aNow, Duration aTypical) const
{
  if (aTypical.count() == 0 || mEstimate <= aTypical) {
    return mEstimate;
  }
  return Blend(mEstimate, aTypical, Fade(aNow - mLast, kForget));
}

} // namespace auburnmux::balancing
