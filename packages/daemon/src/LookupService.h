#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"

#include "lookup/Lookup.h"

#include <optional>
#include <string>

namespace auburnmux::daemon {

/** Answers which entry hosts a caller is to use. */
class LookupService
{
public:
  LookupService(const DaemonContext& aContext,
                const cluster::ClusterNode& aCluster);

  /** Takes the sites and their client blocks from a new configuration. */
  void Configure(const config::TopologyFile& aTopology);
  /** Takes a new view of the hosts. */
  void OnViewChanged();
  /** Advances the weights of returning hosts; about once a second. */
  void OnTick();

  /**
   * \returns the JSON answer to a look-up of \a aService by the caller at
   * \a aAddress; \a aDataCentre goes before the site of the address.
   */
  std::string Answer(const base::ServiceId& aService,
                     const std::string& aAddress,
                     const std::optional<std::string>& aDataCentre) const;

  /** \returns the region of the client at \a aAddress when its site is known
   * and in another region than this host. */
  std::optional<base::RegionId> ForeignRegion(
    const std::string& aAddress) const;

private:
  std::optional<lookup::SiteNumber> SiteOf(const std::string& aAddress) const;
  std::optional<lookup::CentreIndex> CentreOf(
    const std::string& aAddress,
    const std::optional<std::string>& aDataCentre) const;

  const DaemonContext& mContext;
  const cluster::ClusterNode& mCluster;
  lookup::HostRanking mRanking;
  lookup::BlockTable mBlocks;
  /** Data centre of each site, by its number. */
  std::vector<base::DataCentreId> mSites;
  std::vector<base::RegionId> mSiteRegions;
  std::uint64_t mBlockVersion = 0;
  base::Duration mLifetime = lookup::RankingSettings().mLifetime;
};

} // namespace auburnmux::daemon
