#include "membership/src/Watches.h"

#include <algorithm>

namespace auburnmux::membership {

void Watches::Require(base::TimePoint aNow,
                      const std::vector<base::HostId>& aSubjects)
{
  for (auto& [id, watch] : mWatches) {
    watch.mIsRequired = false;
  }
  for (const base::HostId& id : aSubjects) {
    const auto [it, isNew] = mWatches.try_emplace(id);
    if (isNew) {
      it->second.mHeard = aNow;
    }
    it->second.mIsRequired = true;
  }
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    const bool isOver = !it->second.mIsRequired && it->second.mUntil <= aNow;
    it = isOver ? mWatches.erase(it) : std::next(it);
  }
}

void Watches::AddTemporary(base::TimePoint aNow, const base::HostId& aId,
                           base::TimePoint aUntil)
{
  const auto it = mWatches.find(aId);
  if (it != mWatches.end()) {
    it->second.mUntil = std::max(it->second.mUntil, aUntil);
    return;
  }
  const auto count =
    std::count_if(mWatches.begin(), mWatches.end(), [](const auto& aEntry) {
      return !aEntry.second.mIsRequired;
    });
  if (static_cast<std::size_t>(count) < kMaxTemporary) {
    Watch watch;
    watch.mHeard = aNow;
    watch.mUntil = aUntil;
    mWatches.emplace(aId, watch);
  }
}

void Watches::OnHeard(base::TimePoint aNow, const base::HostId& aId)
{
  if (Watch* it = Find(aId)) {
    it->mHeard = aNow;
    it->mHasVoted = false;
    it->mVotes.clear();
  }
}

void Watches::OnVouched(base::TimePoint aNow, const base::HostId& aId)
{
  if (Watch* it = Find(aId)) {
    it->mVouched = aNow;
    it->mHasVoted = false;
    it->mVotes.clear();
  }
}

void Watches::OnVote(base::TimePoint aNow, const base::HostId& aId,
                     const base::HostId& aObserver)
{
  Watch* it = Find(aId);
  const bool isKnown = it != nullptr && it->mVotes.count(aObserver) > 0;
  if (it != nullptr && (isKnown || it->mVotes.size() < kMaxConfirmations)) {
    it->mVotes[aObserver] = aNow;
  }
}

void Watches::Reset(base::TimePoint aNow)
{
  for (auto& [id, watch] : mWatches) {
    watch.mHeard = aNow;
    watch.mHasVoted = false;
    watch.mVotes.clear();
  }
}

Watch* Watches::Find(const base::HostId& aId)
{
  const auto it = mWatches.find(aId);
  return it == mWatches.end() ? nullptr : &it->second;
}

const Watch* Watches::Find(const base::HostId& aId) const
{
  const auto it = mWatches.find(aId);
  return it == mWatches.end() ? nullptr : &it->second;
}

std::vector<base::HostId> Watches::Subjects() const
{
  std::vector<base::HostId> out;
  for (const auto& [id, watch] : mWatches) {
    out.push_back(id);
  }
  return out;
}

} // namespace auburnmux::membership
