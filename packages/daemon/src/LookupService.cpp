#include "daemon/src/LookupService.h"

#include <arpa/inet.h>

namespace auburnmux::daemon {

namespace {

std::optional<lookup::Ipv4> ParseIpv4(const std::string& aText)
{
  in_addr address{};
  if (inet_pton(AF_INET, aText.c_str(), &address) != 1) {
    return std::nullopt;
  }
  return ntohl(address.s_addr);
}

lookup::HostEligibility FitnessOf(membership::HostState aState)
{
  switch (aState) {
    case membership::HostState::Alive:
      return lookup::HostEligibility::Usable;
    case membership::HostState::Suspect:
      return lookup::HostEligibility::Suspect;
    case membership::HostState::Leaving:
    case membership::HostState::Dead:
      return lookup::HostEligibility::Excluded;
  }
  return lookup::HostEligibility::Excluded;
}

/** Sets a lifetime so long that the topology's lifetime, the smaller of the
 * two, applies. The ranking decides only the lifetime without usable hosts. */
lookup::RankingSettings MakeSettings()
{
  lookup::RankingSettings settings;
  settings.mLifetime = std::chrono::hours(1);
  return settings;
}

} // namespace

LookupService::LookupService(const DaemonContext& aContext,
                             const cluster::ClusterNode& aCluster)
  : mContext(aContext)
  , mCluster(aCluster)
  , mRanking(MakeSettings(), aContext.mLoop.Now())
{
}

void LookupService::Configure(const config::TopologyFile& aTopology)
{
  std::vector<lookup::Block<lookup::Ipv4>> blocks;
  mLifetime = aTopology.mLookupLifetime;
  mSites.clear();
  mSiteRegions.clear();
  for (const config::Site& site : aTopology.mSites) {
    const lookup::SiteNumber number(static_cast<std::uint16_t>(mSites.size()));
    mSites.push_back(site.mDataCentre);
    const config::Region* region = aTopology.RegionOf(site.mDataCentre);
    mSiteRegions.push_back(region == nullptr ? base::RegionId()
                                             : region->mName);
    for (const config::AddressPrefix& it : site.mBlocks) {
      blocks.push_back(
        { it.mAddress, lookup::PrefixLength(it.mLength), number });
    }
  }
  const auto error =
    mBlocks.Build(lookup::BlockVersion(++mBlockVersion), std::move(blocks), {});
  if (error != lookup::BlockError::None) {
    base::LogWarning(base::LogLine("client_blocks_rejected")
                       .With("error", static_cast<int>(error)));
  }
}

void LookupService::OnViewChanged()
{
  std::vector<lookup::RankedHost> hosts;
  for (const membership::HostView& it : mCluster.View()) {
    const bool isSelfLeaving =
      it.mHost.mId == mContext.mSettings.mHost && mCluster.IsLeaving();
    lookup::RankedHost host;
    host.mId = it.mHost.mId;
    host.mIncarnation = it.mHost.mIncarnation;
    host.mDataCentre = it.mHost.mDataCentre;
    host.mRegion = it.mHost.mRegion;
    host.mEligibility =
      isSelfLeaving ? lookup::HostEligibility::Excluded : FitnessOf(it.mState);
    hosts.push_back(std::move(host));
  }
  mRanking.SetHosts(mContext.mLoop.Now(), hosts);
}

void LookupService::OnTick()
{
  mRanking.OnTick(mContext.mLoop.Now());
}

std::optional<lookup::CentreIndex> LookupService::CentreOf(
  const std::string& aAddress,
  const std::optional<std::string>& aDataCentre) const
{
  if (aDataCentre) {
    return mRanking.FindCentre(base::DataCentreId(*aDataCentre));
  }
  const auto site = SiteOf(aAddress);
  return mRanking.FindCentre(site ? mSites[site->Count()]
                                  : mContext.mSettings.mDataCentre);
}

std::optional<lookup::SiteNumber> LookupService::SiteOf(
  const std::string& aAddress) const
{
  const auto address = ParseIpv4(aAddress);
  const auto site = address ? mBlocks.Find(*address) : std::nullopt;
  return site && site->Count() < mSites.size() ? site : std::nullopt;
}

std::optional<base::RegionId> LookupService::ForeignRegion(
  const std::string& aAddress) const
{
  const auto site = SiteOf(aAddress);
  if (!site) {
    return std::nullopt;
  }
  const base::RegionId& region = mSiteRegions[site->Count()];
  const bool isForeign =
    !region.IsEmpty() && region != mContext.mSettings.mRegion;
  return isForeign ? std::optional(region) : std::nullopt;
}

std::string LookupService::Answer(
  const base::ServiceId& aService, const std::string& aAddress,
  const std::optional<std::string>& aDataCentre) const
{
  const auto address = ParseIpv4(aAddress);
  const lookup::LookupDecision decision =
    mRanking.Decide(CentreOf(aAddress, aDataCentre),
                    lookup::HashBlock(std::uint64_t{ address.value_or(0) }));
  const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(
    std::min(decision.mLifetime, mLifetime));
  std::string text = R"({"service":")" + aService.Text() +
                     R"(","lifetime_s":)" + std::to_string(lifetime.count()) +
                     R"(,"hosts":[)";
  for (std::size_t i = 0; i < decision.mCount; ++i) {
    const lookup::RankedHost& host = mRanking.Host(decision.mHosts[i]);
    const auto endpoint = mCluster.HttpEndpoint(host.mId);
    if (!endpoint) {
      continue;
    }
    text += (text.back() == '[' ? "" : ",");
    text += R"({"id":")" + host.mId.Text() + R"(","address":")" +
            endpoint->mAddress + R"(","port":)" +
            std::to_string(endpoint->mPort.Count()) + R"(,"data_centre":")" +
            host.mDataCentre.Text() + R"("})";
  }
  return text + "]}";
}

} // namespace auburnmux::daemon
