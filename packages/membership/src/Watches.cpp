#include "membership/src/Watches.h"

#include <algorithm>

namespace auburnmux::membership {

void Watches::UpdateSubjects(base::TimePoint aNow,
                             const std::vector<base::HostId>& aSubjects)
{
  for (auto& [id, watch] : mWatches) {
    watch.mIsRequired = false;
  }
  for (const base::HostId& id : aSubjects) {
    const auto [it, isNew] = mWatches.try_emplace(id);
    if (isNew) {
      it->second.mLastHeard = aNow;
    }
    it->second.mIsRequired = true;
  }
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    const bool isExpired =
      !it->second.mIsRequired && it->second.mExpiry <= aNow;
    it = isExpired ? mWatches.erase(it) : std::next(it);
  }
}

void Watches::AddTemporary(base::TimePoint aNow, const base::HostId& aId,
                           base::TimePoint aExpiry)
{
  const auto it = mWatches.find(aId);
  if (it != mWatches.end()) {
    it->second.mExpiry = std::max(it->second.mExpiry, aExpiry);
    return;
  }
  const auto count =
    std::count_if(mWatches.begin(), mWatches.end(), [](const auto& aEntry) {
      return !aEntry.second.mIsRequired;
    });
  if (static_cast<std::size_t>(count) < kMaxTemporaryWatches) {
    Watch watch;
    watch.mLastHeard = aNow;
    watch.mExpiry = aExpiry;
    mWatches.emplace(aId, watch);
  }
}

void Watches::OnHeard(base::TimePoint aNow, const base::HostId& aId)
{
  if (Watch* it = Find(aId)) {
    it->mLastHeard = aNow;
    it->mHasReportedDead = false;
    it->mDeadReports.clear();
  }
}

void Watches::OnReportedAlive(base::TimePoint aNow, const base::HostId& aId)
{
  if (Watch* it = Find(aId)) {
    it->mLastReportedAlive = aNow;
    it->mHasReportedDead = false;
    it->mDeadReports.clear();
  }
}

void Watches::OnDeadReport(base::TimePoint aNow, const base::HostId& aId,
                           const base::HostId& aObserver)
{
  Watch* it = Find(aId);
  const bool isKnown = it != nullptr && it->mDeadReports.count(aObserver) > 0;
  if (it != nullptr &&
      (isKnown || it->mDeadReports.size() < kMaxConfirmations)) {
    it->mDeadReports[aObserver] = aNow;
  }
}

void Watches::Reset(base::TimePoint aNow)
{
  for (auto& [id, watch] : mWatches) {
    watch.mLastHeard = aNow;
    watch.mHasReportedDead = false;
    watch.mDeadReports.clear();
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
