#include "membership/src/UpdateQueue.h"

namespace auburnmux::membership {

std::size_t UpdateQueue::Transmissions(std::size_t aFleetSize)
{
  std::size_t bits = 1;
  while (aFleetSize > 1) {
    aFleetSize /= 2;
    ++bits;
  }
  return 2 * bits;
}

void UpdateQueue::Add(const base::HostId& aId, std::size_t aFleetSize)
{
  const auto it = mRemaining.find(aId);
  if (it != mRemaining.end()) {
    mOrder.erase({ it->second, aId });
  } else if (mRemaining.size() >= kMaxHosts) {
    return;
  }
  mRemaining[aId] = Transmissions(aFleetSize);
  mOrder.insert({ mRemaining[aId], aId });
}

void UpdateQueue::Take(const HostTable& aTable, std::size_t aMaxCount,
                       std::vector<HostUpdate>& aOut)
{
  std::vector<Entry> taken;
  while (taken.size() < aMaxCount && !mOrder.empty()) {
    taken.push_back(*mOrder.begin());
    mOrder.erase(mOrder.begin());
  }
  for (Entry& entry : taken) {
    const HostRecord* record = aTable.Find(entry.mId);
    if (record != nullptr && !record->mIsLocalSuspicion) {
      aOut.push_back(record->mUpdate);
    }
    --entry.mRemaining;
    if (entry.mRemaining == 0) {
      mRemaining.erase(entry.mId);
    } else {
      mRemaining[entry.mId] = entry.mRemaining;
      mOrder.insert(entry);
    }
  }
}

} // namespace auburnmux::membership
