#include "quotas/src/ClientTable.h"

#include <algorithm>

namespace auburnmux::quotas {

ClientTable::Verdict ClientTable::OnReport(base::TimePoint aNow,
                                           const base::HostId& aFrom,
                                           const Report& aReport)
{
  RemoveIdle(aNow);
  // An unknown stamp was issued by an earlier process at this address.
  const auto echoed = mClock.TimeOf(aReport.mEcho);
  if (echoed && aNow - *echoed >= kLease) {
    return Verdict::Dropped;
  }
  const bool isNew = mClients.find(aFrom) == mClients.end();
  if (isNew && mClients.size() >= kMaxClients) {
    return Verdict::Dropped;
  }
  Client& client = mClients[aFrom];
  if (aReport.mStamp <= client.mLastStamp) {
    return Verdict::Dropped;
  }
  client.mLastStamp = aReport.mStamp;
  client.mLastSeen = aNow;
  if (!echoed) {
    return Verdict::Accepted;
  }
  const bool wasAttached =
    client.mAttachedUntil > aNow && client.mHosts.mAttached > 0;
  client.mHosts = aReport.mHosts;
  client.mAttachedUntil = std::max(client.mAttachedUntil, *echoed + kLease);
  return wasAttached && aReport.mHosts.mAttached == 0 ? Verdict::Released
                                                      : Verdict::Accepted;
}

HostTotals ClientTable::Totals(base::TimePoint aNow) const
{
  HostTotals totals;
  for (const auto& [host, client] : mClients) {
    if (client.mAttachedUntil > aNow) {
      totals.mAttached += client.mHosts.mAttached;
      totals.mCounted += client.mHosts.mCounted;
      totals.mSharers = std::max(totals.mSharers, client.mHosts.mSharers);
      totals.mKnown = std::max(totals.mKnown, client.mHosts.mKnown);
    }
  }
  return totals;
}

void ClientTable::RemoveIdle(base::TimePoint aNow)
{
  if (aNow < mNextRemoval) {
    return;
  }
  mNextRemoval = aNow + std::chrono::seconds(1);
  for (auto it = mClients.begin(); it != mClients.end();) {
    it = aNow - it->second.mLastSeen >= kIdleRetention ? mClients.erase(it)
                                                       : std::next(it);
  }
}

} // namespace auburnmux::quotas
