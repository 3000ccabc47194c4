#include "balancing/src/PeakEwma.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::balancing {

using base::Duration;
using base::TimePoint;

namespace {

/** A sample above this multiple of the typical latency is an outlier. */
constexpr int kOutlierFactor = 8;
/** Reciprocal of the weight of a new sample in the mean. */
constexpr int kMeanDivisor = 4;
/** Time constant with which an estimate without new samples decays to the
 * typical latency. */
constexpr Duration kIdleDecay = std::chrono::seconds(5);

double DecayFactor(Duration aElapsed, Duration aDecay)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  return std::exp(-std::max(elapsed, 0.0) /
                  static_cast<double>(aDecay.count()));
}

Duration Interpolate(Duration aOld, Duration aNew, double aOldWeight)
{
  const auto difference = static_cast<double>((aOld - aNew).count());
  return aNew + Duration(static_cast<Duration::rep>(difference * aOldWeight));
}

} // namespace

void PeakEwma::Add(TimePoint aNow, Duration aSample, Duration aTypicalLatency,
                   Duration aDecay)
{
  Duration sample = std::max(aSample, Duration(1));
  const bool outlier =
    aTypicalLatency.count() > 0 && sample > kOutlierFactor * aTypicalLatency;
  const bool isSingleOutlier = outlier && !mWasOutlier;
  mWasOutlier = outlier;
  if (isSingleOutlier) {
    sample = kOutlierFactor * aTypicalLatency;
  }
  if (IsEmpty()) {
    mEstimate = mMean = sample;
  } else if (sample > mEstimate && !isSingleOutlier) {
    mEstimate = sample;
  } else {
    mEstimate =
      Interpolate(mEstimate, sample, DecayFactor(aNow - mLast, aDecay));
  }
  mMean += (sample - mMean) / kMeanDivisor;
  mLast = aNow;
}

Duration PeakEwma::Estimate(TimePoint aNow, Duration aTypicalLatency) const
{
  if (aTypicalLatency.count() == 0 || mEstimate <= aTypicalLatency) {
    return mEstimate;
  }
  return Interpolate(mEstimate, aTypicalLatency,
                     DecayFactor(aNow - mLast, kIdleDecay));
}

} // namespace auburnmux::balancing
