#pragma once

#include "base/Base.h"

#include <array>

namespace auburnmux::limits {

/** Concurrent requests that a host proxies, by class. */
struct ClassLimitSettings
{
  base::SlotCount mTotal{ 2000 };
  /** Kept free of long work at all times. */
  base::SlotCount mReservedShort{ 1000 };
  /** Kept free of short work while long work waits. */
  base::SlotCount mReservedLong{ 200 };
};

/**
 * Divides one bound between short and long work. Idle room of long work is
 * lent to short work, which returns it soon; room of short work is never lent
 * to long work, which would hold it for minutes.
 */
class ClassLimits
{
public:
  /** \pre the reservations don't exceed the total. */
  explicit ClassLimits(ClassLimitSettings aSettings);

  /** \returns whether a request of the class may start, and counts it if so.
   */
  bool TryAcquire(base::WorkClass aClass);
  /** \pre a request of the class is counted. */
  void Release(base::WorkClass aClass);
  /** Tells whether requests of the class wait; ends lending of its room. */
  void SetWaiting(base::WorkClass aClass, bool aWaiting);

  base::SlotCount InUse(base::WorkClass aClass) const;
  /** \returns how many more requests of the class may start now. */
  base::SlotCount Free(base::WorkClass aClass) const;

private:
  base::SlotCount Bound(base::WorkClass aClass) const;

  ClassLimitSettings mSettings;
  std::array<base::SlotCount, base::kWorkClassCount> mInUse{};
  std::array<bool, base::kWorkClassCount> mWaiting{};
};

} // namespace auburnmux::limits
