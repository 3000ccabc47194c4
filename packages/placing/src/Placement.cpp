#include "placing/src/Placement.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace auburnmux::placing {

namespace {

/** Weight of a measured round trip that is longer than the ones before. */
constexpr double kTripWeight = 0.05;

/** Retry-After when no estimate of the wait exists. */
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

constexpr double kBytesPerKilobyte = 1000;

/** \returns where the object stands in the order in which objects are at home
 * in their region, independent of the order of upstreams. */
double HomeRank(ObjectHash aObject)
{
  static const std::uint64_t sSalt = base::Hash64("home rank");
  return base::HashFraction(base::CombineHash(sSalt, aObject.Count()));
}

/** How often supply and demand are compared. */
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
  const bool isHere = HomeRank(*aRequest.mObject) < aService.mHomes.Share();
  take(isHere ? here : elsewhere, kMainHomes);
  take(isHere ? elsewhere : here, kOtherHomes);
  return homes;
}

void Placement::UpdateHomeShare(base::TimePoint aNow, Service& aService)
{
  if (aNow - aService.mHomesUpdated < kHomeSharePeriod) {
    return;
  }
  aService.mHomesUpdated = aNow;
  Supply supply;
  supply.mCentreHosts = mHosts.mCentre;
  supply.mRegionCentres = mHosts.mRegionCentres;
  supply.mRegions = mHosts.mRegions;
  std::set<base::RegionId> regions{ mRegion };
  for (const Upstream* it : aService.mUpstreams) {
    regions.insert(it->mSpec.mRegion);
    if (!it->mIsLeaving && !it->mIsEvacuated && !it->mGauge.IsPaused()) {
      const double slots = it->mGauge.Slots().Count();
      supply.mAllSlots += slots;
      supply.mRegionSlots += it->mSpec.mRegion == mRegion ? slots : 0;
    }
  }
  supply.mRegions = std::max(supply.mRegions, regions.size());
  aService.mHomes.Update(aNow, supply, mShift.IsLifted(aNow));
}

Placement::Outlook Placement::MakeOutlook(base::TimePoint aNow,
                                          const Service& aService,
                                          const PlaceRequest& aRequest) const
{
  Outlook outlook;
  if (aRequest.mObject) {
    outlook.mHomes = Homes(aService, aRequest);
  }
  outlook.mUsualLoad = aService.mLoad.Usual(aNow);
  outlook.mUsualFailures = aService.mFailures.Share(aNow);
  return outlook;
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

Placement::Candidate Placement::Rate(base::TimePoint aNow, Upstream& aUpstream,
                                     Warmth aWarmth,
                                     const PlaceRequest& aRequest,
                                     const Outlook& aOutlook) const
{
  const UpstreamGauge& gauge = aUpstream.mGauge;
  const base::Duration work =
    mWork.Expect(aRequest.mKind, aWarmth, aRequest.mLatencyTarget);
  Candidate candidate;
  candidate.mUpstream = &aUpstream;
  candidate.mWarmth = aWarmth;
  const UsualLoad usual{ aOutlook.mUsualLoad, aUpstream.mSpec.mRegion == mRegion
                                                ? mHosts.mRegion
                                                : mHosts.mLive };
  const base::Duration wait = gauge.Wait(aNow, usual, aUpstream.mQueued);
  candidate.mHasRoom = gauge.HasRoom(aNow, usual);
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
    std::max(0.0, gauge.FailureShare(aNow) - aOutlook.mUsualFailures);
  candidate.mCost =
    candidate.mExpected + gauge.Silence(aNow) +
    TransferCost(aUpstream, aRequest.mBytes) +
    Scale(aRequest.mLatencyTarget, mSettings.mFailureTargets * failures);
  return candidate;
}

double Placement::StrayTargets(Warmth aWarmth,
                               std::optional<double> aUsualLoad) const
{
  const double pressure =
    std::max(0.0, aUsualLoad.value_or(0) - mSettings.mCalmLoad);
  const double factor = 1 + mSettings.mPressureFactor * pressure;
  switch (aWarmth) {
    case Warmth::Recent:
    case Warmth::Home:
      return 0;
    case Warmth::SpareHome:
    case Warmth::RemoteHome:
      return mSettings.mSpareTargets * factor;
    case Warmth::None:
      return mSettings.mStrayTargets * factor;
  }
  return 0;
}

Placement::Candidate Placement::BestOf(base::TimePoint aNow,
                                       const Service& aService,
                                       const PlaceRequest& aRequest) const
{
  const Outlook outlook = MakeOutlook(aNow, aService, aRequest);
  const bool mayLeave = mShift.MayLeave(aNow);
  const bool mayStay = mShift.MayStay(aNow);
  Candidate best;
  Candidate otherwise;
  for (Upstream* it : aService.mUpstreams) {
    if (!IsUsable(aNow, *it, aRequest)) {
      continue;
    }
    const Warmth warmth = WarmthOf(*it, aRequest, outlook.mHomes);
    Candidate candidate = Rate(aNow, *it, warmth, aRequest, outlook);
    if (aRequest.mObject) {
      candidate.mCost += Scale(aRequest.mLatencyTarget,
                               StrayTargets(warmth, outlook.mUsualLoad));
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
  if (!aRequest.mIsPlacedBefore) {
    service->second.mHomes.OnRequest(
      aNow,
      mWork.Expect(aRequest.mKind, Warmth::Recent, aRequest.mLatencyTarget));
  }
  UpdateHomeShare(aNow, service->second);
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
    const LoadReport& report = *aResult.mReport;
    upstream->mGauge.OnReport(aNow, report);
    if (report.mSlots.Count() > 0) {
      mServices[upstream->mSpec.mService].mLoad.OnReport(
        aNow, static_cast<double>(report.mRunning + report.mWaiting) /
                report.mSlots.Count());
    }
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
