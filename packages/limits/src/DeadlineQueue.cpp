#include "limits/src/DeadlineQueue.h"

namespace auburnmux::limits {

using base::TimePoint;
using base::WorkClass;

namespace {

/** Number of turns of short work between two turns of waiting long work. */
constexpr std::uint32_t kShortTurns = 7;

} // namespace

DeadlineQueue::DeadlineQueue(QueueSettings aSettings)
  : mQueues{ internal::ClassQueue(aSettings.mShort),
             internal::ClassQueue(aSettings.mLong) }
{
}

internal::ClassQueue& DeadlineQueue::Queue(WorkClass aClass)
{
  return mQueues[base::ClassIndex(aClass)];
}

const internal::ClassQueue& DeadlineQueue::Queue(WorkClass aClass) const
{
  return mQueues[base::ClassIndex(aClass)];
}

std::vector<QueueEntry> DeadlineQueue::Push(const QueueEntry& aEntry)
{
  internal::ClassQueue& queue = Queue(aEntry.mClass);
  queue.Insert(aEntry);
  std::vector<QueueEntry> shed;
  while (queue.IsOverBounds()) {
    const QueuedId id = queue.NextToShed()->mId;
    shed.push_back(*queue.Remove(id));
  }
  return shed;
}

Popped DeadlineQueue::Pop(TimePoint aNow, WorkClass aClass,
                          base::Duration aService)
{
  internal::ClassQueue& queue = Queue(aClass);
  Popped popped;
  while (const QueueEntry* it = queue.Earliest()) {
    const bool inTime = aNow + aService <= it->mDeadline;
    const QueueEntry entry = *queue.Remove(it->mId);
    if (inTime) {
      popped.mNext = entry;
      break;
    }
    popped.mExpired.push_back(entry);
  }
  return popped;
}

std::vector<QueueEntry> DeadlineQueue::Expire(TimePoint aNow)
{
  std::vector<QueueEntry> expired;
  for (internal::ClassQueue& queue : mQueues) {
    const QueueEntry* it = queue.Earliest();
    while (it != nullptr && it->mDeadline <= aNow) {
      expired.push_back(*queue.Remove(it->mId));
      it = queue.Earliest();
    }
  }
  return expired;
}

std::optional<QueueEntry> DeadlineQueue::Remove(QueuedId aId)
{
  for (internal::ClassQueue& queue : mQueues) {
    if (queue.Has(aId)) {
      return queue.Remove(aId);
    }
  }
  return std::nullopt;
}

std::optional<WorkClass> DeadlineQueue::NextClass()
{
  const bool hasShort = Size(WorkClass::Short) > 0;
  const bool hasLong = Size(WorkClass::Long) > 0;
  if (!hasShort && !hasLong) {
    return std::nullopt;
  }
  if (hasLong && (!hasShort || mShortTurns >= kShortTurns)) {
    mShortTurns = 0;
    return WorkClass::Long;
  }
  ++mShortTurns;
  return WorkClass::Short;
}

std::optional<TimePoint> DeadlineQueue::EarliestDeadline() const
{
  std::optional<TimePoint> earliest;
  for (const internal::ClassQueue& queue : mQueues) {
    const QueueEntry* it = queue.Earliest();
    if (it != nullptr && (!earliest || it->mDeadline < *earliest)) {
      earliest = it->mDeadline;
    }
  }
  return earliest;
}

std::uint32_t DeadlineQueue::Size(WorkClass aClass) const
{
  return static_cast<std::uint32_t>(Queue(aClass).Size());
}

base::ByteCount DeadlineQueue::Bytes(WorkClass aClass) const
{
  return Queue(aClass).Bytes();
}

} // namespace auburnmux::limits
