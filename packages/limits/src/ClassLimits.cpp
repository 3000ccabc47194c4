#include "limits/src/ClassLimits.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::limits {

using base::SlotCount;
using base::WorkClass;

ClassLimits::ClassLimits(ClassLimitSettings aSettings)
  : mSettings(aSettings)
{
  assert(aSettings.mReservedShort + aSettings.mReservedLong <=
         aSettings.mTotal);
}

bool ClassLimits::TryAcquire(WorkClass aClass)
{
  if (Free(aClass).Count() == 0) {
    return false;
  }
  mInUse[base::ClassIndex(aClass)] += SlotCount(1);
  return true;
}

void ClassLimits::Release(WorkClass aClass)
{
  assert(InUse(aClass).Count() > 0);
  mInUse[base::ClassIndex(aClass)] -= SlotCount(1);
}

void ClassLimits::SetWaiting(WorkClass aClass, bool aWaiting)
{
  mWaiting[base::ClassIndex(aClass)] = aWaiting;
}

SlotCount ClassLimits::InUse(WorkClass aClass) const
{
  return mInUse[base::ClassIndex(aClass)];
}

SlotCount ClassLimits::Bound(WorkClass aClass) const
{
  if (aClass == WorkClass::Long) {
    return mSettings.mTotal - mSettings.mReservedShort;
  }
  const bool mayBorrow = !mWaiting[base::ClassIndex(WorkClass::Long)];
  return mayBorrow ? mSettings.mTotal
                   : mSettings.mTotal - mSettings.mReservedLong;
}

SlotCount ClassLimits::Free(WorkClass aClass) const
{
  const std::uint32_t used =
    InUse(WorkClass::Short).Count() + InUse(WorkClass::Long).Count();
  const std::uint32_t total = mSettings.mTotal.Count();
  const std::uint32_t bound = Bound(aClass).Count();
  const std::uint32_t own = InUse(aClass).Count();
  return SlotCount(std::min(total - used, bound - std::min(own, bound)));
}

} // namespace auburnmux::limits
