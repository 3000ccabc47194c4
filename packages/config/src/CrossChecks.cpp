#include "config/src/CrossChecks.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace auburnmux::config {

namespace {

std::string PlaceText(const base::Place& aPlace)
{
  std::ostringstream out;
  out << aPlace;
  return out.str();
}

/** Finds keys that occur twice and reports the second with the first. */
template<typename Key>
class UniqueKeys
{
public:
  UniqueKeys(std::string aWhat, base::Findings& aFindings)
    : mWhat(std::move(aWhat))
    , mFindings(aFindings)
  {
  }

  void Add(const Key& aKey, const std::string& aText, const base::Place& aPlace)
  {
    const auto [it, isNew] = mFirst.emplace(aKey, aPlace);
    if (!isNew) {
      mFindings.Add(aPlace, mWhat + " \"" + aText +
                              "\" is used twice; first at " +
                              PlaceText(it->second));
    }
  }

private:
  std::string mWhat;
  base::Findings& mFindings;
  std::map<Key, base::Place> mFirst;
};

template<typename Id>
std::pair<Id, Id> Ordered(const Id& aLeft, const Id& aRight)
{
  return aRight < aLeft ? std::pair(aRight, aLeft) : std::pair(aLeft, aRight);
}

void CheckTopologyNames(const TopologyFile& aTopology,
                        base::Findings& aFindings)
{
  UniqueKeys<base::RegionId> regions("region", aFindings);
  UniqueKeys<base::DataCentreId> dataCentres("data centre", aFindings);
  for (const Region& region : aTopology.mRegions) {
    if (!region.mName.IsEmpty()) {
      regions.Add(region.mName, region.mName.Text(), region.mPlace);
    }
    for (const DataCentre& it : region.mDataCentres) {
      if (!it.mName.IsEmpty()) {
        dataCentres.Add(it.mName, it.mName.Text(), it.mPlace);
      }
    }
  }
}

void CheckDataCentre(const TopologyFile& aTopology,
                     const base::DataCentreId& aName, const base::Place& aPlace,
                     base::Findings& aFindings)
{
  if (!aName.IsEmpty() && aTopology.FindDataCentre(aName) == nullptr) {
    aFindings.Add(aPlace, "data centre \"" + aName.Text() +
                            "\" is not in the topology");
  }
}

void CheckPairs(const TopologyFile& aTopology, base::Findings& aFindings)
{
  using DataCentrePair = std::pair<base::DataCentreId, base::DataCentreId>;
  UniqueKeys<DataCentrePair> delays("measured delay", aFindings);
  for (const DelayOverride& it : aTopology.mDelays.mOverrides) {
    CheckDataCentre(aTopology, it.mLeft, it.mPlace, aFindings);
    CheckDataCentre(aTopology, it.mRight, it.mPlace, aFindings);
    delays.Add(Ordered(it.mLeft, it.mRight),
               it.mLeft.Text() + " - " + it.mRight.Text(), it.mPlace);
  }
  using RegionPair = std::pair<base::RegionId, base::RegionId>;
  UniqueKeys<RegionPair> links("link", aFindings);
  for (const Link& it : aTopology.mLinks) {
    for (const base::RegionId& region : { it.mLeft, it.mRight }) {
      if (!region.IsEmpty() && aTopology.FindRegion(region) == nullptr) {
        aFindings.Add(it.mPlace, "region \"" + region.Text() +
                                   "\" is not in the topology");
      }
    }
    links.Add(Ordered(it.mLeft, it.mRight),
              it.mLeft.Text() + " - " + it.mRight.Text(), it.mPlace);
  }
}

void CheckSites(const TopologyFile& aTopology, base::Findings& aFindings)
{
  UniqueKeys<SiteId> sites("site", aFindings);
  UniqueKeys<std::string> blocks("block", aFindings);
  for (const Site& site : aTopology.mSites) {
    CheckDataCentre(aTopology, site.mDataCentre, site.mPlace, aFindings);
    if (!site.mName.IsEmpty()) {
      sites.Add(site.mName, site.mName.Text(), site.mPlace);
    }
    for (const AddressPrefix& it : site.mBlocks) {
      blocks.Add(it.Text(), it.Text(), site.mPlace);
    }
  }
}

/** Checks that every host gets a connection, and a slot where it needs one. */
void CheckShares(const TopologyFile& aTopology, const Upstream& aUpstream,
                 base::Findings& aFindings)
{
  const Region* region = aTopology.RegionOf(aUpstream.mDataCentre);
  if (region == nullptr) {
    return;
  }
  const HostSlotCount inRegion = aTopology.HostSlotsOfRegion(region->mName);
  if (aUpstream.mConnections.Count() < inRegion.Count()) {
    aFindings.Add(aUpstream.mPlace, "connections of \"" + aUpstream.mId.Text() +
                                      "\" are fewer than the region's " +
                                      std::to_string(inRegion.Count()) +
                                      " host slots");
  }
  const DataCentre* own = aTopology.FindDataCentre(aUpstream.mDataCentre);
  if (aUpstream.mSlots.Count() < own->mHostSlots.Count()) {
    aFindings.Add(aUpstream.mPlace, "slots of \"" + aUpstream.mId.Text() +
                                      "\" are fewer than the data centre's " +
                                      std::to_string(own->mHostSlots.Count()) +
                                      " host slots");
  }
}

void CheckUpstreams(const Snapshot& aSnapshot, base::Findings& aFindings)
{
  UniqueKeys<base::UpstreamId> ids("upstream", aFindings);
  UniqueKeys<Endpoint> endpoints("address", aFindings);
  for (const ServiceFile& service : aSnapshot.mServices) {
    for (const Upstream& it : service.mUpstreams) {
      if (!it.mId.IsEmpty()) {
        ids.Add(it.mId, it.mId.Text(), it.mPlace);
      }
      if (!it.mEndpoint.mAddress.empty()) {
        endpoints.Add(it.mEndpoint, it.mEndpoint.Text(), it.mPlace);
      }
      CheckDataCentre(aSnapshot.mTopology, it.mDataCentre, it.mPlace,
                      aFindings);
      CheckShares(aSnapshot.mTopology, it, aFindings);
    }
  }
}

void CheckLeaving(const ServiceFile& aService, base::Findings& aFindings)
{
  std::set<base::UpstreamId> seen;
  for (const base::UpstreamId& it : aService.mLeaving) {
    if (aService.FindUpstream(it) == nullptr) {
      aFindings.Add(aService.mLeavingPlace, "leaving upstream \"" + it.Text() +
                                              "\" is not an upstream of \"" +
                                              aService.mService.Text() + '"');
    }
    if (!seen.insert(it).second) {
      aFindings.Add(aService.mLeavingPlace,
                    "leaving upstream \"" + it.Text() + "\" is listed twice");
    }
  }
  const bool hasWorking = std::any_of(
    aService.mUpstreams.begin(), aService.mUpstreams.end(),
    [&](const Upstream& aOther) { return !aService.IsLeaving(aOther.mId); });
  if (!hasWorking) {
    aFindings.Add(aService.mPlace, "service \"" + aService.mService.Text() +
                                     "\" has no upstream that isn't leaving");
  }
}

void CheckRoutes(const ServiceFile& aService, base::Findings& aFindings)
{
  using Key = std::pair<std::string, HttpMethod>;
  UniqueKeys<Key> keys("route", aFindings);
  for (const Route& it : aService.mRoutes) {
    // A trailing '/' matches the same requests below the path.
    std::string path = it.mPath;
    if (path.size() > 1 && path.back() == '/') {
      path.pop_back();
    }
    for (const HttpMethod method : it.mMethods) {
      keys.Add({ path, method }, std::string(MethodName(method)) + ' ' + path,
               it.mPlace);
    }
  }
}

/** \returns the load that a full spill-over puts on links into a region. */
double SpillInto(const ServiceFile& aService, const Region& aRegion)
{
  double load = 0;
  for (const DataCentre& it : aRegion.mDataCentres) {
    load += static_cast<double>(aService.SlotsIn(it.mName).Count()) *
            aService.mSpill.mMaxShare.Count() *
            static_cast<double>(aService.mSpill.mLinkPerSlot.Count());
  }
  return load;
}

/** Checks that all spill-over into a region fits its smallest link. */
void CheckLinks(const Snapshot& aSnapshot, base::Findings& aFindings)
{
  for (const Region& region : aSnapshot.mTopology.mRegions) {
    const Link* smallest = nullptr;
    for (const Link& it : aSnapshot.mTopology.mLinks) {
      if ((it.mLeft == region.mName || it.mRight == region.mName) &&
          (smallest == nullptr || it.mLimit < smallest->mLimit)) {
        smallest = &it;
      }
    }
    double load = 0;
    for (const ServiceFile& it : aSnapshot.mServices) {
      load += SpillInto(it, region);
    }
    if (smallest != nullptr &&
        load > static_cast<double>(smallest->mLimit.Count())) {
      std::ostringstream out;
      out << "spill caps of all services into region \"" << region.mName
          << "\" add up to " << load << " Mbit/s; its smallest link carries "
          << smallest->mLimit << " Mbit/s";
      aFindings.Add(smallest->mPlace, out.str());
    }
  }
}

} // namespace

void CheckTogether(const Snapshot& aSnapshot, ParseReport& aReport)
{
  base::Findings& findings = aReport.mErrors;
  CheckTopologyNames(aSnapshot.mTopology, findings);
  CheckPairs(aSnapshot.mTopology, findings);
  CheckSites(aSnapshot.mTopology, findings);
  UniqueKeys<base::ServiceId> services("service", findings);
  for (const ServiceFile& it : aSnapshot.mServices) {
    if (!it.mService.IsEmpty()) {
      services.Add(it.mService, it.mService.Text(), it.mPlace);
    }
    CheckLeaving(it, findings);
    CheckRoutes(it, findings);
  }
  CheckUpstreams(aSnapshot, findings);
  CheckLinks(aSnapshot, findings);
}

} // namespace auburnmux::config
