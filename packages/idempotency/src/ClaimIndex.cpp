#include "idempotency/src/ClaimIndex.h"

namespace auburnmux::idempotency {

ClaimIndex::ClaimIndex(base::ByteCount aBodyBudget)
  : mBodyBudget(aBodyBudget)
{
}

void ClaimIndex::Apply(const ClaimRecord& aRecord, base::WallTime aSince)
{
  if (KeyOf(aRecord).Time() >= aSince) {
    std::visit([this](const auto& aIt) { Put(aIt); }, aRecord);
  }
}

std::optional<ClaimView> ClaimIndex::Find(const IdempotencyKey& aKey) const
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  const ClaimEntry& entry = it->second;
  return ClaimView{ entry.mRequestHash,
                    { mHolders.Host(entry.mHolder),
                      mHolders.IncarnationOf(entry.mHolder), entry.mAttempt },
                    entry.mOutcome.get() };
}

void ClaimIndex::RemoveOlderThan(base::WallTime aSince)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    if (it->first.Time() < aSince) {
      Drop(it->second);
      mEntries.erase(it++);
    } else {
      ++it;
    }
  }
  while (!mBodyOrder.empty() && !Find(mBodyOrder.front())) {
    mBodyOrder.pop_front();
  }
}

void ClaimIndex::Clear()
{
  *this = ClaimIndex(mBodyBudget);
}

void ClaimIndex::Put(const ClaimedRecord& aRecord)
{
  if (mEntries.contains(aRecord.mKey)) {
    return; // An earlier claim in the log holds the key.
  }
  const ClaimHolder& holder = aRecord.mHolder;
  const auto slot = mHolders.Acquire(holder.mHost, holder.mIncarnation);
  mEntries.emplace(aRecord.mKey, ClaimEntry{ aRecord.mRequestHash,
                                             holder.mAttempt, slot, nullptr });
}

void ClaimIndex::Put(const RanRecord& aRecord)
{
  const auto it = FindHeldBy(aRecord.mKey, aRecord.mHolder);
  if (it == mEntries.end() || it->second.mOutcome) {
    return;
  }
  it->second.mOutcome = std::make_unique<Outcome>(aRecord.mOutcome);
  if (!aRecord.mOutcome.mBody.empty()) {
    mBodyOrder.push_back(aRecord.mKey);
    mBodyBytes += base::ByteCount(aRecord.mOutcome.mBody.size());
    OmitOldBodies();
  }
}

void ClaimIndex::Put(const ReleasedRecord& aRecord)
{
  const auto it = FindHeldBy(aRecord.mKey, aRecord.mHolder);
  // A key with an outcome is never released: its request ran.
  if (it != mEntries.end() && !it->second.mOutcome) {
    Drop(it->second);
    mEntries.erase(it);
  }
}

ClaimIndex::Entries::iterator ClaimIndex::FindHeldBy(const IdempotencyKey& aKey,
                                                     const ClaimHolder& aHolder)
{
  const auto it = mEntries.find(aKey);
  return it != mEntries.end() && IsHeldBy(it->second, aHolder) ? it
                                                               : mEntries.end();
}

bool ClaimIndex::IsHeldBy(const ClaimEntry& aEntry,
                          const ClaimHolder& aHolder) const
{
  return aEntry.mAttempt == aHolder.mAttempt &&
         mHolders.IncarnationOf(aEntry.mHolder) == aHolder.mIncarnation &&
         mHolders.Host(aEntry.mHolder) == aHolder.mHost;
}

void ClaimIndex::OmitOldBodies()
{
  while (mBodyBytes > mBodyBudget && !mBodyOrder.empty()) {
    const auto it = mEntries.find(mBodyOrder.front());
    mBodyOrder.pop_front();
    if (it == mEntries.end() || !it->second.mOutcome) {
      continue;
    }
    Outcome& outcome = *it->second.mOutcome;
    mBodyBytes -= base::ByteCount(outcome.mBody.size());
    outcome.mBody = std::string();
    outcome.mIsBodyOmitted = true;
  }
}

void ClaimIndex::Drop(ClaimEntry& aEntry)
{
  mHolders.Release(aEntry.mHolder);
  if (aEntry.mOutcome) {
    mBodyBytes -= base::ByteCount(aEntry.mOutcome->mBody.size());
  }
}

} // namespace auburnmux::idempotency
