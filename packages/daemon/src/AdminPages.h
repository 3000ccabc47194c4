#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/ConfigService.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/LookupService.h"
#include "daemon/src/ServiceManager.h"

#include <memory>
#include <string>

namespace auburnmux::daemon {

/** Components whose state the pages show. */
struct PageSources
{
  const DaemonContext& mContext;
  cluster::ClusterNode& mCluster;
  ConfigService& mConfig;
  LookupService& mLookup;
  ServiceManager& mServiceManager;
  peer::Transport& mTransport;
  objects::PlatformClient& mPlatform;
};

/**
 * Serves look-ups and the operator pages: `/v1/lookup`, `/v1/status`,
 * `/v1/explain`, `/v1/spans`, `/metrics`, `/healthz` and `/readyz`.
 */
class AdminPages
{
public:
  explicit AdminPages(PageSources aSources);

  /** Responds if the request is for one of the pages. \returns whether it was.
   */
  bool Handle(http::ServerExchange& aExchange);

  /** \returns whether the host accepts requests: it has a configuration in
   * force and isn't leaving. */
  bool IsReady() const;

private:
  void Lookup(http::ServerExchange& aExchange);
  void Status(http::ServerExchange& aExchange);
  void Explain(http::ServerExchange& aExchange);
  void Metrics(http::ServerExchange& aExchange);
  void Spans(http::ServerExchange& aExchange);
  void Ready(http::ServerExchange& aExchange);
  void SetGauges();

  PageSources mSources;
};

} // namespace auburnmux::daemon
