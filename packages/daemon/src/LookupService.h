#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/DaemonContext.h"

#include "lookup/Lookup.h"

#include <optional>
#include <string>

namespace auburnmux::daemon {

/** Answers look-ups with the entry hosts that a caller should use. */
class LookupService
{
public:
  LookupService(const DaemonContext& aContext,
                const cluster::ClusterNode& aCluster);

  /** Loads the sites and their client address blocks from a new topology. */
  void Configure(const config::TopologyFile& aTopology);
  /** Updates the ranking after a change of the membership view. */
  void OnViewChanged();
  /** Ramps up the weights of returning hosts. Called about once a second. */
  void OnTick();

  /**
   * \returns the JSON answer to a look-up of \a aService by the caller at
   * \a aAddress. \a aDataCentre, if given, overrides the data centre of the
   * address's site.
   */
  std::string Answer(const base::ServiceId& aService,
                     const std::string& aAddress,
                     const std::optional<std::string>& aDataCentre) const;

  /** \returns the region of the client at \a aAddress if its site is known and
   * lies in another region than this host. */
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
  /** Data centre of each site, indexed by site number. */
  std::vector<base::DataCentreId> mSites;
  std::vector<base::RegionId> mSiteRegions;
  std::uint64_t mBlockVersion = 0;
  base::Duration mLifetime = lookup::RankingSettings().mLifetime;
};

} // namespace auburnmux::daemon
