#pragma once

#include "quotas/src/ClientTable.h"
#include "quotas/src/ShareBucket.h"

namespace auburnmux::quotas {

/** The root role: grants tokens from one bucket per customer. The buckets have
 * the share of the hosts that are attached. */
class Root
{
public:
  Root(const QuotaSettings& aSettings, StampClock& aClock)
    : mSettings(aSettings)
    , mClock(aClock)
    , mClients(aClock)
  {
  }

  void SetQuotas(base::TimePoint aNow, const QuotaTable& aQuotas);
  /** \returns the answer, or nothing for a late report. */
  std::optional<Grant> OnReport(base::TimePoint aNow, const base::HostId& aFrom,
                                const Report& aReport);
  /** \returns the share of the quotas that this host grants. */
  double Share(base::TimePoint aNow)
  {
    UpdateShare(aNow);
    return mShare;
  }

private:
  void UpdateShare(base::TimePoint aNow);
  Standing GroupStanding(const HostTotals& aTotals) const;
  Allotment Answer(base::TimePoint aNow, const Demand& aDemand);

  QuotaSettings mSettings;
  StampClock& mClock;
  ClientTable mClients;
  double mShare = 0;
  std::unordered_map<CustomerHash, ShareBucket> mBuckets;
};

} // namespace auburnmux::quotas
