#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/ServiceManager.h"

#include "http/Http.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace auburnmux::daemon {

/**
 * Drains and stops the daemon on SIGTERM or SIGINT. Look-ups stop listing this
 * host, peers see it as leaving, connections close after their responses, and
 * the loop ends when requests in flight have finished and cached look-ups have
 * expired. A second signal or the drain limit stops the loop earlier; the
 * requests that are open then get a last response.
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

  /** Sets how long callers may cache a look-up. */
  void SetLookupLifetime(base::Duration aLifetime)
  {
    mLookupLifetime = aLifetime;
  }
  /** Blocks the signals and watches for them. */
  void Start();

private:
  void OnSignal();
  void Begin();
  void OnTick();
  /** Ends the open requests, each with a response. */
  void EndRequests();
  void End();

  const DaemonContext& mContext;
  cluster::ClusterNode& mCluster;
  ServiceManager& mServiceManager;
  http::Server& mServer;
  std::function<void()> mOnLeaving;
  int mSignalFd = -1;
  base::Duration mLookupLifetime = std::chrono::seconds(5);
  bool mIsLeaving = false;
  base::TimePoint mBegin;
  /** When the open requests were ended. */
  std::optional<base::TimePoint> mRequestsEndedAt;
  std::size_t mRequestsCut = 0;
};

} // namespace auburnmux::daemon
