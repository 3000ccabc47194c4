#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/SpillInterface.h"

#include "steering/Steering.h"

#include <functional>
#include <map>

namespace auburnmux::daemon {

/** Slot use of one service on this host. */
struct SlotMeasurement
{
  base::ServiceId mService;
  /** Slots in this host's share. */
  base::SlotCount mShare;
  /** Running or queued requests, without those admitted against a grant. */
  base::SlotCount mLocal;
  /** Requests queued for a slot. */
  base::SlotCount mWaiting;
};

/** Requests, issues and uses grants of slots between data centres, for all
 * services of this host. */
class SpillService final : public SpillInterface
{
public:
  using Measure = std::function<std::vector<SlotMeasurement>()>;
  /** Makes the queued requests of a service try to use a grant again. */
  using Retry = std::function<void(const base::ServiceId&)>;

  SpillService(const DaemonContext& aContext, peer::Transport& aTransport,
               const cluster::ClusterNode& aCluster, Measure aMeasure,
               Retry aRetry);

  void Start();
  void Configure(const config::Snapshot& aSnapshot);
  void OnViewChanged();
  void OnMessage(const protocol::Envelope& aEnvelope);

  std::optional<SpillTicket> TakeTicket(
    const base::ServiceId& aService) override;
  void ReturnTicket(const base::ServiceId& aService, const SpillTicket& aTicket,
                    TicketEnd aEnd) override;
  bool Admit(const base::ServiceId& aService, const base::HostId& aSender,
             std::uint64_t aToken) override;
  bool AdmitForeign(const base::ServiceId& aService,
                    const base::RegionId& aRegion) override;
  void OnAdmittedEnd(const base::ServiceId& aService,
                     const base::HostId& aSender) override;

private:
  struct Service
  {
    steering::GrantIssuer mIssuer;
    steering::GrantHolder mGrants;
    /** Grants that this host issues to itself for clients of other regions. */
    steering::GrantHolder mForeignGrants;
    base::TimePoint mNextForeignRequest;
    std::uint32_t mUnmetRequests = 0;
  };

  void OnTick();
  steering::IssuerSettings MakeIssuerSettings(
    const config::ServiceFile& aService,
    const config::TopologyFile& aTopology) const;
  void OnGrantRequest(const base::HostId& aFrom,
                      const protocol::GrantRequest& aMessage);
  void OnGrantReply(const base::HostId& aFrom,
                    const protocol::GrantReply& aMessage);
  void Plan(const base::ServiceId& aId, Service& aService,
            base::SlotCount aWaiting);
  void RequestForeignSlots(Service& aService, const base::HostId& aSender);

  const DaemonContext& mContext;
  peer::Transport& mTransport;
  const cluster::ClusterNode& mCluster;
  Measure mMeasure;
  Retry mRetry;
  steering::SpillPolicy mPolicy;
  config::TopologyFile mTopology;
  std::map<base::ServiceId, Service> mServices;
};

} // namespace auburnmux::daemon
