#include "membership/src/ActiveHostCounter.h"

#include <algorithm>

namespace auburnmux::membership {

namespace {

/** Time for which a silent host still counts. Partitions between regions last
 * minutes, and a host that doesn't return by then is replaced. */
constexpr base::Duration kSilentHostRetention = std::chrono::minutes(5);

bool IsLive(const HostView& aHost)
{
  return aHost.mState == HostState::Alive || aHost.mState == HostState::Suspect;
}

} // namespace

void ActiveHostCounter::OnView(base::TimePoint aNow,
                               const std::vector<HostView>& aView)
{
  for (const HostView& it : aView) {
    const PeerAddress address = it.mHost.Peer();
    const auto known = mCountedHosts.find(address);
    if (IsLive(it)) {
      mCountedHosts[address] = { it.mHost, true, {} };
    } else if (known != mCountedHosts.end() &&
               known->second.mHost.mId == it.mHost.mId) {
      if (it.mState == HostState::Leaving) {
        mCountedHosts.erase(known);
      } else if (known->second.mIsLive) {
        known->second.mIsLive = false;
        known->second.mSilentSince = aNow;
      }
    }
  }
}

std::vector<HostIdentity> ActiveHostCounter::Hosts(base::TimePoint aNow) const
{
  std::vector<HostIdentity> hosts;
  for (const auto& [address, host] : mCountedHosts) {
    if (host.mIsLive || aNow - host.mSilentSince < kSilentHostRetention) {
      hosts.push_back(host.mHost);
    }
  }
  return hosts;
}

std::size_t ActiveHostCounter::Count(base::TimePoint aNow) const
{
  return std::max<std::size_t>(Hosts(aNow).size(), 1);
}

} // namespace auburnmux::membership
