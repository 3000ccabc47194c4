#include "placing/src/Placement.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace auburnmux::placing {

namespace {

/** Weight of a measured round trip that is longer than the estimate. */
constexpr double kSlowerRoundTripWeight = 0.05;

/** Longest Retry-After that is derived from what an upstream takes from this
 * host. Another host may have room earlier. */
constexpr base::Duration kMaxLimitRetryAfter = std::chrono::seconds(2);

constexpr double kBytesPerKilobyte = 1000;

/** \returns a hash of the object in [0, 1), independent of the hashes that
 * order the upstreams. Objects whose rank is below the local home share have
 * their home in this region. */
double HomeRank(ObjectHash aObject)
{
  static const std::uint64_t sSalt = base::Hash64("home rank");
  return base::HashFraction(base::CombineHash(sSalt, aObject.Count()));
}

/** Period of updating the local home share. */
constexpr base::Duration kHomeSharePeriod = std::chrono::milliseconds(250);

base::Duration Scale(base::Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(aTime * aFactor);
}

template<typename Item>
bool Contains(const std::vector<Item>& aItems, const Item& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

} // namespace

Placement::Placement(PlacingSettings aSettings, base::DataCentreId aDataCentre,
                     base::RegionId aRegion)
  : mSettings(aSettings)
  , mDataCentre(std::move(aDataCentre))
  , mRegion(std::move(aRegion))
  , mShiftLimiter(aSettings.mMaxShift)
{
}

double Placement::ColdRate(const UpstreamSpec& aSpec) const
{
  return aSpec.mColdRate * mSettings.mColdShare /
         static_cast<double>(std::max<std::size_t>(mHostCounts.mSharers, 1));
}

void Placement::Add(base::TimePoint aNow, const UpstreamSpec& aSpec,
                    base::Duration aColdFor)
{
  Remove(aNow, aSpec.mId);
  mShiftLimiter.OnCapacityChanged(aNow);
  auto upstream = std::make_unique<Upstream>(
    Upstream{ aSpec, UpstreamTracker(mSettings, aSpec.mSlots),
              base::Hash64(aSpec.mId.Text()), false,
              mEvacuated.count(aSpec.mDataCentre) > 0, aNow + aColdFor,
              TokenBucket(ColdRate(aSpec), 1), WarmObjects() });
  mServices[aSpec.mService].mUpstreams.push_back(upstream.get());
  mUpstreams[aSpec.mId] = std::move(upstream);
}

void Placement::Remove(base::TimePoint aNow, const base::UpstreamId& aId)
{
  const auto it = mUpstreams.find(aId);
  if (it == mUpstreams.end()) {
    return;
  }
  mShiftLimiter.OnCapacityChanged(aNow);
  Group& service = mServices[it->second->mSpec.mService].mUpstreams;
  service.erase(std::remove(service.begin(), service.end(), it->second.get()),
                service.end());
  if (service.empty()) {
    mServices.erase(it->second->mSpec.mService);
  }
  mUpstreams.erase(it);
}

Placement::Upstream* Placement::Find(const base::UpstreamId& aId)
{
  const auto it = mUpstreams.find(aId);
  return it == mUpstreams.end() ? nullptr : it->second.get();
}

const UpstreamTracker* Placement::Tracker(const base::UpstreamId& aId) const
{
  const auto it = mUpstreams.find(aId);
  return it == mUpstreams.end() ? nullptr : &it->second->mTracker;
}

void Placement::SetLeaving(base::TimePoint aNow, const base::UpstreamId& aId)
{
  if (Upstream* upstream = Find(aId)) {
    mShiftLimiter.OnCapacityChanged(aNow);
    upstream->mIsLeaving = true;
  }
}

void Placement::SetCold(base::TimePoint aNow, const base::UpstreamId& aId,
                        base::Duration aColdFor)
{
  Upstream* upstream = Find(aId);
  if (upstream == nullptr) {
    return;
  }
  const bool wasCold = upstream->mColdUntil > aNow;
  upstream->mColdUntil = aNow + aColdFor;
  if (!wasCold && aColdFor > base::Duration::zero()) {
    upstream->mWarm.Clear();
  }
}

void Placement::SetEvacuated(base::TimePoint aNow,
                             std::set<base::DataCentreId> aCentres,
                             base::Duration aColdFor)
{
  if (aCentres != mEvacuated) {
    mShiftLimiter.OnCapacityChanged(aNow);
  }
  mEvacuated = std::move(aCentres);
  for (const auto& [id, upstream] : mUpstreams) {
    const bool isEvacuated = mEvacuated.count(upstream->mSpec.mDataCentre) > 0;
    const bool was = std::exchange(upstream->mIsEvacuated, isEvacuated);
    if (was && !isEvacuated) {
      upstream->mColdUntil = std::max(upstream->mColdUntil, aNow + aColdFor);
    }
  }
}

void Placement::SetColdRates(
  const std::function<double(const base::ServiceId&)>& aRateOf)
{
  for (const auto& [id, upstream] : mUpstreams) {
    upstream->mSpec.mColdRate = aRateOf(upstream->mSpec.mService);
    upstream->mColdTokens.SetRate(ColdRate(upstream->mSpec));
  }
}

std::optional<base::ServiceId> Placement::ServiceOf(
  const base::UpstreamId& aId) const
{
  const auto it = mUpstreams.find(aId);
  return it == mUpstreams.end() ? std::nullopt
                                : std::optional(it->second->mSpec.mService);
}

base::Duration Placement::ExpectedWork(const PlaceRequest& aRequest) const
{
  return mWorkEstimates.Estimate(aRequest.mKind, Warmth::None,
                                 aRequest.mLatencyTarget);
}

void Placement::SetHostCounts(base::TimePoint aNow, const HostCounts& aCounts)
{
  mHostCounts = aCounts;
  for (const auto& [id, upstream] : mUpstreams) {
    upstream->mColdTokens.SetRate(ColdRate(upstream->mSpec));
    if (auto& limit = upstream->mLimit) {
      limit->mShare = ShareOf(*upstream, limit->mRate);
      limit->mTokens.Configure(aNow, limit->mShare.mRate, limit->mShare.mBurst);
    }
  }
}

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

bool Placement::IsAllowed(const Upstream& aUpstream,
                          const PlaceRequest& aRequest) const
{
  if (aUpstream.mIsLeaving || aUpstream.mIsEvacuated ||
      aUpstream.mTracker.IsPaused()) {
    return false;
  }
  return aRequest.mAllowedRegions.empty() ||
         Contains(aRequest.mAllowedRegions, aUpstream.mSpec.mRegion);
}

bool Placement::IsUsable(base::TimePoint aNow, const Upstream& aUpstream,
                         const PlaceRequest& aRequest) const
{
  if (!IsAllowed(aUpstream, aRequest)) {
    return false;
  }
  if (Contains(aRequest.mTried, aUpstream.mSpec.mId) ||
      aNow < aUpstream.mRefusesUntil || IsShutOut(aNow, aUpstream)) {
    return false;
  }
  const bool isLimited =
    aUpstream.mColdUntil > aNow && aUpstream.mSpec.mColdRate > 0;
  return !isLimited || aUpstream.mColdTokens.CanTake(aNow);
}

Placement::Group Placement::Homes(const Service& aService,
                                  const PlaceRequest& aRequest) const
{
  constexpr std::size_t kMainHomes = 2;
  constexpr std::size_t kOtherHomes = 1;
  using Scored = std::pair<std::uint64_t, Upstream*>;
  std::vector<Scored> here;
  std::vector<Scored> elsewhere;
  for (Upstream* it : aService.mUpstreams) {
    if (IsAllowed(*it, aRequest)) {
      auto& group = it->mSpec.mRegion == mRegion ? here : elsewhere;
      group.emplace_back(
        base::CombineHash(it->mHash, aRequest.mObject->Count()), it);
    }
  }
  Group homes;
  const auto take = [&homes](std::vector<Scored>& aFrom, std::size_t aCount) {
    const auto middle = aFrom.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(aFrom.size(), aCount));
    std::partial_sort(aFrom.begin(), middle, aFrom.end(), std::greater<>());
    std::transform(aFrom.begin(), middle, std::back_inserter(homes),
                   [](const Scored& aScored) { return aScored.second; });
  };
  const bool isHere =
    HomeRank(*aRequest.mObject) < aService.mLocalHomeShare.Share();
  take(isHere ? here : elsewhere, kMainHomes);
  take(isHere ? elsewhere : here, kOtherHomes);
  return homes;
}

void Placement::UpdateHomeShare(base::TimePoint aNow, Service& aService)
{
  if (aNow - aService.mHomeShareUpdatedAt < kHomeSharePeriod) {
    return;
  }
  aService.mHomeShareUpdatedAt = aNow;
  ServiceCapacity capacity;
  capacity.mCentreHosts = mHostCounts.mCentre;
  capacity.mRegionCentres = mHostCounts.mRegionCentres;
  capacity.mRegions = mHostCounts.mRegions;
  std::set<base::RegionId> regions{ mRegion };
  for (const Upstream* it : aService.mUpstreams) {
    regions.insert(it->mSpec.mRegion);
    if (!it->mIsLeaving && !it->mIsEvacuated && !it->mTracker.IsPaused()) {
      const double slots = it->mTracker.Slots().Count();
      capacity.mAllSlots += slots;
      capacity.mRegionSlots += it->mSpec.mRegion == mRegion ? slots : 0;
    }
  }
  capacity.mRegions = std::max(capacity.mRegions, regions.size());
  aService.mLocalHomeShare.Update(aNow, capacity, mShiftLimiter.IsLifted(aNow));
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
  context.mMeanFailureShare = aService.mFailures.Share(aNow);
  return context;
}

Warmth Placement::WarmthOf(const Upstream& aUpstream,
                           const PlaceRequest& aRequest,
                           const Group& aHomes) const
{
  if (!aRequest.mObject) {
    return Warmth::None;
  }
  if (aUpstream.mWarm.Contains(*aRequest.mObject)) {
    return Warmth::Recent;
  }
  const auto home = std::find(aHomes.begin(), aHomes.end(), &aUpstream);
  if (home == aHomes.end()) {
    return Warmth::None;
  }
  if (home == aHomes.begin()) {
    return Warmth::Home;
  }
  return aUpstream.mSpec.mRegion == aHomes.front()->mSpec.mRegion
           ? Warmth::SpareHome
           : Warmth::RemoteHome;
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
                                     : mHostCounts.mLive };
  const base::Duration limitWait = LimitWait(aNow, aUpstream);
  const base::Duration wait = std::max(
    limitWait, tracker.ExpectedWait(aNow, loadFallback, aUpstream.mQueued));
  candidate.mIsLimited = limitWait > base::Duration::zero();
  candidate.mHasCapacity =
    !candidate.mIsLimited && tracker.HasCapacity(aNow, loadFallback);
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
    candidate.mExpected + tracker.UnexplainedSilence(aNow) +
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
    Candidate& group = isWithinShiftLimit ? best : fallback;
    if (candidate.mCost < group.mCost) {
      group = candidate;
    }
  }
  return best.mUpstream != nullptr ? best : fallback;
}

base::Duration Placement::TimeUntilUsable(base::TimePoint aNow,
                                          const Service& aService)
{
  base::Duration shortest = kMaxLimitRetryAfter;
  bool isKnown = false;
  for (const Upstream* it : aService.mUpstreams) {
    if (aNow < it->mRefusesUntil) {
      shortest = std::min(shortest, it->mRefusesUntil - aNow);
      isKnown = true;
    }
  }
  return isKnown ? shortest : kDefaultRetryAfter;
}

PlaceDecision Placement::Place(base::TimePoint aNow,
                               const PlaceRequest& aRequest)
{
  const auto service = mServices.find(aRequest.mService);
  if (service == mServices.end()) {
    return NoUpstream{ kDefaultRetryAfter };
  }
  if (!aRequest.mIsPlacedBefore) {
    service->second.mLocalHomeShare.OnRequest(
      aNow, mWorkEstimates.Estimate(aRequest.mKind, Warmth::Recent,
                                    aRequest.mLatencyTarget));
  }
  UpdateHomeShare(aNow, service->second);
  const Candidate best = BestCandidate(aNow, service->second, aRequest);
  if (best.mUpstream == nullptr) {
    return NoUpstream{ TimeUntilUsable(aNow, service->second) };
  }
  if (best.mIsTooLate) {
    const base::Duration late = best.mExpected - aRequest.mTimeLeft;
    return NoCapacity{ (best.mIsLimited ? std::min(late, kMaxLimitRetryAfter)
                                        : late) +
                       kDefaultRetryAfter };
  }
  Upstream& upstream = *best.mUpstream;
  if (!best.mHasCapacity) {
    ++upstream.mQueued;
    return Wait{ upstream.mSpec.mId, best.mWork + RoundTrip(upstream),
                 mWorkEstimates.IsKnown(aRequest.mKind) };
  }
  upstream.mTracker.OnSent(aNow);
  mShiftLimiter.OnPlaced(aNow, upstream.mSpec.mRegion != mRegion);
  if (upstream.mColdUntil > aNow && upstream.mSpec.mColdRate > 0) {
    upstream.mColdTokens.Take(aNow);
  }
  if (upstream.mLimit && upstream.mLimit->mShare.mRate > 0) {
    upstream.mLimit->mTokens.Take(aNow);
  }
  if (aRequest.mObject) {
    upstream.mWarm.Touch(*aRequest.mObject);
  }
  return Placed{ upstream.mSpec.mId, best.mWarmth, best.mExpected, best.mWork };
}

void Placement::BeginRound()
{
  for (const auto& [id, upstream] : mUpstreams) {
    upstream->mQueued = 0;
  }
}

void Placement::OnResult(base::TimePoint aNow, const PlaceRequest& aRequest,
                         const PlacedResult& aResult)
{
  Upstream* upstream = Find(aResult.mUpstream);
  if (upstream == nullptr || upstream->mTracker.OwnRequests() == 0) {
    return; // the upstream was removed, or added anew since
  }
  std::optional<base::Duration> work;
  if (aResult.mElapsed && (aResult.mOutcome == Outcome::Answered ||
                           aResult.mOutcome == Outcome::Replaced)) {
    work = std::max(*aResult.mElapsed - RoundTrip(*upstream),
                    base::Duration(std::chrono::milliseconds(1)));
  }
  if (work && aResult.mOutcome == Outcome::Answered) {
    mWorkEstimates.AddSample(aRequest.mKind, aResult.mWarmth, *work,
                             aRequest.mLatencyTarget);
  }
  if (const auto failure = FailureWeight(aResult.mOutcome)) {
    mServices[upstream->mSpec.mService].mFailures.AddSample(aNow, *failure);
  }
  upstream->mTracker.OnEnded(aNow, aResult.mOutcome, work,
                             aResult.mExpectedWork);
  if (upstream->mTracker.IsPaused()) {
    mShiftLimiter.OnCapacityChanged(aNow);
  }
  RecordLoad(aNow, *upstream, aResult);
}

void Placement::RecordLoad(base::TimePoint aNow, Upstream& aUpstream,
                           const PlacedResult& aResult)
{
  Service& service = mServices[aUpstream.mSpec.mService];
  const auto& report = aResult.mReport;
  const bool hasSlots = report && report->mSlots.Count() > 0;
  if (aResult.mOutcome == Outcome::Answered) {
    service.mUnreportedLoad.OnAnswered();
  } else if (aResult.mOutcome == Outcome::Rejected &&
             !(hasSlots && report->mRunning < report->mSlots.Count())) {
    service.mUnreportedLoad.OnFull();
  }
  if (report) {
    aUpstream.mTracker.OnReport(aNow, *report);
  }
  if (hasSlots) {
    service.mLoad.OnReport(
      aNow, static_cast<double>(report->mRunning + report->mWaiting) /
              report->mSlots.Count());
  }
}

std::vector<base::UpstreamId> Placement::DueHealthChecks(base::TimePoint aNow)
{
  std::vector<base::UpstreamId> due;
  for (const auto& [id, upstream] : mUpstreams) {
    const auto until = upstream->mTracker.PausedUntil();
    if (until && *until <= aNow && !upstream->mIsLeaving) {
      upstream->mTracker.PostponeHealthCheck(aNow);
      due.push_back(id);
    }
  }
  return due;
}

void Placement::OnHealthCheck(base::TimePoint aNow, const base::UpstreamId& aId,
                              bool aIsHealthy, base::Duration aColdFor)
{
  Upstream* upstream = Find(aId);
  if (upstream == nullptr || !upstream->mTracker.IsPaused()) {
    return;
  }
  if (aIsHealthy) {
    upstream->mTracker.OnHealthCheckPassed(aNow);
    SetCold(aNow, aId, aColdFor);
  }
}

} // namespace auburnmux::placing
