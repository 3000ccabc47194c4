#include "quotas/src/Fleet.h"

#include <algorithm>
#include <map>
#include <utility>

namespace auburnmux::quotas {

namespace {

/** Hosts assumed in each data centre by a host that knows no other one. */
constexpr std::uint32_t kAssumedHosts = 8;

using Ranked = std::vector<std::pair<std::uint64_t, base::HostId>>;

void Rank(const base::HostId& aHost, std::string_view aTask, Ranked& aOut)
{
  aOut.emplace_back(
    base::CombineHash(base::Hash64(aHost.Text()), base::Hash64(aTask)), aHost);
}

bool IsLive(const membership::HostView& aHost)
{
  return aHost.mState == membership::HostState::Alive ||
         aHost.mState == membership::HostState::Suspect;
}

/** \returns the number of hosts, with those assumed in data centres of which
 * \a aHosts contains none. */
std::uint32_t CountSharers(const membership::HostIdentity& aSelf,
                           const std::set<base::DataCentreId>& aCentres,
                           const std::vector<membership::HostIdentity>& aHosts)
{
  std::map<base::DataCentreId, std::uint32_t> counts;
  ++counts[aSelf.mDataCentre];
  bool isAlone = true;
  for (const membership::HostIdentity& it : aHosts) {
    if (it.mId != aSelf.mId) {
      ++counts[it.mDataCentre];
      isAlone = false;
    }
  }
  const std::uint32_t own = isAlone ? kAssumedHosts : counts[aSelf.mDataCentre];
  if (isAlone) {
    counts[aSelf.mDataCentre] = own;
  }
  for (const base::DataCentreId& it : aCentres) {
    counts.emplace(it, own);
  }
  std::uint32_t sum = 0;
  for (const auto& [centre, n] : counts) {
    sum += n;
  }
  return sum;
}

} // namespace

Fleet DescribeFleet(base::TimePoint aNow, const membership::HostIdentity& aSelf,
                    bool aIsLeaving,
                    const std::set<base::DataCentreId>& aCentres,
                    const std::vector<membership::HostView>& aView,
                    const membership::ActiveHostCounter& aActive)
{
  Fleet fleet;
  fleet.mIsLeaving = aIsLeaving;
  Ranked aggregators;
  Ranked roots;
  for (const membership::HostView& it : aView) {
    const membership::HostIdentity& host = it.mHost;
    if (host.mId == aSelf.mId) {
      continue;
    }
    fleet.mIsReplacement |= host.Peer() == aSelf.Peer();
    if (IsLive(it)) {
      Rank(host.mId, "quota-root", roots);
      if (host.mDataCentre == aSelf.mDataCentre) {
        Rank(host.mId, "quota-aggregator", aggregators);
      }
    }
  }
  if (!aIsLeaving) {
    Rank(aSelf.mId, "quota-root", roots);
    Rank(aSelf.mId, "quota-aggregator", aggregators);
  }
  std::sort(aggregators.rbegin(), aggregators.rend());
  for (auto& [rank, host] : aggregators) {
    fleet.mAggregators.push_back(std::move(host));
  }
  if (aIsLeaving) {
    // Other hosts don't choose a leaving host, so it is its own last resort.
    fleet.mAggregators.push_back(aSelf.mId);
  }
  fleet.mRoot = roots.empty()
                  ? aSelf.mId
                  : std::max_element(roots.begin(), roots.end())->second;
  const std::vector<membership::HostIdentity> hosts = aActive.Hosts(aNow);
  fleet.mKnown =
    static_cast<std::uint32_t>(std::max<std::size_t>(hosts.size(), 1));
  fleet.mSharers = CountSharers(aSelf, aCentres, hosts);
  return fleet;
}

} // namespace auburnmux::quotas
