#pragma once

#include "limits/src/ClassQueue.h"
#include "limits/src/QueueEntry.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnmux::limits {

/** Bounds of both classes. */
struct QueueSettings
{
  QueueBounds mShort;
  QueueBounds mLong;
};

/** Result of DeadlineQueue::Pop. */
struct Popped
{
  std::optional<QueueEntry> mNext;
  /** Removed because they can't make their deadline: answer "not run". */
  std::vector<QueueEntry> mExpired;
};

/**
 * Requests that wait for a slot: earliest deadline first, bounded in count and
 * bytes. The classes don't share space. Nothing in it was dispatched, so
 * whatever leaves it unserved was not run.
 */
class DeadlineQueue
{
public:
  explicit DeadlineQueue(QueueSettings aSettings = {});

  /**
   * Adds \a aEntry.
   * \returns the entries shed to stay within the bounds, which may include
   * \a aEntry itself: the newest of the caller with the largest share goes
   * first. Answer them "not run".
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
  /** Removes an entry whose caller left or that moves elsewhere. */
  std::optional<QueueEntry> Remove(QueuedId aId);

  /** \returns the class to serve where both may use a free slot: short work
   * first, with one turn in 8 for waiting long work. None when empty. */
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
