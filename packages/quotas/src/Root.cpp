#include "quotas/src/Root.h"

#include <algorithm>

namespace auburnmux::quotas {

void Root::SetQuotas(base::TimePoint aNow, const QuotaTable& aQuotas)
{
  UpdateShare(aNow);
  for (auto it = mBuckets.begin(); it != mBuckets.end();) {
    it = aQuotas.count(it->first) == 0 ? mBuckets.erase(it) : std::next(it);
  }
  for (const auto& [customer, quota] : aQuotas) {
    const auto bucket = mBuckets.find(customer);
    if (bucket == mBuckets.end()) {
      mBuckets.emplace(customer, ShareBucket(aNow, quota, mShare, mSettings));
    } else {
      bucket->second.Advance(aNow, mShare);
      bucket->second.SetQuota(quota);
    }
  }
}

void Root::UpdateShare(base::TimePoint aNow)
{
  const HostTotals totals = mClients.Totals(aNow);
  const double share = totals.mSharers == 0
                         ? 0
                         : static_cast<double>(totals.mCounted) /
                             std::max(totals.mSharers, totals.mAttached);
  if (share == mShare) {
    return;
  }
  // Attachments may have expired at any time since the last call, for example
  // while this process was suspended, so that only the lesser share counts.
  for (auto& [customer, bucket] : mBuckets) {
    bucket.Advance(aNow, std::min(share, mShare));
    bucket.SetShare(share);
  }
  mShare = share;
}

Standing Root::GroupStanding(const HostTotals& aTotals) const
{
  if (aTotals.mKnown == 0) {
    return Standing::Fresh;
  }
  return aTotals.mAttached >= aTotals.mKnown ? Standing::Whole
                                             : Standing::Partial;
}

std::optional<Grant> Root::OnReport(base::TimePoint aNow,
                                    const base::HostId& aFrom,
                                    const Report& aReport)
{
  UpdateShare(aNow);
  if (mClients.OnReport(aNow, aFrom, aReport) ==
      ClientTable::Verdict::Dropped) {
    return std::nullopt;
  }
  UpdateShare(aNow);
  Grant grant;
  grant.mLevel = Level::Root;
  grant.mEcho = aReport.mStamp;
  grant.mStanding = GroupStanding(mClients.Totals(aNow));
  for (const Demand& it : aReport.mDemands) {
    const Allotment allotment = Answer(aNow, it);
    if (allotment.mTokens > 0 || allotment.mRetryAfter.count() > 0) {
      grant.mAllotments.push_back(allotment);
    }
  }
  grant.mStamp = mClock.Next(aNow);
  return grant;
}

Allotment Root::Answer(base::TimePoint aNow, const Demand& aDemand)
{
  auto bucket = mBuckets.find(aDemand.mCustomer);
  if (bucket == mBuckets.end()) {
    if (!aDemand.mQuota || mBuckets.size() >= kMaxCustomers) {
      return { aDemand.mCustomer, 0, {}, kUnknownRetry };
    }
    // This host doesn't have the newest quotas yet.
    bucket = mBuckets
               .emplace(aDemand.mCustomer,
                        ShareBucket(aNow, *aDemand.mQuota, mShare, mSettings))
               .first;
  }
  bucket->second.Advance(aNow, mShare);
  Allotment allotment{ aDemand.mCustomer };
  allotment.mTokens = bucket->second.Take(aDemand.mWaiting, aDemand.mAhead);
  allotment.mLifetime = mSettings.TokenLifetime();
  if (allotment.mTokens < aDemand.mWaiting) {
    allotment.mRetryAfter = bucket->second.TimeToToken();
  }
  return allotment;
}

} // namespace auburnmux::quotas
