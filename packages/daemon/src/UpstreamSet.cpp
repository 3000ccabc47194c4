#include "daemon/src/UpstreamSet.h"

#include <algorithm>

namespace auburnmux::daemon {

namespace {

balancing::Pool MakePool(const FeatureFlags& aFeatures)
{
  if (aFeatures.mBalancing) {
    return balancing::UpstreamPool();
  }
  return balancing::RoundRobinPool();
}

} // namespace

UpstreamSet::UpstreamSet(const DaemonContext& aContext)
  : mContext(aContext)
  , mPool(MakePool(aContext.mFeatures))
{
}

balancing::UpstreamSpec UpstreamSet::MakeSpec(
  const config::ServiceFile& aService, const config::Upstream& aUpstream,
  const UpstreamShareInputs& aInputs) const
{
  const base::HostId& self = mContext.mSettings.mHost;
  balancing::UpstreamSpec spec;
  spec.mId = aUpstream.mId;
  spec.mConnections = limits::SlotShare::Connections(
    aUpstream.mId, aUpstream.mConnections, self, aInputs.mPossibleHosts);
  // With more hosts than slots, the last hosts in rendezvous order get no slot,
  // so that the sum of all shares never exceeds the slots.
  spec.mSlots =
    limits::SlotShare::Slots(aUpstream.mId, aUpstream.mSlots, self,
                             aInputs.mLiveHosts, limits::ShareFloor::None);
  if (!mContext.mFeatures.mBalancing) {
    spec.mSlots = base::SlotCount(spec.mConnections.Count());
  }
  spec.mLeaving = aService.IsLeaving(aUpstream.mId);
  return spec;
}

void UpstreamSet::Configure(base::TimePoint aNow,
                            const config::ServiceFile& aService,
                            const UpstreamShareInputs& aInputs)
{
  std::vector<balancing::UpstreamSpec> specs;
  std::map<base::UpstreamId, Entry> entries;
  for (const config::Upstream& it : aService.mUpstreams) {
    const auto& centres = aInputs.mDataCentres;
    if (std::find(centres.begin(), centres.end(), it.mDataCentre) ==
        centres.end()) {
      continue;
    }
    specs.push_back(MakeSpec(aService, it, aInputs));
    const base::SlotCount share = specs.back().mSlots;
    const auto old = mEntries.find(it.mId);
    Entry entry = old == mEntries.end()
                    ? Entry{ {}, limits::ConcurrencyLimit(share) }
                    : old->second;
    entry.mEndpoint = { it.mEndpoint.mAddress, it.mEndpoint.mPort };
    entry.mLimit.SetShare(share);
    entries.emplace(it.mId, entry);
  }
  mEntries = std::move(entries);
  balancing::VisitPool(mPool,
                       [&](auto& aPool) { aPool.Configure(aNow, specs); });
  for (const auto& [id, entry] : mEntries) {
    ApplyLimit(id, entry);
  }
}

void UpstreamSet::ApplyLimit(const base::UpstreamId& aUpstream,
                             const Entry& aEntry)
{
  if (mContext.mFeatures.mBalancing) {
    balancing::VisitPool(mPool, [&](auto& aPool) {
      aPool.SetLimit(aUpstream, aEntry.mLimit.Limit());
    });
  }
}

const http::Endpoint* UpstreamSet::Find(const base::UpstreamId& aUpstream) const
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() ? nullptr : &it->second.mEndpoint;
}

bool UpstreamSet::IsLeaving(const base::UpstreamId& aUpstream)
{
  const auto all = Status(mContext.mLoop.Now());
  return std::any_of(all.begin(), all.end(),
                     [&](const balancing::UpstreamStatus& aIt) {
                       return aIt.mId == aUpstream && aIt.mLeaving;
                     });
}

base::SlotCount UpstreamSet::Share(const base::UpstreamId& aUpstream) const
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() ? base::SlotCount(0) : it->second.mLimit.Share();
}

void UpstreamSet::OnLatency(const base::UpstreamId& aUpstream,
                            base::Duration aLatency, bool aHasWaiting)
{
  const auto it = mEntries.find(aUpstream);
  if (it != mEntries.end()) {
    it->second.mLimit.OnSample(aLatency, aHasWaiting);
    ApplyLimit(aUpstream, it->second);
  }
}

void UpstreamSet::OnShed(const base::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  if (it != mEntries.end()) {
    it->second.mLimit.OnShed();
    ApplyLimit(aUpstream, it->second);
  }
}

base::SlotCount UpstreamSet::FreeSlots(base::TimePoint aNow)
{
  return balancing::VisitPool(
    mPool, [&](auto& aPool) { return aPool.FreeSlots(aNow); });
}

base::SlotCount UpstreamSet::TotalSlots() const
{
  base::SlotCount total;
  for (const auto& [id, entry] : mEntries) {
    total += entry.mLimit.Limit();
  }
  return total;
}

std::vector<balancing::UpstreamStatus> UpstreamSet::Status(base::TimePoint aNow)
{
  return balancing::VisitPool(mPool,
                              [&](auto& aPool) { return aPool.Status(aNow); });
}

} // namespace auburnmux::daemon
