#pragma once

#include "base/Base.h"

namespace auburnmux::limits {

/** A request that waits; unique within a process. */
using QueuedId = base::Quantity<struct QueuedIdTag>;
/** The caller that shedding is fair to, such as a hash of its address. */
using CallerKey = base::Quantity<struct CallerKeyTag>;

/** One request in DeadlineQueue. */
struct QueueEntry
{
  QueuedId mId;
  base::WorkClass mClass = base::WorkClass::Short;
  CallerKey mCaller;
  base::TimePoint mArrival;
  base::TimePoint mDeadline;
  /** Memory that the waiting request holds. */
  base::ByteCount mBytes;
};

} // namespace auburnmux::limits
