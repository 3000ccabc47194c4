#include "config/src/Snapshot.h"

#include "config/src/internal/SnapshotJson.h"

#include <algorithm>
#include <tuple>

namespace auburnmux::config {

namespace internal {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1'000.0;

double Milliseconds(std::chrono::microseconds aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerMillisecond;
}

template<typename Range>
nlohmann::json ToList(const Range& aRange)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& it : aRange) {
    list.push_back(ToJson(it));
  }
  return list;
}

} // namespace

nlohmann::json ToJson(const Upstream& aUpstream)
{
  return { { "id", aUpstream.mId.Text() },
           { "data_centre", aUpstream.mDataCentre.Text() },
           { "address", aUpstream.mEndpoint.mAddress },
           { "port", aUpstream.mEndpoint.mPort.Count() },
           { "slots", aUpstream.mSlots.Count() },
           { "connections", aUpstream.mConnections.Count() } };
}

nlohmann::json ToJson(const Route& aRoute)
{
  nlohmann::json methods = nlohmann::json::array();
  for (const HttpMethod it : aRoute.mMethods) {
    methods.push_back(MethodName(it));
  }
  return { { "path", aRoute.mPath },
           { "methods", std::move(methods) },
           { "work", WorkKindName(aRoute.mWork) },
           { "class", WorkClassName(aRoute.mClass) },
           { "deadline_ms", aRoute.mDeadline.count() },
           { "max_body_bytes", aRoute.mMaxBody.Count() } };
}

nlohmann::json ToJson(const SpillCap& aCap)
{
  return { { "max_share", aCap.mMaxShare.Count() },
           { "ramp_per_s", aCap.mRampPerSecond.Count() },
           { "mbit_per_slot", aCap.mLinkPerSlot.Count() } };
}

nlohmann::json ToJson(const base::UpstreamId& aUpstream)
{
  return aUpstream.Text();
}

nlohmann::json ToJson(const ServiceFile& aService)
{
  return { { "service", aService.mService.Text() },
           { "owner", aService.mOwner },
           { "upstreams", ToList(aService.mUpstreams) },
           { "routes", ToList(aService.mRoutes) },
           { "spill", ToJson(aService.mSpill) },
           { "leaving", ToList(aService.mLeaving) },
           { "slow_start_s", aService.mSlowStart.count() },
           { "stall_ms", aService.mStall.count() } };
}

nlohmann::json ToJson(const DataCentre& aDataCentre)
{
  return { { "name", aDataCentre.mName.Text() },
           { "host_slots", aDataCentre.mHostSlots.Count() } };
}

nlohmann::json ToJson(const Region& aRegion)
{
  return { { "name", aRegion.mName.Text() },
           { "data_centres", ToList(aRegion.mDataCentres) } };
}

nlohmann::json ToJson(const DelayOverride& aDelay)
{
  return { { "between", { aDelay.mLeft.Text(), aDelay.mRight.Text() } },
           { "one_way_ms", Milliseconds(aDelay.mOneWay) } };
}

nlohmann::json ToJson(const Delays& aDelays)
{
  return { { "in_region_ms", Milliseconds(aDelays.mInRegion) },
           { "between_regions_ms", Milliseconds(aDelays.mBetweenRegions) },
           { "measured", ToList(aDelays.mOverrides) } };
}

nlohmann::json ToJson(const Link& aLink)
{
  return { { "between", { aLink.mLeft.Text(), aLink.mRight.Text() } },
           { "mbit_per_s", aLink.mLimit.Count() } };
}

nlohmann::json ToJson(const AddressPrefix& aPrefix)
{
  return aPrefix.Text();
}

nlohmann::json ToJson(const Site& aSite)
{
  return { { "name", aSite.mName.Text() },
           { "data_centre", aSite.mDataCentre.Text() },
           { "blocks", ToList(aSite.mBlocks) } };
}

nlohmann::json ToJson(const TopologyFile& aTopology)
{
  return { { "regions", ToList(aTopology.mRegions) },
           { "delays", ToJson(aTopology.mDelays) },
           { "links", ToList(aTopology.mLinks) },
           { "sites", ToList(aTopology.mSites) },
           { "lookup_lifetime_ms", aTopology.mLookupLifetime.count() } };
}

std::string Dump(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace internal

namespace {

template<typename Range, typename Key>
void SortBy(Range& aRange, Key aKey)
{
  std::stable_sort(aRange.begin(), aRange.end(),
                   [&aKey](const auto& aLeft, const auto& aRight) {
                     return aKey(aLeft) < aKey(aRight);
                   });
}

/** Puts the smaller name of a pair first and sorts the pairs. */
template<typename Pair>
void SortPairs(std::vector<Pair>& aPairs)
{
  for (Pair& it : aPairs) {
    if (it.mRight < it.mLeft) {
      std::swap(it.mLeft, it.mRight);
    }
  }
  SortBy(aPairs,
         [](const Pair& aPair) { return std::tie(aPair.mLeft, aPair.mRight); });
}

void SortTopology(TopologyFile& aTopology)
{
  const auto name = [](const auto& aItem) { return aItem.mName; };
  SortBy(aTopology.mRegions, name);
  for (Region& it : aTopology.mRegions) {
    SortBy(it.mDataCentres, name);
  }
  SortPairs(aTopology.mDelays.mOverrides);
  SortPairs(aTopology.mLinks);
  SortBy(aTopology.mSites, name);
  for (Site& it : aTopology.mSites) {
    SortBy(it.mBlocks, [](const AddressPrefix& aPrefix) {
      return std::tie(aPrefix.mAddress, aPrefix.mLength);
    });
  }
}

void SortService(ServiceFile& aService)
{
  SortBy(aService.mUpstreams,
         [](const Upstream& aUpstream) { return aUpstream.mId; });
  SortBy(aService.mRoutes, [](const Route& aRoute) {
    return std::tie(aRoute.mPath, aRoute.mMethods);
  });
  std::sort(aService.mLeaving.begin(), aService.mLeaving.end());
}

} // namespace

void SortSnapshot(Snapshot& aSnapshot)
{
  SortTopology(aSnapshot.mTopology);
  for (ServiceFile& it : aSnapshot.mServices) {
    SortService(it);
  }
  SortBy(aSnapshot.mServices,
         [](const ServiceFile& aService) { return aService.mService; });
}

std::string EncodeSnapshot(const Snapshot& aSnapshot)
{
  Snapshot sorted = aSnapshot;
  SortSnapshot(sorted);
  return internal::Dump({ { "format", kSnapshotFormat },
                          { "topology", internal::ToJson(sorted.mTopology) },
                          { "services", internal::ToList(sorted.mServices) } });
}

Digest DigestOf(std::string_view aBytes)
{
  return Digest(base::DigestHex(aBytes));
}

} // namespace auburnmux::config
