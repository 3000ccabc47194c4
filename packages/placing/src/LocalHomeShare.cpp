#include "placing/src/LocalHomeShare.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::placing {

namespace {

using Seconds = std::chrono::duration<double>;

/** Averaging time of the demand: long enough to smooth random variation, short
 * compared with daily load changes. */
constexpr Seconds kAveragingTime{ 4 };

/** Part of a region's slots that its own objects may fill; the rest is reserved
 * for bursts and longer work. */
constexpr double kTargetUtilization = 0.7;

/** Utilization of all slots that is assumed until it is measured. */
constexpr double kAssumedUtilization = 0.6;

/** Maximum change of the share per second. It is a third of the shift cap of
 * 0.15 in 2 s, and more after the upstreams changed, because work has to follow
 * the capacity. */
constexpr double kMaxChangePerSecond = 0.025;
constexpr double kMaxLiftedChangePerSecond = 0.15;

} // namespace

void LocalHomeShare::OnRequest(base::TimePoint aNow, base::Duration aWork)
{
  if (!mFirstRequestAt) {
    mFirstRequestAt = aNow;
    mDemandUpdatedAt = aNow;
  }
  mDemand *= std::exp(-Seconds(aNow - mDemandUpdatedAt) / kAveragingTime);
  mDemand += Seconds(aWork) / kAveragingTime;
  mDemandUpdatedAt = aNow;
}

double LocalHomeShare::TargetShare(base::TimePoint aNow,
                                   const ServiceCapacity& aCapacity) const
{
  const double regions = static_cast<double>(aCapacity.mRegions);
  const double assumed = kAssumedUtilization * aCapacity.mAllSlots / regions;
  double coverage = 0;
  double measured = 0;
  if (mFirstRequestAt) {
    coverage = 1 - std::exp(-Seconds(aNow - *mFirstRequestAt) / kAveragingTime);
    measured = mDemand *
               std::exp(-Seconds(aNow - mDemandUpdatedAt) / kAveragingTime) *
               static_cast<double>(aCapacity.mCentreHosts) *
               static_cast<double>(aCapacity.mRegionCentres);
  }
  // The decaying sum has so far reached only this part of the demand.
  const double demand = measured + (1 - coverage) * assumed;
  const double utilization =
    demand * regions / std::max(aCapacity.mAllSlots, 1.0);
  const double usableSlots =
    std::max(kTargetUtilization, utilization) * aCapacity.mRegionSlots;
  return demand <= usableSlots ? 1 : usableSlots / demand;
}

void LocalHomeShare::Update(base::TimePoint aNow,
                            const ServiceCapacity& aCapacity,
                            bool aIsShiftLimitLifted)
{
  const double target = TargetShare(aNow, aCapacity);
  if (!mUpdatedAt) {
    mShare = target;
  }
  const double change =
    (aIsShiftLimitLifted ? kMaxLiftedChangePerSecond : kMaxChangePerSecond) *
    Seconds(aNow - mUpdatedAt.value_or(aNow)).count();
  mUpdatedAt = aNow;
  mShare = std::clamp(target, mShare - change, mShare + change);
}

} // namespace auburnmux::placing
