#pragma once

#include "base/Base.h"
#include "carriage/Carriage.h"
#include "http/Http.h"
#include "membership/Membership.h"
#include "placing/Placing.h"
#include "quotas/Quotas.h"

#include <map>
#include <vector>

namespace auburnmux::entry {

/** Settings of an entry host. */
struct EntrySettings
{
  /** Unique for each start of a process, so that two starts needn't be ordered
   * by a clock. */
  base::HostId mHost;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  /** The region of each data centre. */
  std::map<base::DataCentreId, base::RegionId> mRegions;
  /** Processor and link capacity of this host. */
  membership::HostCapacity mCapacity;
  /** Where clients send their requests. */
  http::Endpoint mFront;
  /** Where other hosts send their messages. */
  http::Endpoint mPeer;
  /** Hosts to contact first to learn of the others. */
  std::vector<http::Endpoint> mSeeds;

  /** Time from the signal to stop until the process is killed. */
  base::Duration mStopGrace = std::chrono::seconds(6);
  /** How long clients may cache a lookup response. */
  base::Duration mLookupLifetime = std::chrono::seconds(2);
  /** Retry budget of a service, for all hosts together. */
  carriage::WindowedRetryBudgetSettings mRetryBudget;
  placing::PlacingSettings mPlacing;
  /** By how much the quotas of customers may be exceeded. */
  quotas::QuotaSettings mQuotas;
};

} // namespace auburnmux::entry
