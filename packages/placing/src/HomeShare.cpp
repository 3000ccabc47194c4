#include "placing/src/HomeShare.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::placing {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time over which requests are averaged: long against chance, short against
 * the waves of a day. */
constexpr Seconds kMemory{ 4 };

/** Part of a region's slots that its own objects fill; the rest serves bursts
 * and work that takes longer. */
constexpr double kFill = 0.7;

/** Load of all slots that is assumed before it is known. */
constexpr double kAssumedLoad = 0.6;

/** Change of the share in a second, at most: a third of the cap on shifts of
 * 0.15 in 2 s, and more when the upstreams changed, as work has to follow. */
constexpr double kChangePerSecond = 0.025;
constexpr double kFreeChangePerSecond = 0.15;

} // namespace

void HomeShare::OnRequest(base::TimePoint aNow, base::Duration aWork)
{
  if (!mStart) {
    mStart = aNow;
    mDemandAt = aNow;
  }
  mDemand *= std::exp(-Seconds(aNow - mDemandAt) / kMemory);
  mDemand += Seconds(aWork) / kMemory;
  mDemandAt = aNow;
}

double HomeShare::Wanted(base::TimePoint aNow, const Supply& aSupply) const
{
  const double regions = static_cast<double>(aSupply.mRegions);
  const double assumed = kAssumedLoad * aSupply.mAllSlots / regions;
  double known = 0;
  double measured = 0;
  if (mStart) {
    known = 1 - std::exp(-Seconds(aNow - *mStart) / kMemory);
    measured = mDemand * std::exp(-Seconds(aNow - mDemandAt) / kMemory) *
               static_cast<double>(aSupply.mCentreHosts) *
               static_cast<double>(aSupply.mRegionCentres);
  }
  // The fading sum holds only the known part of the demand so far.
  const double demand = measured + (1 - known) * assumed;
  const double load = demand * regions / std::max(aSupply.mAllSlots, 1.0);
  const double room = std::max(kFill, load) * aSupply.mRegionSlots;
  return demand <= room ? 1 : room / demand;
}

void HomeShare::Update(base::TimePoint aNow, const Supply& aSupply,
                       bool aIsFree)
{
  const double wanted = Wanted(aNow, aSupply);
  if (!mUpdated) {
    mShare = wanted;
  }
  const double change = (aIsFree ? kFreeChangePerSecond : kChangePerSecond) *
                        Seconds(aNow - mUpdated.value_or(aNow)).count();
  mUpdated = aNow;
  mShare = std::clamp(wanted, mShare - change, mShare + change);
}

} // namespace auburnmux::placing
