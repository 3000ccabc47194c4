#include "entry/src/Directory.h"

#include <algorithm>
#include <iterator>

namespace auburnmux::entry {

namespace {

using membership::HostState;
using membership::HostView;
using Hosts = std::vector<HostView>;

/** A link is narrow if the widest one has more than this many times its rate.
 * With a smaller ratio, other delays of a request outweigh the difference. */
constexpr std::uint32_t kNarrowLinkRatio = 4;

/** Minimum number of hosts with wide links for which others are excluded. */
constexpr std::size_t kMinWideHosts = 2;

template<typename Condition>
Hosts Select(const Hosts& aHosts, Condition aCondition)
{
  Hosts selected;
  std::copy_if(aHosts.begin(), aHosts.end(), std::back_inserter(selected),
               aCondition);
  return selected;
}

std::uint64_t TotalProcessor(const Hosts& aHosts)
{
  std::uint64_t sum = 0;
  for (const HostView& it : aHosts) {
    sum += it.mHost.mCapacity.mProcessor.Count();
  }
  return sum;
}

Hosts WithoutNarrowLinks(const Hosts& aHosts)
{
  std::uint32_t widest = 0;
  for (const HostView& it : aHosts) {
    widest = std::max(widest, it.mHost.mCapacity.mLink.Count());
  }
  Hosts wide = Select(aHosts, [widest](const HostView& aHost) {
    return aHost.mHost.mCapacity.mLink.Count() >= widest / kNarrowLinkRatio;
  });
  const bool canCarry = wide.size() >= kMinWideHosts &&
                        2 * TotalProcessor(wide) >= TotalProcessor(aHosts);
  return canCarry ? wide : aHosts;
}

} // namespace

std::vector<http::Endpoint> ChooseHosts(const Hosts& aHosts,
                                        const base::DataCentreId& aCentre,
                                        const base::RegionId& aRegion)
{
  const Hosts live = Select(aHosts, [](const HostView& aHost) {
    return aHost.mState == HostState::Alive;
  });
  Hosts chosen = Select(live, [&](const HostView& aHost) {
    return aHost.mHost.mDataCentre == aCentre;
  });
  if (chosen.empty()) {
    chosen = Select(live, [&](const HostView& aHost) {
      return aHost.mHost.mRegion == aRegion;
    });
  }
  if (chosen.empty()) {
    chosen = live;
  }
  std::vector<http::Endpoint> endpoints;
  for (const HostView& it : WithoutNarrowLinks(chosen)) {
    if (endpoints.size() < kMaxDirectoryHosts) {
      endpoints.push_back({ it.mHost.mAddress, it.mHost.mHttpPort });
    }
  }
  return endpoints;
}

} // namespace auburnmux::entry
