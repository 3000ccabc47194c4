#pragma once

#include "base/Base.h"

#include <array>

namespace auburnmux::limits {

/** Limits on the concurrent requests that a host proxies. */
struct ClassLimitSettings
{
  base::SlotCount mTotal{ 2000 };
  /** Slots that long work may never use. */
  base::SlotCount mReservedShort{ 1000 };
  /** Slots that short work may not use while long work waits. */
  base::SlotCount mReservedLong{ 200 };
};

/**
 * Divides the total concurrency limit between short and long work. Short work
 * may borrow idle slots reserved for long work, because it releases them soon.
 * Long work never borrows slots reserved for short work, because it would hold
 * them for minutes.
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
  /** Sets whether requests of the class wait. While long work waits, short work
   * borrows no more of its slots. */
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
