#pragma once

#include "limits/src/QueueEntry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace auburnmux::limits {

/** Bounds of the queue of one work class. */
struct QueueBounds
{
  std::uint32_t mEntries = 1000;
  base::ByteCount mBytes{ 16U << 20U };
};

namespace internal {

/** Queued requests of one class, indexed by deadline and by caller. */
class ClassQueue
{
public:
  explicit ClassQueue(QueueBounds aBounds)
    : mBounds(aBounds)
  {
  }

  void Insert(const QueueEntry& aEntry);
  std::optional<QueueEntry> Remove(QueuedId aId);
  /** \returns the entry with the earliest deadline. */
  const QueueEntry* Earliest() const;
  /** \returns the newest entry of the caller that uses the largest share of the
   * bounds, by entries or by bytes. Ties go to the caller with the newest
   * entry.
   */
  const QueueEntry* NextToShed() const;

  bool IsOverBounds() const;

  bool Has(QueuedId aId) const { return mEntries.count(aId) != 0; }
  std::size_t Size() const { return mEntries.size(); }
  base::ByteCount Bytes() const { return mBytes; }

private:
  /** Orders by deadline and then by insertion. */
  using Order = std::pair<base::TimePoint, std::uint64_t>;
  struct Item
  {
    QueueEntry mEntry;
    std::uint64_t mSequence = 0;
  };
  /** Queued entries of one caller. */
  struct Caller
  {
    std::map<std::uint64_t, QueuedId> mItems;
    base::ByteCount mBytes;
  };
  /** Share of the bounds, sequence number of the newest entry, caller. */
  using Rank = std::tuple<std::uint64_t, std::uint64_t, CallerKey>;

  Rank RankOf(CallerKey aKey, const Caller& aCaller) const;
  void AddToCaller(const Item& aItem);
  void RemoveFromCaller(const Item& aItem);

  QueueBounds mBounds;
  std::unordered_map<QueuedId, Item> mEntries;
  std::map<Order, QueuedId> mByDeadline;
  std::unordered_map<CallerKey, Caller> mCallers;
  std::set<Rank> mByShare;
  std::uint64_t mSequence = 0;
  base::ByteCount mBytes;
};

} // namespace internal
} // namespace auburnmux::limits
