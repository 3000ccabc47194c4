#include "membership/src/SharerCount.h"

#include <algorithm>

namespace auburnmux::membership {

namespace {

/** How long a silent host keeps its part. Cuts between regions last minutes,
 * and a host that doesn't return within them is replaced. */
constexpr base::Duration kKeepsPart = std::chrono::minutes(5);

bool IsLive(const HostView& aHost)
{
  return aHost.mState == HostState::Alive || aHost.mState == HostState::Suspect;
}

} // namespace

void SharerCount::OnView(base::TimePoint aNow,
                         const std::vector<HostView>& aView)
{
  for (const HostView& it : aView) {
    const PeerAddress address = it.mHost.Peer();
    const auto known = mSharers.find(address);
    if (IsLive(it)) {
      mSharers[address] = { it.mHost.mId, true, {} };
    } else if (known != mSharers.end() && known->second.mHost == it.mHost.mId) {
      if (it.mState == HostState::Leaving) {
        mSharers.erase(known);
      } else if (known->second.mIsLive) {
        known->second.mIsLive = false;
        known->second.mSilentSince = aNow;
      }
    }
  }
}

std::size_t SharerCount::Count(base::TimePoint aNow) const
{
  const auto n =
    std::count_if(mSharers.begin(), mSharers.end(), [&](const auto& aEntry) {
      const Sharer& sharer = aEntry.second;
      return sharer.mIsLive || aNow - sharer.mSilentSince < kKeepsPart;
    });
  return std::max<std::size_t>(static_cast<std::size_t>(n), 1);
}

} // namespace auburnmux::membership
