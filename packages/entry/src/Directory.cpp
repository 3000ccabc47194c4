#include "entry/src/Directory.h"

namespace auburnmux::entry {

namespace {

using membership::HostState;
using membership::HostView;

template<typename Condition>
std::vector<http::Endpoint> Select(const std::vector<HostView>& aHosts,
                                   Condition aCondition)
{
  std::vector<http::Endpoint> selected;
  for (const HostView& it : aHosts) {
    if (selected.size() < kMaxDirectoryHosts && aCondition(it)) {
      selected.push_back({ it.mHost.mAddress, it.mHost.mHttpPort });
    }
  }
  return selected;
}

} // namespace

std::vector<http::Endpoint> ChooseHosts(const std::vector<HostView>& aHosts,
                                        const base::DataCentreId& aCentre,
                                        const base::RegionId& aRegion)
{
  const auto isLive = [](const HostView& aHost) {
    return aHost.mState == HostState::Alive;
  };
  auto chosen = Select(aHosts, [&](const HostView& aHost) {
    return isLive(aHost) && aHost.mHost.mDataCentre == aCentre;
  });
  if (chosen.empty()) {
    chosen = Select(aHosts, [&](const HostView& aHost) {
      return isLive(aHost) && aHost.mHost.mRegion == aRegion;
    });
  }
  if (chosen.empty()) {
    chosen = Select(aHosts, isLive);
  }
  return chosen;
}

} // namespace auburnmux::entry
