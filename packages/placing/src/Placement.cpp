#include "placing/src/Placement.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnmux::placing {

namespace {

/** Longest Retry-After that is derived from what an upstream takes from this
 * host. Another host may have room earlier. */
constexpr base::Duration kMaxLimitRetryAfter = std::chrono::seconds(2);

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
  StartColdTime(aNow, *upstream);
  mServices[aSpec.mService].mUpstreams.push_back(upstream.get());
  mUpstreams[aSpec.mId] = std::move(upstream);
}

void Placement::StartColdTime(base::TimePoint aNow, Upstream& aUpstream) const
{
  // A host's share of the rate is a request in seconds or minutes where hosts
  // are many. If each of them had a whole token at first, all would send at
  // once; parts that differ spread their first requests evenly.
  const std::uint64_t hash =
    base::CombineHash(aUpstream.mHash, base::Hash64(mHostCounts.mSelf.Text()));
  constexpr double kRange = 18446744073709551616.0; // of 64 bits
  aUpstream.mColdTokens.SetTokens(aNow, static_cast<double>(hash) / kRange);
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
    StartColdTime(aNow, *upstream);
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
      if (upstream->mColdUntil <= aNow) {
        StartColdTime(aNow, *upstream);
      }
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

bool Placement::IsLeaving(const base::UpstreamId& aId) const
{
  const auto it = mUpstreams.find(aId);
  return it != mUpstreams.end() && it->second->mIsLeaving;
}

base::Duration Placement::ExpectedWork(const PlaceRequest& aRequest) const
{
  return mWorkEstimates.Estimate(aRequest.mKind, Warmth::None,
                                 aRequest.mLatencyTarget);
}

Wait Placement::EstimateWait(const PlaceRequest& aRequest) const
{
  return { {}, ExpectedWork(aRequest), mWorkEstimates.IsKnown(aRequest.mKind) };
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
    // A request that waits for others' bodies needs no slot yet.
    upstream.mQueued += best.mFitsBody ? 1 : 0;
    return Wait{ upstream.mSpec.mId, best.mWork + RoundTrip(upstream),
                 mWorkEstimates.IsKnown(aRequest.mKind) };
  }
  upstream.mTracker.OnSent(aNow);
  upstream.mBodyInFlight += aRequest.mBody;
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
  SetBodyInFlight(aResult.mUpstream,
                  aResult.mBodyInFlight.value_or(aRequest.mBody),
                  base::ByteCount(0));
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
  if (work) {
    auto& mean = mServices[upstream->mSpec.mService].mMeanWork;
    mean = mean ? *mean + std::chrono::duration_cast<base::Duration>(
                            (*work - *mean) * kServiceSampleWeight)
                : *work;
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

void Placement::SetBodyInFlight(const base::UpstreamId& aId,
                                base::ByteCount aBefore, base::ByteCount aNow)
{
  if (Upstream* upstream = Find(aId)) {
    // An upstream that was added anew counts no bodies of earlier requests.
    upstream->mBodyInFlight -= std::min(upstream->mBodyInFlight, aBefore);
    upstream->mBodyInFlight += aNow;
  }
}

base::ByteCount Placement::BodyInFlight(const base::UpstreamId& aId) const
{
  const auto it = mUpstreams.find(aId);
  return it == mUpstreams.end() ? base::ByteCount(0)
                                : it->second->mBodyInFlight;
}

bool Placement::FitsBody(const Upstream& aUpstream,
                         const PlaceRequest& aRequest) const
{
  const base::ByteCount none(0);
  return aRequest.mBody == none || aUpstream.mBodyInFlight == none ||
         aUpstream.mBodyInFlight + aRequest.mBody <= mSettings.mMaxBodyInFlight;
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
