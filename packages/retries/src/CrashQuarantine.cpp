#include "retries/src/CrashQuarantine.h"

#include <algorithm>

namespace auburnmux::retries {

using base::TimePoint;
using base::UpstreamId;

namespace {

/** Maximum number of upstreams stored for one fingerprint; a record names no
 * more than these. */
constexpr std::size_t kMaxUpstreams = 8;

} // namespace

Fingerprint MakeFingerprint(const base::ServiceId& aService,
                            std::string_view aMethod, std::string_view aPath,
                            std::string_view aContent)
{
  std::uint64_t hash = base::Hash64(aService.Text());
  for (const std::string_view it : { aMethod, aPath, aContent }) {
    hash = base::CombineHash(base::Hash64(it), hash);
  }
  return Fingerprint(hash);
}

CrashQuarantine::CrashQuarantine(QuarantineSettings aSettings)
  : mSettings(aSettings)
{
}

std::optional<CrashRecord> CrashQuarantine::OnCrash(TimePoint aNow,
                                                    Fingerprint aFingerprint,
                                                    const UpstreamId& aUpstream)
{
  Entry& entry = FindOrInsert(aNow, aFingerprint);
  const auto known = entry.mUpstreams.find(aUpstream);
  if (known != entry.mUpstreams.end() &&
      aNow - known->second.mLast < mSettings.mSameCrashWindow) {
    return std::nullopt;
  }
  if (known == entry.mUpstreams.end() &&
      entry.mUpstreams.size() >= kMaxUpstreams) {
    return std::nullopt;
  }
  Crashes& crashes = entry.mUpstreams[aUpstream];
  crashes = { std::min(crashes.mCount + 1, mSettings.mCrashThreshold), aNow };
  UpdateRefusal(aNow, entry);
  return MakeRecord(aFingerprint, entry);
}

void CrashQuarantine::Merge(TimePoint aNow, const CrashRecord& aRecord)
{
  std::map<UpstreamId, std::uint32_t> counts;
  const std::size_t listed = std::min(
    aRecord.mUpstreams.size(), kMaxUpstreams * mSettings.mCrashThreshold);
  for (std::size_t i = 0; i < listed; ++i) {
    ++counts[aRecord.mUpstreams[i]];
  }
  Entry& entry = FindOrInsert(aNow, aRecord.mFingerprint);
  for (const auto& [upstream, count] : counts) {
    const bool isNew = entry.mUpstreams.count(upstream) == 0;
    if (isNew && entry.mUpstreams.size() >= kMaxUpstreams) {
      continue;
    }
    Crashes& crashes = entry.mUpstreams[upstream];
    if (count > crashes.mCount) {
      crashes = { std::min(count, mSettings.mCrashThreshold), aNow };
    }
  }
  UpdateRefusal(aNow, entry);
}

void CrashQuarantine::OnSuccess(TimePoint aNow, Fingerprint aFingerprint)
{
  if (mEntries.count(aFingerprint) != 0 && !IsRefused(aNow, aFingerprint)) {
    Erase(aFingerprint);
  }
}

bool CrashQuarantine::IsRefused(TimePoint aNow, Fingerprint aFingerprint) const
{
  const auto it = mEntries.find(aFingerprint);
  return it != mEntries.end() && it->second.mRefusedUntil &&
         aNow < *it->second.mRefusedUntil;
}

CrashQuarantine::Entry& CrashQuarantine::FindOrInsert(TimePoint aNow,
                                                      Fingerprint aFingerprint)
{
  const auto known = mEntries.find(aFingerprint);
  if (known != mEntries.end() && aNow < known->second.mExpires) {
    mLru.splice(mLru.end(), mLru, known->second.mLruPosition);
    return known->second;
  }
  Erase(aFingerprint);
  Evict(aNow);
  Entry& entry = mEntries[aFingerprint];
  entry.mLruPosition = mLru.insert(mLru.end(), aFingerprint);
  entry.mExpires = aNow + mSettings.mRefusalTime;
  return entry;
}

void CrashQuarantine::UpdateRefusal(TimePoint aNow, Entry& aEntry)
{
  std::uint32_t total = 0;
  for (const auto& [upstream, crashes] : aEntry.mUpstreams) {
    total += crashes.mCount;
  }
  if (total >= mSettings.mCrashThreshold && !aEntry.mRefusedUntil) {
    aEntry.mRefusedUntil = aNow + mSettings.mRefusalTime;
  }
  aEntry.mExpires =
    aEntry.mRefusedUntil.value_or(aNow + mSettings.mRefusalTime);
}

CrashRecord CrashQuarantine::MakeRecord(Fingerprint aFingerprint,
                                        const Entry& aEntry)
{
  CrashRecord record{ aFingerprint, {} };
  for (const auto& [upstream, crashes] : aEntry.mUpstreams) {
    record.mUpstreams.insert(record.mUpstreams.end(), crashes.mCount, upstream);
  }
  return record;
}

// Makes room for one entry. Entries that refuse a request are evicted last,
// because evicting one lets the request crash two more upstreams.
void CrashQuarantine::Evict(TimePoint aNow)
{
  while (!mLru.empty() && mEntries.at(mLru.front()).mExpires <= aNow) {
    Erase(mLru.front());
  }
  if (mEntries.size() < mSettings.mMaxEntries) {
    return;
  }
  const auto unrefused =
    std::find_if(mLru.begin(), mLru.end(), [&](Fingerprint aIt) {
      return !mEntries.at(aIt).mRefusedUntil;
    });
  Erase(unrefused != mLru.end() ? *unrefused : mLru.front());
}

void CrashQuarantine::Erase(Fingerprint aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it != mEntries.end()) {
    mLru.erase(it->second.mLruPosition);
    mEntries.erase(it);
  }
}

} // namespace auburnmux::retries
