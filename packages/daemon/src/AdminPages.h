#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/ConfigService.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/LookupService.h"
#include "daemon/src/ServiceManager.h"

#include <memory>
#include <string>

namespace auburnmux::daemon {

/** What the pages show. */
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
 * Look-ups and the pages for operators: `/v1/lookup`, `/v1/status`,
 * `/v1/explain`, `/v1/spans`, `/metrics`, `/healthz` and `/readyz`.
 */
class AdminPages
{
public:
  explicit AdminPages(PageSources aSources);

  /** \returns whether the request was for one of the pages. */
  bool Handle(http::ServerExchange& aExchange);

  /** \returns whether the host takes work: it has a configuration in force
   * and isn't leaving. */
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
