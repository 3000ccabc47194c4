#include "quotas/src/TokenStock.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::quotas {

void TokenStock::Add(base::TimePoint aExpiry, std::uint32_t aCount)
{
  if (aCount == 0) {
    return;
  }
  const auto after =
    std::upper_bound(mLots.begin(), mLots.end(), aExpiry,
                     [](base::TimePoint aTime, const Lot& aLot) {
                       return aTime < aLot.mExpiry;
                     });
  mLots.insert(after, { aExpiry, aCount });
  mCount += aCount;
}

std::uint32_t TokenStock::Count(base::TimePoint aNow)
{
  while (!mLots.empty() && mLots.front().mExpiry <= aNow) {
    mCount -= mLots.front().mCount;
    mLots.pop_front();
  }
  return mCount;
}

base::TimePoint TokenStock::Take(std::uint32_t aCount)
{
  assert(aCount > 0 && aCount <= mCount);
  const base::TimePoint expiry = mLots.front().mExpiry;
  mCount -= aCount;
  while (aCount > 0) {
    Lot& lot = mLots.front();
    const std::uint32_t n = std::min(aCount, lot.mCount);
    lot.mCount -= n;
    aCount -= n;
    if (lot.mCount == 0) {
      mLots.pop_front();
    }
  }
  return expiry;
}

} // namespace auburnmux::quotas
