#include "cluster/src/JoinedHosts.h"

#include <algorithm>
#include <utility>

namespace auburnmux::cluster {

using membership::HostIdentity;
using membership::HostView;

JoinedHosts::JoinedHosts(HostIdentity aSelf)
  : mSelf(std::move(aSelf))
{
}

std::vector<HostIdentity> JoinedHosts::OnView(
  const std::vector<HostView>& aLive)
{
  std::set<base::HostId> live;
  std::vector<HostIdentity> joined;
  for (const HostView& it : aLive) {
    live.insert(it.mHost.mId);
    const bool isNew =
      it.mHost.mId != mSelf.mId && mKnown.count(it.mHost.mId) == 0;
    if (isNew && IsInformedHere(it.mHost, aLive)) {
      joined.push_back(it.mHost);
    }
  }
  mKnown = std::move(live);
  return joined;
}

bool JoinedHosts::IsInformedHere(const HostIdentity& aJoined,
                                 const std::vector<HostView>& aLive) const
{
  if (aJoined.mDataCentre == mSelf.mDataCentre) {
    return true;
  }
  const std::uint64_t task = base::Hash64(aJoined.mId.Text());
  const auto rank = [task](const base::HostId& aHost) {
    return base::CombineHash(base::Hash64(aHost.Text()), task);
  };
  return std::none_of(aLive.begin(), aLive.end(), [&](const HostView& aIt) {
    return aIt.mHost.mDataCentre == mSelf.mDataCentre &&
           rank(aIt.mHost.mId) > rank(mSelf.mId);
  });
}

} // namespace auburnmux::cluster
