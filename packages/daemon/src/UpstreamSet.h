#pragma once

#include "balancing/Balancing.h"
#include "config/Config.h"
#include "daemon/src/DaemonContext.h"
#include "limits/Limits.h"

#include <map>
#include <vector>

namespace auburnmux::daemon {

/** Hosts and data centres that decide this host's share of upstreams. */
struct UpstreamShareInputs
{
  /** Data centres whose upstreams this host uses: its own, and those of its
   * region that have no live host. */
  std::vector<base::DataCentreId> mDataCentres;
  /** Live hosts of this host's data centre, this one included. */
  std::vector<base::HostId> mLiveHosts;
  /** Every host that may ever proxy to these upstreams. */
  std::vector<base::HostId> mPossibleHosts;
};

/** The upstreams of one service at this host, with their adaptive limits. */
class UpstreamSet
{
public:
  explicit UpstreamSet(const DaemonContext& aContext);

  /** Takes a new configuration or a new view of the hosts. */
  void Configure(base::TimePoint aNow, const config::ServiceFile& aService,
                 const UpstreamShareInputs& aInputs);

  balancing::Pool& Pool() { return mPool; }
  /** \returns where the upstream listens, or null when it was removed. */
  const http::Endpoint* Find(const base::UpstreamId& aUpstream) const;
  /** \returns this host's share of the upstream's slots. */
  base::SlotCount Share(const base::UpstreamId& aUpstream) const;

  /** Adapts the upstream's limit to a latency seen there. */
  void OnLatency(const base::UpstreamId& aUpstream, base::Duration aLatency,
                 bool aHasWaiting);
  /** The upstream refused work because it was full. */
  void OnShed(const base::UpstreamId& aUpstream);

  base::SlotCount FreeSlots(base::TimePoint aNow);
  base::SlotCount TotalSlots() const;
  std::vector<balancing::UpstreamStatus> Status(base::TimePoint aNow);

private:
  struct Entry
  {
    http::Endpoint mEndpoint;
    limits::ConcurrencyLimit mLimit;
  };

  balancing::UpstreamSpec MakeSpec(const config::ServiceFile& aService,
                                   const config::Upstream& aUpstream,
                                   const UpstreamShareInputs& aInputs) const;
  void ApplyLimit(const base::UpstreamId& aUpstream, const Entry& aEntry);

  const DaemonContext& mContext;
  balancing::Pool mPool;
  std::map<base::UpstreamId, Entry> mEntries;
};

} // namespace auburnmux::daemon
