#include "membership/src/ObserverRing.h"

#include <algorithm>
#include <array>
#include <limits>

namespace auburnmux::membership {

namespace {

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
/** Fleet size up to which gossip goes directly to all hosts. */
constexpr std::size_t kMaxDirectGossipHosts = 8;
/** Base of the exponentially growing distances to gossip targets. */
constexpr std::size_t kFingerBase = 4;

/** Assigns consecutive numbers to ids and counts how often each was added. */
template<typename Id>
class Numbering
{
public:
  std::uint32_t Add(const Id& aId, std::vector<std::size_t>& aSizes)
  {
    const auto [it, isNew] =
      mNumbers.emplace(aId, static_cast<std::uint32_t>(aSizes.size()));
    if (isNew) {
      aSizes.push_back(0);
    }
    ++aSizes[it->second];
    return it->second;
  }

private:
  std::unordered_map<Id, std::uint32_t> mNumbers;
};

} // namespace

void ObserverRing::CollectMembers(const HostTable& aTable)
{
  Numbering<base::DataCentreId> centres;
  Numbering<base::RegionId> regions;
  mMembers.clear();
  mCentreSizes.clear();
  mRegionSizes.clear();
  for (const auto& [id, record] : aTable.All()) {
    if (record.mUpdate.mState == HostState::Dead) {
      continue;
    }
    const HostIdentity& host = record.mUpdate.mHost;
    mMembers.push_back({ base::Hash64(id.Text()), id,
                         centres.Add(host.mDataCentre, mCentreSizes),
                         regions.Add(host.mRegion, mRegionSizes) });
  }
  std::sort(mMembers.begin(), mMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.mPosition != aRight.mPosition
                       ? aLeft.mPosition < aRight.mPosition
                       : aLeft.mId < aRight.mId;
            });
  mIndex.clear();
  for (std::size_t it = 0; it < mMembers.size(); ++it) {
    mIndex[mMembers[it].mId] = it;
  }
}

void ObserverRing::Rebuild(const HostTable& aTable, const base::HostId& aSelf)
{
  CollectMembers(aTable);
  mSubjects.clear();
  mObservers.clear();
  mTargets.clear();
  const auto self = mIndex.find(aSelf);
  if (self == mIndex.end()) {
    return;
  }
  for (std::size_t it = 0; it < mMembers.size(); ++it) {
    const Positions observers = Observers(it);
    if (std::find(observers.begin(), observers.end(), self->second) !=
        observers.end()) {
      mSubjects.push_back(mMembers[it].mId);
    }
  }
  mObservers = ObserversOf(aSelf);
  FindTargets(self->second);
}

void ObserverRing::FindTargets(std::size_t aSelf)
{
  const std::size_t n = mMembers.size();
  const auto add = [&](std::size_t aDistance) {
    mTargets.push_back(mMembers[(aSelf + aDistance) % n].mId);
  };
  if (n <= kMaxDirectGossipHosts) {
    for (std::size_t it = 1; it < n; ++it) {
      add(it);
    }
    return;
  }
  for (std::size_t step = 1; step < n; step *= kFingerBase) {
    for (std::size_t it = step; it < n && it < step * kFingerBase; it += step) {
      add(it);
    }
  }
}

std::vector<base::HostId> ObserverRing::ObserversOf(
  const base::HostId& aId) const
{
  std::vector<base::HostId> out;
  const auto it = mIndex.find(aId);
  if (it != mIndex.end()) {
    for (const std::size_t position : Observers(it->second)) {
      out.push_back(mMembers[position].mId);
    }
  }
  return out;
}

ObserverRing::Positions ObserverRing::Observers(std::size_t aSubject) const
{
  const Member& subject = mMembers[aSubject];
  const std::size_t n = mMembers.size();
  // One host per role: 0 own data centre, 1 own region, 2 another region, 3 a
  // third region.
  std::array<std::size_t, kObserversPerHost> preferred;
  preferred.fill(kNone);
  const std::size_t regionSize = mRegionSizes[subject.mRegion];
  const std::size_t centreSize = mCentreSizes[subject.mCentre];
  const std::array<bool, kObserversPerHost> exists = {
    centreSize > 1, regionSize > centreSize, n > regionSize,
    mRegionSizes.size() > 2
  };
  std::size_t missing = std::count(exists.begin(), exists.end(), true);
  for (std::size_t it = 1; it < n && missing > 0; ++it) {
    const std::size_t position = (aSubject + it) % n;
    const Member& member = mMembers[position];
    std::size_t role = 3;
    if (member.mCentre == subject.mCentre) {
      role = 0;
    } else if (member.mRegion == subject.mRegion) {
      role = 1;
    } else if (preferred[2] == kNone) {
      role = 2;
    } else if (member.mRegion == mMembers[preferred[2]].mRegion) {
      continue;
    }
    if (preferred[role] == kNone) {
      preferred[role] = position;
      --missing;
    }
  }
  Positions chosen;
  std::copy_if(preferred.begin(), preferred.end(), std::back_inserter(chosen),
               [](std::size_t aPosition) { return aPosition != kNone; });
  AddNearest(aSubject, chosen);
  return chosen;
}

void ObserverRing::AddNearest(std::size_t aSubject, Positions& aChosen) const
{
  const Member& subject = mMembers[aSubject];
  const std::size_t n = mMembers.size();
  for (int tier = 0; tier < 3 && aChosen.size() < kObserversPerHost; ++tier) {
    for (std::size_t it = 1; it < n && aChosen.size() < kObserversPerHost;
         ++it) {
      const std::size_t position = (aSubject + it) % n;
      const Member& member = mMembers[position];
      const bool isInTier = tier == 2 ||
                            (tier == 1 && member.mRegion == subject.mRegion) ||
                            member.mCentre == subject.mCentre;
      if (isInTier && std::find(aChosen.begin(), aChosen.end(), position) ==
                        aChosen.end()) {
        aChosen.push_back(position);
      }
    }
  }
}

} // namespace auburnmux::membership
