#include "placing/src/Placement.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnmux::placing {

namespace {

/** Weight of a measured round trip that is longer than the ones before. */
constexpr double kTripWeight = 0.05;

/** Retry-After when no estimate of the wait exists. */
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

constexpr double kBytesPerKilobyte = 1000;

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

Placement::Placement(PlacingSettings aSettings, base::DataCentreId aHere,
                     base::RegionId aRegion)
  : mSettings(aSettings)
  , mHere(std::move(aHere))
  , mRegion(std::move(aRegion))
  , mShift(aSettings.mMaxShift)
{
}

double Placement::ColdRate(const UpstreamSpec& aSpec) const
{
  return aSpec.mColdRate * mSettings.mColdShare /
         static_cast<double>(std::max<std::size_t>(mHosts.mSharers, 1));
}

void Placement::Add(base::TimePoint aNow, const UpstreamSpec& aSpec,
                    base::Duration aColdFor)
{
  Remove(aNow, aSpec.mId);
  mShift.OnCapacityChanged(aNow);
  auto upstream = std::make_unique<Upstream>(
    Upstream{ aSpec, UpstreamGauge(mSettings, aSpec.mSlots),
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
  mShift.OnCapacityChanged(aNow);
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

const UpstreamGauge* Placement::Gauge(const base::UpstreamId& aId) const
{
  const auto it = mUpstreams.find(aId);
  return it == mUpstreams.end() ? nullptr : &it->second->mGauge;
}

void Placement::SetLeaving(base::TimePoint aNow, const base::UpstreamId& aId)
{
  if (Upstream* upstream = Find(aId)) {
    mShift.OnCapacityChanged(aNow);
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
    mShift.OnCapacityChanged(aNow);
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

void Placement::SetHostCounts(const HostCounts& aCounts)
{
  mHosts = aCounts;
  for (const auto& [id, upstream] : mUpstreams) {
    upstream->mColdTokens.SetRate(ColdRate(upstream->mSpec));
  }
}

void Placement::OnTrip(const base::UpstreamId& aUpstream, base::Duration aTrip)
{
  const Upstream* upstream = Find(aUpstream);
  if (upstream == nullptr) {
    return;
  }
  const auto [it, isNew] =
    mTrips.try_emplace(upstream->mSpec.mDataCentre, aTrip);
  if (!isNew) {
    // A busy host or upstream only adds to the time.
    it->second += aTrip < it->second ? aTrip - it->second
                                     : Scale(aTrip - it->second, kTripWeight);
  }
}

base::Duration Placement::Trip(const Upstream& aUpstream) const
{
  const auto it = mTrips.find(aUpstream.mSpec.mDataCentre);
  if (it != mTrips.end()) {
    return it->second;
  }
  if (aUpstream.mSpec.mDataCentre == mHere) {
    return mSettings.mSameCentreTrip;
  }
  return aUpstream.mSpec.mRegion == mRegion ? mSettings.mSameRegionTrip
                                            : mSettings.mOtherRegionTrip;
}

base::Duration Placement::TransferCost(const Upstream& aUpstream,
                                       base::ByteCount aBytes) const
{
  if (aUpstream.mSpec.mDataCentre == mHere) {
    return {};
  }
  const double kilobytes =
    static_cast<double>(aBytes.Count()) / kBytesPerKilobyte;
  return Scale(aUpstream.mSpec.mRegion == mRegion ? mSettings.mCentreKilobyte
                                                  : mSettings.mRegionKilobyte,
               kilobytes);
}

bool Placement::IsAllowed(const Upstream& aUpstream,
                          const PlaceRequest& aRequest) const
{
  if (aUpstream.mIsLeaving || aUpstream.mIsEvacuated ||
      aUpstream.mGauge.IsPaused()) {
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
  if (Contains(aRequest.mTried, aUpstream.mSpec.mId)) {
    return false;
  }
  const bool isLimited =
    aUpstream.mColdUntil > aNow && aUpstream.mSpec.mColdRate > 0;
  return !isLimited || aUpstream.mColdTokens.CanTake(aNow);
}

Placement::Group Placement::Homes(const Group& aUpstreams,
                                  const PlaceRequest& aRequest) const
{
  constexpr std::size_t kLocalHomes = 2;
  constexpr std::size_t kRemoteHomes = 2;
  using Scored = std::pair<std::uint64_t, Upstream*>;
  std::vector<Scored> local;
  std::map<base::RegionId, Scored> remote;
  for (Upstream* it : aUpstreams) {
    if (!IsAllowed(*it, aRequest)) {
      continue;
    }
    const Scored scored(base::CombineHash(it->mHash, aRequest.mObject->Count()),
                        it);
    if (it->mSpec.mRegion == mRegion) {
      local.push_back(scored);
    } else {
      Scored& best = remote[it->mSpec.mRegion];
      best = std::max(best, scored);
    }
  }
  std::vector<Scored> others;
  others.reserve(remote.size());
  for (const auto& [region, scored] : remote) {
    others.push_back(scored);
  }
  Group homes;
  const auto take = [&homes](std::vector<Scored>& aFrom, std::size_t aCount) {
    std::sort(aFrom.rbegin(), aFrom.rend());
    for (std::size_t i = 0; i < std::min(aFrom.size(), aCount); ++i) {
      homes.push_back(aFrom[i].second);
    }
  };
  take(local, kLocalHomes);
  take(others, kRemoteHomes);
  return homes;
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
  if (aUpstream.mSpec.mRegion != mRegion) {
    return Warmth::RemoteHome;
  }
  return home == aHomes.begin() ? Warmth::Home : Warmth::SpareHome;
}

Placement::Candidate Placement::Rate(base::TimePoint aNow, Upstream& aUpstream,
                                     Warmth aWarmth,
                                     const PlaceRequest& aRequest,
                                     double aUsualFailures) const
{
  const UpstreamGauge& gauge = aUpstream.mGauge;
  const base::Duration work =
    mWork.Expect(aRequest.mKind, aWarmth, aRequest.mLatencyTarget);
  Candidate candidate;
  candidate.mUpstream = &aUpstream;
  candidate.mWarmth = aWarmth;
  const base::Duration wait = gauge.Wait(aNow, aUpstream.mQueued);
  candidate.mHasRoom = gauge.HasRoom(
    aNow, aUpstream.mSpec.mRegion == mRegion ? mHosts.mRegion : mHosts.mLive);
  candidate.mWork = Scale(work, gauge.Slowness(aNow));
  candidate.mExpected = Trip(aUpstream) + wait +
                        Scale(candidate.mWork, std::max(1.0, gauge.Pace()));
  // With a slot free, or for a kind of work that was never seen, the estimate
  // may be wrong in the request's favour.
  candidate.mIsHopeless = wait > base::Duration::zero() &&
                          mWork.IsKnown(aRequest.mKind) &&
                          candidate.mExpected > aRequest.mTimeLeft;
  // Failures that all upstreams share are no reason to leave warm ones.
  const double failures =
    std::max(0.0, gauge.FailureShare(aNow) - aUsualFailures);
  candidate.mCost =
    candidate.mExpected + gauge.Silence(aNow) +
    TransferCost(aUpstream, aRequest.mBytes) +
    Scale(aRequest.mLatencyTarget, mSettings.mFailureTargets * failures);
  return candidate;
}

double Placement::StrayTargets(Warmth aWarmth) const
{
  switch (aWarmth) {
    case Warmth::Recent:
    case Warmth::Home:
      return 0;
    case Warmth::SpareHome:
    case Warmth::RemoteHome:
      return mSettings.mSpareTargets;
    case Warmth::None:
      return mSettings.mStrayTargets;
  }
  return 0;
}

Placement::Candidate Placement::BestOf(base::TimePoint aNow,
                                       const Service& aService,
                                       const PlaceRequest& aRequest) const
{
  const Group homes =
    aRequest.mObject ? Homes(aService.mUpstreams, aRequest) : Group();
  const double usual = aService.mFailures.Share(aNow);
  const bool mayLeave = mShift.MayLeave(aNow);
  const bool mayStay = mShift.MayStay(aNow);
  Candidate best;
  Candidate otherwise;
  for (Upstream* it : aService.mUpstreams) {
    if (!IsUsable(aNow, *it, aRequest)) {
      continue;
    }
    const Warmth warmth = WarmthOf(*it, aRequest, homes);
    Candidate candidate = Rate(aNow, *it, warmth, aRequest, usual);
    if (aRequest.mObject) {
      candidate.mCost += Scale(aRequest.mLatencyTarget, StrayTargets(warmth));
    }
    if (aRequest.mStraggling == it->mSpec.mId) {
      candidate.mCost +=
        Scale(aRequest.mLatencyTarget, mSettings.mStragglingTargets);
    }
    const bool isFree = it->mSpec.mRegion == mRegion
                          ? mayStay
                          : mayLeave && (mayStay || candidate.mHasRoom);
    Candidate& group = isFree ? best : otherwise;
    if (candidate.mCost < group.mCost) {
      group = candidate;
    }
  }
  return best.mUpstream != nullptr ? best : otherwise;
}

PlaceDecision Placement::Place(base::TimePoint aNow,
                               const PlaceRequest& aRequest)
{
  const auto service = mServices.find(aRequest.mService);
  if (service == mServices.end()) {
    return NoUpstream{ kDefaultRetryAfter };
  }
  const Candidate best = BestOf(aNow, service->second, aRequest);
  if (best.mUpstream == nullptr) {
    return NoUpstream{ kDefaultRetryAfter };
  }
  if (best.mIsHopeless) {
    return NoRoom{ best.mExpected - aRequest.mTimeLeft + kDefaultRetryAfter };
  }
  Upstream& upstream = *best.mUpstream;
  if (!best.mHasRoom) {
    ++upstream.mQueued;
    return Wait{ upstream.mSpec.mId, best.mWork + Trip(upstream) };
  }
  upstream.mGauge.OnSent(aNow);
  mShift.OnPlaced(aNow, upstream.mSpec.mRegion != mRegion);
  if (upstream.mColdUntil > aNow && upstream.mSpec.mColdRate > 0) {
    upstream.mColdTokens.Take(aNow);
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
  if (upstream == nullptr || upstream->mGauge.Own() == 0) {
    return; // its process was replaced
  }
  std::optional<base::Duration> work;
  if (aResult.mElapsed && (aResult.mOutcome == Outcome::Answered ||
                           aResult.mOutcome == Outcome::Overtaken)) {
    work = std::max(*aResult.mElapsed - Trip(*upstream),
                    base::Duration(std::chrono::milliseconds(1)));
  }
  if (work && aResult.mOutcome == Outcome::Answered) {
    mWork.Learn(aRequest.mKind, aResult.mWarmth, *work,
                aRequest.mLatencyTarget);
  }
  if (const auto failure = FailureOf(aResult.mOutcome)) {
    mServices[upstream->mSpec.mService].mFailures.Count(aNow, *failure);
  }
  upstream->mGauge.OnEnded(aNow, aResult.mOutcome, work, aResult.mExpectedWork);
  if (upstream->mGauge.IsPaused()) {
    mShift.OnCapacityChanged(aNow);
  }
  if (aResult.mReport) {
    upstream->mGauge.OnReport(aNow, *aResult.mReport);
  }
}

std::vector<base::UpstreamId> Placement::DueChecks(base::TimePoint aNow)
{
  std::vector<base::UpstreamId> due;
  for (const auto& [id, upstream] : mUpstreams) {
    const auto until = upstream->mGauge.PausedUntil();
    if (until && *until <= aNow && !upstream->mIsLeaving) {
      upstream->mGauge.PostponeCheck(aNow);
      due.push_back(id);
    }
  }
  return due;
}

void Placement::OnCheck(base::TimePoint aNow, const base::UpstreamId& aId,
                        bool aIsHealthy, base::Duration aColdFor)
{
  Upstream* upstream = Find(aId);
  if (upstream == nullptr || !upstream->mGauge.IsPaused()) {
    return;
  }
  if (aIsHealthy) {
    upstream->mGauge.OnHealthy(aNow);
    SetCold(aNow, aId, aColdFor);
  }
}

} // namespace auburnmux::placing
