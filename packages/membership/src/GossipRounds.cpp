#include "membership/src/GossipRounds.h"

#include <algorithm>

namespace auburnmux::membership {

void GossipRounds::Add(const base::HostId& aId)
{
  if (mPending.size() < kMaxHosts && mPendingIds.insert(aId).second) {
    mPending.push_back(aId);
  }
}

bool GossipRounds::Start(base::TimePoint aNow, std::vector<base::HostId>& aOut)
{
  const std::chrono::duration<double> elapsed = aNow - mLastRefill;
  mTokens = std::min(kBurst, mTokens + (elapsed.count() * kRoundsPerSecond));
  mLastRefill = aNow;
  if ((mPending.empty() && !mIsRequested) || mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  mIsRequested = false;
  while (!mPending.empty() && aOut.size() < kMaxUpdates) {
    aOut.push_back(mPending.front());
    mPendingIds.erase(mPending.front());
    mPending.pop_front();
  }
  return true;
}

} // namespace auburnmux::membership
