#include "upstreams/src/UpstreamBook.h"

#include <iterator>
#include <set>
#include <utility>

namespace auburnmux::upstreams {

UpstreamBook::UpstreamBook(const BookSettings& aSettings)
  : mSettings(aSettings)
{
}

UpstreamEvents UpstreamBook::OnList(base::TimePoint aNow,
                                    const std::vector<UpstreamRecord>& aRecords,
                                    ListSource aSource)
{
  UpstreamEvents events;
  const bool hasGraceEnded =
    mRolledBackAt && aNow - *mRolledBackAt >= mSettings.mLapseGrace;
  if (hasGraceEnded || aSource == ListSource::SettledElsewhere) {
    mIsRolledBack = false;
  }
  const bool isSettled =
    IsSettled(aNow) || aSource == ListSource::SettledElsewhere;
  std::set<base::UpstreamId> listed;
  for (const UpstreamRecord& it : aRecords) {
    if (!IsOfRemovedProcess(it)) {
      listed.insert(it.mId);
      Take(aNow, it, events);
    }
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto entry = it++;
    if (listed.count(entry->first) == 0) {
      Remove(aNow, isSettled, entry, events);
    }
  }
  return events;
}

UpstreamEvents UpstreamBook::OnRecord(base::TimePoint aNow,
                                      const UpstreamRecord& aRecord)
{
  UpstreamEvents events;
  if (!IsOfRemovedProcess(aRecord)) {
    Take(aNow, aRecord, events);
  }
  return events;
}

UpstreamEvents UpstreamBook::OnRemoved(base::TimePoint aNow,
                                       const base::UpstreamId& aId)
{
  UpstreamEvents events;
  const auto entry = mEntries.find(aId);
  if (entry != mEntries.end()) {
    Remove(aNow, IsSettled(aNow), entry, events);
  }
  return events;
}

UpstreamEvents UpstreamBook::OnLeavingAnnounced(base::TimePoint aSentAt,
                                                const base::UpstreamId& aId)
{
  for (auto it = mRemoved.lower_bound({ aId, std::nullopt });
       it != mRemoved.end() && it->first.first == aId; ++it) {
    if (it->second.mEntry.mFirstSeen <= aSentAt) {
      it->second.mEntry.mRecord.mIsLeaving = true;
    }
  }
  const auto entry = mEntries.find(aId);
  if (entry == mEntries.end() || entry->second.mFirstSeen > aSentAt ||
      std::exchange(entry->second.mRecord.mIsLeaving, true)) {
    return {};
  }
  return { UpstreamLeaving{ aId } };
}

void UpstreamBook::OnSourceLost(base::TimePoint /*aNow*/)
{
  mIsSourceLost = true;
}

void UpstreamBook::OnSourceBack(base::TimePoint aNow)
{
  if (mIsSourceLost) {
    mIsSourceLost = false;
    mBackAt = aNow;
  }
}

void UpstreamBook::OnSourceRolledBack(base::TimePoint aNow)
{
  mRolledBackAt = aNow;
  mIsRolledBack = true;
}

UpstreamEvents UpstreamBook::OnTick(base::TimePoint aNow)
{
  UpstreamEvents events;
  for (auto it = mRemoved.begin(); it != mRemoved.end();) {
    const bool isOld =
      aNow - it->second.mRemovedAt >= mSettings.mRemovedRetention;
    it = isOld ? mRemoved.erase(it) : std::next(it);
  }
  if (!IsSettled(aNow)) {
    return events;
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto entry = it++;
    if (entry->second.mIsLapsed) {
      Remove(aNow, true, entry, events);
    }
  }
  return events;
}

UpstreamBook::ProcessId UpstreamBook::ProcessOf(const UpstreamRecord& aRecord)
{
  return { aRecord.mId, aRecord.mIncarnation };
}

bool UpstreamBook::IsOfRemovedProcess(const UpstreamRecord& aRecord) const
{
  if (!mRolledBackAt || !aRecord.mIncarnation) {
    return false;
  }
  const auto removed = mRemoved.find(ProcessOf(aRecord));
  return removed != mRemoved.end() &&
         removed->second.mRemovedAt < *mRolledBackAt &&
         IsSameProcess(removed->second.mEntry.mRecord, aRecord);
}

bool UpstreamBook::IsSettled(base::TimePoint aNow) const
{
  return !mIsSourceLost && !mIsRolledBack &&
         (!mBackAt || aNow - *mBackAt >= mSettings.mLapseGrace);
}

void UpstreamBook::Take(base::TimePoint aNow, const UpstreamRecord& aRecord,
                        UpstreamEvents& aEvents)
{
  const auto entry = mEntries.find(aRecord.mId);
  if (entry == mEntries.end()) {
    Add(aNow, aRecord, aEvents);
    return;
  }
  UpstreamRecord& known = entry->second.mRecord;
  if (!IsSameProcess(known, aRecord)) {
    Erase(aNow, entry, aEvents);
    Add(aNow, aRecord, aEvents);
    return;
  }
  entry->second.mIsLapsed = false;
  const bool wasLeaving = known.mIsLeaving;
  const bool isChanged = known.mSlots != aRecord.mSlots ||
                         known.mDataCentre != aRecord.mDataCentre ||
                         known.mColdRemaining != aRecord.mColdRemaining;
  known = aRecord;
  // A process that announced its shutdown never revokes it.
  known.mIsLeaving = wasLeaving || aRecord.mIsLeaving;
  if (!wasLeaving && known.mIsLeaving) {
    aEvents.push_back(UpstreamLeaving{ aRecord.mId });
  } else if (!known.mIsLeaving && isChanged) {
    aEvents.push_back(UpstreamChanged{ aRecord });
  }
}

void UpstreamBook::Add(base::TimePoint aNow, const UpstreamRecord& aRecord,
                       UpstreamEvents& aEvents)
{
  DropOthersAt(aNow, aRecord, aEvents);
  Entry entry{ aRecord, aNow };
  const auto removed = mRemoved.find(ProcessOf(aRecord));
  if (removed != mRemoved.end() &&
      IsSameProcess(removed->second.mEntry.mRecord, aRecord)) {
    entry.mFirstSeen = removed->second.mEntry.mFirstSeen;
    entry.mRecord.mIsLeaving =
      aRecord.mIsLeaving || removed->second.mEntry.mRecord.mIsLeaving;
    mRemoved.erase(removed);
  }
  aEvents.push_back(UpstreamAppeared{ aRecord });
  if (entry.mRecord.mIsLeaving) {
    aEvents.push_back(UpstreamLeaving{ aRecord.mId });
  }
  mEntries[aRecord.mId] = std::move(entry);
}

void UpstreamBook::DropOthersAt(base::TimePoint aNow,
                                const UpstreamRecord& aRecord,
                                UpstreamEvents& aEvents)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto entry = it++;
    const UpstreamRecord& other = entry->second.mRecord;
    if (other.mAddress == aRecord.mAddress && other.mPort == aRecord.mPort) {
      Erase(aNow, entry, aEvents);
    }
  }
}

void UpstreamBook::Remove(base::TimePoint aNow, bool aIsSettled,
                          Entries::iterator aEntry, UpstreamEvents& aEvents)
{
  // An upstream that was leaving has stopped; others may only have been unable
  // to renew their entry.
  if (!aIsSettled && !aEntry->second.mRecord.mIsLeaving) {
    aEntry->second.mIsLapsed = true;
    return;
  }
  Erase(aNow, aEntry, aEvents);
}

void UpstreamBook::Erase(base::TimePoint aNow, Entries::iterator aEntry,
                         UpstreamEvents& aEvents)
{
  aEvents.push_back(UpstreamGone{ aEntry->first });
  const ProcessId process = ProcessOf(aEntry->second.mRecord);
  mRemoved[process] = { std::move(aEntry->second), aNow };
  mEntries.erase(aEntry);
}

} // namespace auburnmux::upstreams
