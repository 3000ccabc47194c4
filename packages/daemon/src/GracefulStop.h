#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/ServiceManager.h"

#include "http/Http.h"

#include <functional>

namespace auburnmux::daemon {

/**
 * A planned stop: on SIGTERM or SIGINT look-ups stop naming this host, peers
 * learn, callers are told to move on, requests in flight finish, and the loop
 * ends. A second signal or the drain limit ends it sooner.
 */
class GracefulStop
{
public:
  GracefulStop(const DaemonContext& aContext, cluster::ClusterNode& aCluster,
               ServiceManager& aServiceManager, http::Server& aServer,
               std::function<void()> aOnLeaving);
  ~GracefulStop();
  GracefulStop(const GracefulStop&) = delete;
  GracefulStop& operator=(const GracefulStop&) = delete;

  /** Sets how long callers use a cached look-up. */
  void SetLookupLifetime(base::Duration aLifetime) { mLifetime = aLifetime; }
  /** Blocks the signals and watches for them. */
  void Start();

private:
  void OnSignal();
  void Begin();
  void OnTick();
  void End();

  const DaemonContext& mContext;
  cluster::ClusterNode& mCluster;
  ServiceManager& mServiceManager;
  http::Server& mServer;
  std::function<void()> mOnLeaving;
  int mSignals = -1;
  base::Duration mLifetime = std::chrono::seconds(5);
  bool mIsLeaving = false;
  base::TimePoint mBegin;
};

} // namespace auburnmux::daemon
