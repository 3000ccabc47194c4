#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/ServiceRuntime.h"

#include <map>
#include <memory>
#include <optional>

namespace auburnmux::daemon {

/** Owns the runtime of every configured service and hands each request to the
 * service that its path names. */
class ServiceManager
{
public:
  ServiceManager(const DaemonContext& aContext,
                 const cluster::ClusterNode& aCluster,
                 RequestDependencies aDependencies);

  void Start();
  /** Applies a new configuration or membership view. */
  void Configure(const config::Snapshot& aSnapshot);

  /** \returns the service, or null when the configuration doesn't have it. */
  ServiceRuntime* Find(const base::ServiceId& aService);
  /** \returns the endpoint of an upstream; none if no service has it or it
   * leaves. */
  std::optional<http::Endpoint> FindStaying(const base::UpstreamId& aId) const;
  const std::map<base::ServiceId, std::unique_ptr<ServiceRuntime>>& Services()
    const
  {
    return mServices;
  }
  /** Refuses, from now on, requests that may not end before \a aExitAt. */
  void SetExitTime(base::TimePoint aExitAt) { mExitAt = aExitAt; }
  /** Plans a request and forwards it, or refuses it. */
  void Accept(const std::shared_ptr<http::ServerExchange>& aExchange);
  /** \returns the slot use of every service, from which grants are computed. */
  std::vector<SlotMeasurement> Measure() const;
  /** \returns the number of unfinished requests, those of removed services
   * included. */
  std::size_t OpenRequests() const;

  /** \returns the data centres and hosts that determine this host's share of
   * the upstreams. */
  UpstreamShareInputs MakeShareInputs(
    const config::TopologyFile& aTopology) const;

private:
  /** \returns whether \a aCentre has no live host and this host's data centre
   * is the nearest one that has. */
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
  /** Services removed from the configuration, kept until they are drained. */
  std::vector<std::unique_ptr<ServiceRuntime>> mRetired;
  http::Loop::TimerId mTimer;
  bool mIsBusy = false;
  /** When the daemon exits; unset until it is told to stop. */
  std::optional<base::TimePoint> mExitAt;
};

} // namespace auburnmux::daemon
