#pragma once

#include "base/Base.h"

namespace auburnmux::limits {

/** Identifies a queued request; unique within a process. */
using QueuedId = base::Quantity<struct QueuedIdTag>;
/** Identifies a caller for fair shedding, such as a hash of its address. */
using CallerKey = base::Quantity<struct CallerKeyTag>;

/** One request in DeadlineQueue. */
struct QueueEntry
{
  QueuedId mId;
  base::WorkClass mClass = base::WorkClass::Short;
  CallerKey mCaller;
  base::TimePoint mArrival;
  base::TimePoint mDeadline;
  /** Memory that the queued request uses. */
  base::ByteCount mBytes;
};

} // namespace auburnmux::limits
