#pragma once

#include "limits/src/QueueEntry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace auburnmux::limits {

/** Bounds of one work class's queue. */
struct QueueBounds
{
  std::uint32_t mEntries = 1000;
  base::ByteCount mBytes{ 16U << 20U };
};

namespace internal {

/** Waiting requests of one class, by deadline and by caller. */
class ClassQueue
{
public:
  void Insert(const QueueEntry& aEntry);
  std::optional<QueueEntry> Remove(QueuedId aId);
  /** \returns the entry with the earliest deadline. */
  const QueueEntry* Earliest() const;
  /** \returns the newest entry of the caller with the most entries. */
  const QueueEntry* Newest() const;

  bool Has(QueuedId aId) const { return mEntries.count(aId) != 0; }
  std::size_t Size() const { return mEntries.size(); }
  base::ByteCount Bytes() const { return mBytes; }

private:
  /** Orders by time and then by arrival in the queue. */
  using Order = std::pair<base::TimePoint, std::uint64_t>;
  struct Item
  {
    QueueEntry mEntry;
    std::uint64_t mSequence = 0;
  };
  using CallerItems = std::map<std::uint64_t, QueuedId>;

  void Recount(CallerKey aCaller, std::size_t aBefore, std::size_t aAfter);

  std::unordered_map<QueuedId, Item> mEntries;
  std::map<Order, QueuedId> mByDeadline;
  std::unordered_map<CallerKey, CallerItems> mByCaller;
  /** Callers by the number of their entries. */
  std::set<std::pair<std::size_t, CallerKey>> mBySize;
  std::uint64_t mSequence = 0;
  base::ByteCount mBytes;
};

} // namespace internal
} // namespace auburnmux::limits
