#pragma once

#include "balancing/Balancing.h"
#include "config/Config.h"
#include "daemon/src/DaemonContext.h"
#include "limits/Limits.h"

#include <map>
#include <vector>

namespace auburnmux::daemon {

/** Data centres and hosts that determine this host's share of the upstreams. */
struct UpstreamShareInputs
{
  /** Data centres whose upstreams this host uses: its own, and those of its
   * region without a live host to which its own is the nearest live one. */
  std::vector<base::DataCentreId> mDataCentres;
  /** Live hosts of this host's data centre, this one included. */
  std::vector<base::HostId> mLiveHosts;
  /** All hosts that the topology allows to forward to these upstreams. */
  std::vector<base::HostId> mPossibleHosts;
};

/** The upstreams of one service as this host uses them, with their adaptive
 * concurrency limits. */
class UpstreamSet
{
public:
  explicit UpstreamSet(const DaemonContext& aContext);

  /** Applies a new configuration or membership view. */
  void Configure(base::TimePoint aNow, const config::ServiceFile& aService,
                 const UpstreamShareInputs& aInputs);

  balancing::Pool& Pool() { return mPool; }
  /** \returns the upstream's endpoint, or null when it was removed. */
  const http::Endpoint* Find(const base::UpstreamId& aUpstream) const;
  /** \returns whether the upstream is configured or announced to leave. */
  bool IsLeaving(const base::UpstreamId& aUpstream);
  /** \returns this host's share of the upstream's slots. */
  base::SlotCount Share(const base::UpstreamId& aUpstream) const;

  /** Adapts the upstream's concurrency limit to a latency sample. */
  void OnLatency(const base::UpstreamId& aUpstream, base::Duration aLatency,
                 bool aHasWaiting);
  /** Lowers the upstream's limit after it refused a request without starting
   * it. */
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
