#pragma once

#include "limits/src/ClassQueue.h"
#include "limits/src/QueueEntry.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnmux::limits {

/** Bounds of the queues of both classes. */
struct QueueSettings
{
  QueueBounds mShort;
  QueueBounds mLong;
};

/** Result of DeadlineQueue::Pop. */
struct Popped
{
  std::optional<QueueEntry> mNext;
  /** Removed because they can't meet their deadline; answer them "not run". */
  std::vector<QueueEntry> mExpired;
};

/**
 * Queue of requests that wait for a slot, served earliest deadline first and
 * bounded in entries and bytes. Each class has its own bounds. Queued requests
 * were never dispatched, so those that are shed, expired or removed were not
 * run.
 */
class DeadlineQueue
{
public:
  explicit DeadlineQueue(QueueSettings aSettings = {});

  /**
   * Adds \a aEntry.
   * \returns the entries shed to stay within the bounds, which may include
   * \a aEntry itself. The newest entry of the caller with the largest share is
   * shed first. Answer them "not run".
   * \pre the id is not queued.
   */
  std::vector<QueueEntry> Push(const QueueEntry& aEntry);

  /**
   * Removes the entry of \a aClass with the earliest deadline that can still
   * be met by work that takes \a aService.
   */
  Popped Pop(base::TimePoint aNow, base::WorkClass aClass,
             base::Duration aService);

  /** Removes entries whose deadline is \a aNow or earlier. */
  std::vector<QueueEntry> Expire(base::TimePoint aNow);
  /** Removes an entry whose caller disconnected or that is forwarded elsewhere.
   */
  std::optional<QueueEntry> Remove(QueuedId aId);

  /** \returns the class to serve when both may use a free slot: short work, but
   * one turn in 8 goes to long work if any waits. None when both are empty. */
  std::optional<base::WorkClass> NextClass();

  /** \returns the earliest deadline, to set a timer. */
  std::optional<base::TimePoint> EarliestDeadline() const;
  std::uint32_t Size(base::WorkClass aClass) const;
  base::ByteCount Bytes(base::WorkClass aClass) const;

private:
  internal::ClassQueue& Queue(base::WorkClass aClass);
  const internal::ClassQueue& Queue(base::WorkClass aClass) const;

  std::array<internal::ClassQueue, base::kWorkClassCount> mQueues;
  std::uint32_t mShortTurns = 0;
};

} // namespace auburnmux::limits
