#include "membership/src/Contacts.h"

#include <algorithm>

namespace auburnmux::membership {

Contacts::Contacts(PeerAddress aSelf, std::vector<PeerAddress> aSeeds)
  : mSelf(std::move(aSelf))
  , mSeeds(std::move(aSeeds))
{
  mSeeds.erase(std::remove(mSeeds.begin(), mSeeds.end(), mSelf), mSeeds.end());
}

void Contacts::SetCandidates(const std::vector<Candidate>& aList)
{
  mCandidates.assign(aList.begin(),
                     aList.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(aList.size(), kMaxHosts)));
}

std::vector<Contacts::Target> Contacts::Lost(const HostTable& aTable) const
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

std::vector<Contacts::Target> Contacts::Live(const HostTable& aTable,
                                             const base::HostId& aSelf)
{
  std::vector<Target> out;
  for (const auto& [id, record] : aTable.All()) {
    if (id != aSelf && record.mUpdate.mState != HostState::Dead) {
      out.push_back({ record.mUpdate.mHost.Peer(), id });
    }
  }
  return out;
}

std::optional<Contacts::Target> Contacts::Next(const HostTable& aTable,
                                               const base::HostId& aSelf,
                                               base::Random& aRandom)
{
  const std::vector<Target> lost = Lost(aTable);
  const std::vector<Target> live = Live(aTable, aSelf);
  const bool isLive = lost.empty() || (mIsLiveNext && !live.empty());
  mIsLiveNext = !isLive;
  const std::vector<Target>& pool = isLive ? live : lost;
  if (pool.empty()) {
    return std::nullopt;
  }
  return pool[aRandom.Below(pool.size())];
}

} // namespace auburnmux::membership
