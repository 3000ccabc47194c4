#include "limits/src/ClassQueue.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::limits::internal {

namespace {

/** Fixed-point scale of callers' shares of the bounds. */
constexpr std::uint64_t kShareScale = 1U << 20U;

std::uint64_t ShareOf(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aPart * kShareScale / std::max<std::uint64_t>(aWhole, 1);
}

} // namespace

void ClassQueue::Insert(const QueueEntry& aEntry)
{
  assert(!Has(aEntry.mId));
  const Item item{ aEntry, ++mSequence };
  mByDeadline.emplace(Order(aEntry.mDeadline, item.mSequence), aEntry.mId);
  AddToCaller(item);
  mBytes += aEntry.mBytes;
  mEntries.emplace(aEntry.mId, item);
}

std::optional<QueueEntry> ClassQueue::Remove(QueuedId aId)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  const Item item = it->second;
  mByDeadline.erase(Order(item.mEntry.mDeadline, item.mSequence));
  RemoveFromCaller(item);
  mBytes -= item.mEntry.mBytes;
  mEntries.erase(it);
  return item.mEntry;
}

const QueueEntry* ClassQueue::Earliest() const
{
  if (mByDeadline.empty()) {
    return nullptr;
  }
  return &mEntries.at(mByDeadline.begin()->second).mEntry;
}

const QueueEntry* ClassQueue::NextToShed() const
{
  if (mByShare.empty()) {
    return nullptr;
  }
  const Caller& caller = mCallers.at(std::get<CallerKey>(*mByShare.rbegin()));
  return &mEntries.at(caller.mItems.rbegin()->second).mEntry;
}

bool ClassQueue::IsOverBounds() const
{
  return mEntries.size() > mBounds.mEntries || mBytes > mBounds.mBytes;
}

ClassQueue::Rank ClassQueue::RankOf(CallerKey aKey, const Caller& aCaller) const
{
  const std::uint64_t share =
    std::max(ShareOf(aCaller.mItems.size(), mBounds.mEntries),
             ShareOf(aCaller.mBytes.Count(), mBounds.mBytes.Count()));
  return { share, aCaller.mItems.rbegin()->first, aKey };
}

void ClassQueue::AddToCaller(const Item& aItem)
{
  const CallerKey key = aItem.mEntry.mCaller;
  Caller& caller = mCallers[key];
  if (!caller.mItems.empty()) {
    mByShare.erase(RankOf(key, caller));
  }
  caller.mItems.emplace(aItem.mSequence, aItem.mEntry.mId);
  caller.mBytes += aItem.mEntry.mBytes;
  mByShare.insert(RankOf(key, caller));
}

void ClassQueue::RemoveFromCaller(const Item& aItem)
{
  const CallerKey key = aItem.mEntry.mCaller;
  Caller& caller = mCallers.at(key);
  mByShare.erase(RankOf(key, caller));
  caller.mItems.erase(aItem.mSequence);
  caller.mBytes -= aItem.mEntry.mBytes;
  if (caller.mItems.empty()) {
    mCallers.erase(key);
  } else {
    mByShare.insert(RankOf(key, caller));
  }
}

} // namespace auburnmux::limits::internal
