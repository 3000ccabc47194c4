#include "membership/src/ContactSelector.h"

#include <algorithm>

namespace auburnmux::membership {

ContactSelector::ContactSelector(PeerAddress aSelf,
                                 std::vector<PeerAddress> aSeeds)
  : mSelf(std::move(aSelf))
  , mSeeds(std::move(aSeeds))
{
  mSeeds.erase(std::remove(mSeeds.begin(), mSeeds.end(), mSelf), mSeeds.end());
}

void ContactSelector::SetCandidates(const std::vector<Candidate>& aList)
{
  mCandidates.assign(aList.begin(),
                     aList.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(aList.size(), kMaxHosts)));
}

std::vector<ContactSelector::Target> ContactSelector::DeadOrUnknownTargets(
  const HostTable& aTable) const
{
  std::vector<Target> out;
  std::set<PeerAddress> live;
  for (const auto& [id, record] : aTable.All()) {
    const PeerAddress peer = record.mUpdate.mHost.Peer();
    if (record.mUpdate.mState == HostState::Dead) {
      out.push_back({ peer, id });
    } else {
      live.insert(peer);
    }
  }
  const auto add = [&](const PeerAddress& aPeer) {
    if (live.count(aPeer) == 0 && !(aPeer == mSelf)) {
      out.push_back({ aPeer, {} });
    }
  };
  std::for_each(mSeeds.begin(), mSeeds.end(), add);
  for (const Candidate& it : mCandidates) {
    if (aTable.Find(it.mId) == nullptr) {
      add(it.mPeer);
    }
  }
  return out;
}

std::vector<ContactSelector::Target> ContactSelector::LiveTargets(
  const HostTable& aTable, const base::HostId& aSelf)
{
  std::vector<Target> out;
  for (const auto& [id, record] : aTable.All()) {
    if (id != aSelf && record.mUpdate.mState != HostState::Dead) {
      out.push_back({ record.mUpdate.mHost.Peer(), id });
    }
  }
  return out;
}

std::optional<ContactSelector::Target> ContactSelector::Next(
  const HostTable& aTable, const base::HostId& aSelf, base::Random& aRandom)
{
  const std::vector<Target> unreached = DeadOrUnknownTargets(aTable);
  const std::vector<Target> live = LiveTargets(aTable, aSelf);
  const bool isLive = unreached.empty() || (mIsLiveNext && !live.empty());
  mIsLiveNext = !isLive;
  const std::vector<Target>& pool = isLive ? live : unreached;
  if (pool.empty()) {
    return std::nullopt;
  }
  return pool[aRandom.Below(pool.size())];
}

} // namespace auburnmux::membership
