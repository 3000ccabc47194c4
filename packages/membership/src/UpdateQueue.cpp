#include "membership/src/UpdateQueue.h"

#include <algorithm>

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
  const auto it =
    std::find_if(mEntries.begin(), mEntries.end(),
                 [&](const Entry& aEntry) { return aEntry.mId == aId; });
  if (it != mEntries.end()) {
    it->mRemaining = Transmissions(aFleetSize);
  } else if (mEntries.size() < kMaxHosts) {
    mEntries.push_back({ aId, Transmissions(aFleetSize) });
  }
}

void UpdateQueue::Take(const HostTable& aTable, std::size_t aMost,
                       std::vector<HostUpdate>& aOut)
{
  const std::size_t n = std::min(aMost, mEntries.size());
  std::partial_sort(
    mEntries.begin(), mEntries.begin() + static_cast<std::ptrdiff_t>(n),
    mEntries.end(), [](const Entry& aLeft, const Entry& aRight) {
      return aLeft.mRemaining != aRight.mRemaining
               ? aLeft.mRemaining > aRight.mRemaining
               : aLeft.mId < aRight.mId;
    });
  for (std::size_t it = 0; it < n; ++it) {
    --mEntries[it].mRemaining;
    const HostRecord* record = aTable.Find(mEntries[it].mId);
    if (record != nullptr && !record->mIsLocalSuspicion) {
      aOut.push_back(record->mUpdate);
    }
  }
  mEntries.erase(
    std::remove_if(mEntries.begin(), mEntries.end(),
                   [](const Entry& aEntry) { return aEntry.mRemaining == 0; }),
    mEntries.end());
}

} // namespace auburnmux::membership
