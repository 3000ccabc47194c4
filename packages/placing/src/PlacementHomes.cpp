#include "placing/src/Placement.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace auburnmux::placing {

namespace {

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

} // namespace

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

} // namespace auburnmux::placing
