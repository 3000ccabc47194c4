#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/ServiceRuntime.h"

#include <map>
#include <memory>

namespace auburnmux::daemon {

/** The services of the configuration in force, and their requests. */
class ServiceManager
{
public:
  ServiceManager(const DaemonContext& aContext,
                 const cluster::ClusterNode& aCluster,
                 RequestDependencies aDependencies);

  void Start();
  /** Takes a new configuration or a new view of the hosts. */
  void Configure(const config::Snapshot& aSnapshot);

  /** \returns the service, or null when it isn't in force. */
  ServiceRuntime* Find(const base::ServiceId& aService);
  const std::map<base::ServiceId, std::unique_ptr<ServiceRuntime>>& Services()
    const
  {
    return mServices;
  }
  /** Takes over a request on a service's path. */
  void Accept(const std::shared_ptr<http::ServerExchange>& aExchange);
  /** \returns what the grants of all services are computed from. */
  std::vector<SlotMeasurement> Measure() const;
  /** \returns requests that are not finished. */
  std::size_t OpenRequests() const;

  /** \returns which upstreams this host uses, for the hosts alive now. */
  UpstreamShareInputs MakeShareInputs(
    const config::TopologyFile& aTopology) const;

private:
  /** \returns whether this host's data centre is the nearest one with live
   * hosts to \a aCentre, which has none. */
  bool TakesOver(const config::TopologyFile& aTopology,
                 const config::Region& aRegion,
                 const base::DataCentreId& aCentre) const;
  bool HasLiveHost(const base::DataCentreId& aCentre) const;
  void OnTick();
  void ScheduleTick();

  const DaemonContext& mContext;
  const cluster::ClusterNode& mCluster;
  RequestDependencies mDependencies;
  std::map<base::ServiceId, std::unique_ptr<ServiceRuntime>> mServices;
  /** Services that are no longer in force and finish their requests. */
  std::vector<std::unique_ptr<ServiceRuntime>> mRetired;
  http::Loop::TimerId mTimer;
  bool mIsBusy = false;
};

} // namespace auburnmux::daemon
