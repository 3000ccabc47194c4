#include "upstreams/src/UpstreamBook.h"

#include <set>

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
  const bool isSettled =
    IsSettled(aNow) || aSource == ListSource::SettledElsewhere;
  std::set<base::UpstreamId> listed;
  for (const UpstreamRecord& it : aRecords) {
    listed.insert(it.mId);
    Take(it, events);
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto entry = it++;
    if (listed.count(entry->first) == 0) {
      Remove(isSettled, entry, events);
    }
  }
  return events;
}

UpstreamEvents UpstreamBook::OnRecord(base::TimePoint /*aNow*/,
                                      const UpstreamRecord& aRecord)
{
  UpstreamEvents events;
  Take(aRecord, events);
  return events;
}

UpstreamEvents UpstreamBook::OnRemoved(base::TimePoint aNow,
                                       const base::UpstreamId& aId)
{
  UpstreamEvents events;
  const auto entry = mEntries.find(aId);
  if (entry != mEntries.end()) {
    Remove(IsSettled(aNow), entry, events);
  }
  return events;
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

UpstreamEvents UpstreamBook::OnTick(base::TimePoint aNow)
{
  UpstreamEvents events;
  if (!IsSettled(aNow)) {
    return events;
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto entry = it++;
    if (entry->second.mIsLapsed) {
      Remove(true, entry, events);
    }
  }
  return events;
}

bool UpstreamBook::IsSettled(base::TimePoint aNow) const
{
  return !mIsSourceLost &&
         (!mBackAt || aNow - *mBackAt >= mSettings.mLapseGrace);
}

void UpstreamBook::Take(const UpstreamRecord& aRecord, UpstreamEvents& aEvents)
{
  const auto entry = mEntries.find(aRecord.mId);
  if (entry == mEntries.end()) {
    Add(aRecord, aEvents);
    return;
  }
  UpstreamRecord& known = entry->second.mRecord;
  if (!IsSameProcess(known, aRecord)) {
    mEntries.erase(entry);
    aEvents.push_back(UpstreamGone{ aRecord.mId });
    Add(aRecord, aEvents);
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

void UpstreamBook::Add(const UpstreamRecord& aRecord, UpstreamEvents& aEvents)
{
  DropOthersAt(aRecord, aEvents);
  mEntries[aRecord.mId] = { aRecord };
  aEvents.push_back(UpstreamAppeared{ aRecord });
  if (aRecord.mIsLeaving) {
    aEvents.push_back(UpstreamLeaving{ aRecord.mId });
  }
}

void UpstreamBook::DropOthersAt(const UpstreamRecord& aRecord,
                                UpstreamEvents& aEvents)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const UpstreamRecord& other = it->second.mRecord;
    if (other.mAddress == aRecord.mAddress && other.mPort == aRecord.mPort) {
      aEvents.push_back(UpstreamGone{ it->first });
      it = mEntries.erase(it);
    } else {
      ++it;
    }
  }
}

void UpstreamBook::Remove(bool aIsSettled, Entries::iterator aEntry,
                          UpstreamEvents& aEvents)
{
  // An upstream that was leaving has stopped; others may only have been unable
  // to renew their entry.
  if (!aIsSettled && !aEntry->second.mRecord.mIsLeaving) {
    aEntry->second.mIsLapsed = true;
    return;
  }
  aEvents.push_back(UpstreamGone{ aEntry->first });
  mEntries.erase(aEntry);
}

} // namespace auburnmux::upstreams
