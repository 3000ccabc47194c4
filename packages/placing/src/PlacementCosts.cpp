#include "placing/src/Placement.h"

#include <algorithm>

namespace auburnmux::placing {

namespace {

/** Weight of a measured round trip that is longer than the estimate. */
constexpr double kSlowerRoundTripWeight = 0.05;

constexpr double kBytesPerKilobyte = 1000;

base::Duration Scale(base::Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(aTime * aFactor);
}

} // namespace

void Placement::OnRoundTrip(const base::UpstreamId& aUpstream,
                            base::Duration aRoundTrip)
{
  const Upstream* upstream = Find(aUpstream);
  if (upstream == nullptr) {
    return;
  }
  const auto [it, isNew] =
    mRoundTrips.try_emplace(upstream->mSpec.mDataCentre, aRoundTrip);
  if (!isNew) {
    // Load on the host or the upstream can only increase the measured time.
    // Shorter times are therefore taken at once, longer ones with a low weight.
    it->second += aRoundTrip < it->second
                    ? aRoundTrip - it->second
                    : Scale(aRoundTrip - it->second, kSlowerRoundTripWeight);
  }
}

base::Duration Placement::RoundTrip(const Upstream& aUpstream) const
{
  const auto it = mRoundTrips.find(aUpstream.mSpec.mDataCentre);
  if (it != mRoundTrips.end()) {
    return it->second;
  }
  if (aUpstream.mSpec.mDataCentre == mDataCentre) {
    return mSettings.mSameCentreRoundTrip;
  }
  return aUpstream.mSpec.mRegion == mRegion ? mSettings.mSameRegionRoundTrip
                                            : mSettings.mOtherRegionRoundTrip;
}

base::Duration Placement::TransferCost(const Upstream& aUpstream,
                                       base::ByteCount aBytes) const
{
  if (aUpstream.mSpec.mDataCentre == mDataCentre) {
    return {};
  }
  const double kilobytes =
    static_cast<double>(aBytes.Count()) / kBytesPerKilobyte;
  return Scale(aUpstream.mSpec.mRegion == mRegion
                 ? mSettings.mCentreTransferPerKilobyte
                 : mSettings.mRegionTransferPerKilobyte,
               kilobytes);
}

Placement::RequestContext Placement::MakeContext(
  base::TimePoint aNow, const Service& aService,
  const PlaceRequest& aRequest) const
{
  RequestContext context;
  if (aRequest.mObject) {
    context.mHomes = Homes(aService, aRequest);
  }
  context.mMeanLoad = aService.mLoad.Mean(aNow);
  if (context.mMeanLoad) {
    context.mUnreportedLoad =
      *context.mMeanLoad * aService.mUnreportedLoad.Ratio();
  }
  context.mMeanWork = aService.mMeanWork.value_or(kDefaultMeanWork);
  context.mMeanFailureShare = aService.mFailures.Share(aNow);
  return context;
}

Placement::Candidate Placement::Evaluate(base::TimePoint aNow,
                                         Upstream& aUpstream, Warmth aWarmth,
                                         const PlaceRequest& aRequest,
                                         const RequestContext& aContext) const
{
  const UpstreamTracker& tracker = aUpstream.mTracker;
  const base::Duration work =
    mWorkEstimates.Estimate(aRequest.mKind, aWarmth, aRequest.mLatencyTarget);
  Candidate candidate;
  candidate.mUpstream = &aUpstream;
  candidate.mWarmth = aWarmth;
  const LoadFallback loadFallback{ aContext.mUnreportedLoad,
                                   aUpstream.mSpec.mRegion == mRegion
                                     ? mHostCounts.mRegion
                                     : mHostCounts.mLive,
                                   aContext.mMeanWork };
  const base::Duration limitWait = LimitWait(aNow, aUpstream);
  const base::Duration wait = std::max(
    limitWait, tracker.ExpectedWait(aNow, loadFallback, aUpstream.mQueued));
  candidate.mIsLimited = limitWait > base::Duration::zero();
  candidate.mFitsBody = FitsBody(aUpstream, aRequest);
  candidate.mHasCapacity = candidate.mFitsBody && !candidate.mIsLimited &&
                           tracker.HasCapacity(aNow, loadFallback);
  candidate.mWork = Scale(work, tracker.Slowness(aNow));
  candidate.mExpected =
    RoundTrip(aUpstream) + wait +
    Scale(candidate.mWork, std::max(1.0, tracker.WorkTimeRatio()));
  // A request isn't refused if a slot is free or if this kind of work was never
  // measured, because the estimate may be too high.
  candidate.mIsTooLate =
    limitWait > aRequest.mTimeLeft ||
    (wait > base::Duration::zero() && mWorkEstimates.IsKnown(aRequest.mKind) &&
     candidate.mExpected > aRequest.mTimeLeft);
  // Only failures above the mean of the service count, so that failures of all
  // upstreams don't move requests away from warm ones.
  const double failures =
    std::max(0.0, tracker.FailureShare(aNow) - aContext.mMeanFailureShare);
  candidate.mCost =
    candidate.mExpected + tracker.UnexplainedSilence(aNow, loadFallback) +
    TransferCost(aUpstream, aRequest.mBytes) +
    Scale(aRequest.mLatencyTarget, mSettings.mFailureTargets * failures);
  return candidate;
}

double Placement::AffinityPenaltyTargets(Warmth aWarmth,
                                         std::optional<double> aMeanLoad) const
{
  const double pressure =
    std::max(0.0, aMeanLoad.value_or(0) - mSettings.mPenaltyLoadThreshold);
  const double factor = 1 + mSettings.mPenaltyLoadFactor * pressure;
  switch (aWarmth) {
    case Warmth::Recent:
    case Warmth::Home:
      return 0;
    case Warmth::SpareHome:
    case Warmth::RemoteHome:
      return mSettings.mOtherHomeTargets * factor;
    case Warmth::None:
      return mSettings.mNoAffinityTargets * factor;
  }
  return 0;
}

Placement::Candidate Placement::BestCandidate(
  base::TimePoint aNow, const Service& aService,
  const PlaceRequest& aRequest) const
{
  const RequestContext context = MakeContext(aNow, aService, aRequest);
  const bool mayLeave = mShiftLimiter.MayLeaveRegion(aNow);
  const bool mayStay = mShiftLimiter.MayStayInRegion(aNow);
  Candidate best;
  // The best of the upstreams that can't take the request's body yet.
  Candidate blocked;
  Candidate fallback;
  for (Upstream* it : aService.mUpstreams) {
    if (!IsUsable(aNow, *it, aRequest)) {
      continue;
    }
    const Warmth warmth = WarmthOf(*it, aRequest, context.mHomes);
    Candidate candidate = Evaluate(aNow, *it, warmth, aRequest, context);
    if (aRequest.mObject) {
      candidate.mCost +=
        Scale(aRequest.mLatencyTarget,
              AffinityPenaltyTargets(warmth, context.mMeanLoad));
    }
    if (aRequest.mStraggling == it->mSpec.mId) {
      candidate.mCost +=
        Scale(aRequest.mLatencyTarget, mSettings.mStragglerTargets);
    }
    const bool isWithinShiftLimit =
      it->mSpec.mRegion == mRegion
        ? mayStay
        : mayLeave && (mayStay || candidate.mHasCapacity);
    Candidate& group = !isWithinShiftLimit   ? fallback
                       : candidate.mFitsBody ? best
                                             : blocked;
    if (candidate.mCost < group.mCost) {
      group = candidate;
    }
  }
  if (best.mUpstream != nullptr) {
    return best;
  }
  return blocked.mUpstream != nullptr ? blocked : fallback;
}

} // namespace auburnmux::placing
