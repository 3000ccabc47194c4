#include "retries/src/CrashQuarantine.h"

#include <algorithm>

namespace auburnmux::retries {

using base::TimePoint;
using base::UpstreamId;

namespace {

/** Upstreams remembered for one fingerprint; a record lists no more. */
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
  Entry& entry = Touch(aNow, aFingerprint);
  const auto known = entry.mUpstreams.find(aUpstream);
  if (known != entry.mUpstreams.end() &&
      aNow - known->second.mLast < mSettings.mSameCrash) {
    return std::nullopt;
  }
  if (known == entry.mUpstreams.end() &&
      entry.mUpstreams.size() >= kMaxUpstreams) {
    return std::nullopt;
  }
  Crashes& crashes = entry.mUpstreams[aUpstream];
  crashes = { std::min(crashes.mCount + 1, mSettings.mCrashes), aNow };
  Review(aNow, entry);
  return Record(aFingerprint, entry);
}

void CrashQuarantine::Merge(TimePoint aNow, const CrashRecord& aRecord)
{
  std::map<UpstreamId, std::uint32_t> counts;
  const std::size_t read =
    std::min(aRecord.mUpstreams.size(), kMaxUpstreams * mSettings.mCrashes);
  for (std::size_t i = 0; i < read; ++i) {
    ++counts[aRecord.mUpstreams[i]];
  }
  Entry& entry = Touch(aNow, aRecord.mFingerprint);
  for (const auto& [upstream, count] : counts) {
    const bool isNew = entry.mUpstreams.count(upstream) == 0;
    if (isNew && entry.mUpstreams.size() >= kMaxUpstreams) {
      continue;
    }
    Crashes& crashes = entry.mUpstreams[upstream];
    if (count > crashes.mCount) {
      crashes = { std::min(count, mSettings.mCrashes), aNow };
    }
  }
  Review(aNow, entry);
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

CrashQuarantine::Entry& CrashQuarantine::Touch(TimePoint aNow,
                                               Fingerprint aFingerprint)
{
  const auto known = mEntries.find(aFingerprint);
  if (known != mEntries.end() && aNow < known->second.mExpires) {
    mOrder.splice(mOrder.end(), mOrder, known->second.mAge);
    return known->second;
  }
  Erase(aFingerprint);
  Evict(aNow);
  Entry& entry = mEntries[aFingerprint];
  entry.mAge = mOrder.insert(mOrder.end(), aFingerprint);
  entry.mExpires = aNow + mSettings.mRefusal;
  return entry;
}

void CrashQuarantine::Review(TimePoint aNow, Entry& aEntry)
{
  std::uint32_t total = 0;
  for (const auto& [upstream, crashes] : aEntry.mUpstreams) {
    total += crashes.mCount;
  }
  if (total >= mSettings.mCrashes && !aEntry.mRefusedUntil) {
    aEntry.mRefusedUntil = aNow + mSettings.mRefusal;
  }
  aEntry.mExpires = aEntry.mRefusedUntil.value_or(aNow + mSettings.mRefusal);
}

CrashRecord CrashQuarantine::Record(Fingerprint aFingerprint,
                                    const Entry& aEntry)
{
  CrashRecord record{ aFingerprint, {} };
  for (const auto& [upstream, crashes] : aEntry.mUpstreams) {
    record.mUpstreams.insert(record.mUpstreams.end(), crashes.mCount, upstream);
  }
  return record;
}

// Makes room for one entry. Entries that refuse a request go last, because
// losing one lets the request crash two more upstreams.
void CrashQuarantine::Evict(TimePoint aNow)
{
  while (!mOrder.empty() && mEntries.at(mOrder.front()).mExpires <= aNow) {
    Erase(mOrder.front());
  }
  if (mEntries.size() < mSettings.mEntries) {
    return;
  }
  const auto counting =
    std::find_if(mOrder.begin(), mOrder.end(), [&](Fingerprint aIt) {
      return !mEntries.at(aIt).mRefusedUntil;
    });
  Erase(counting != mOrder.end() ? *counting : mOrder.front());
}

void CrashQuarantine::Erase(Fingerprint aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it != mEntries.end()) {
    mOrder.erase(it->second.mAge);
    mEntries.erase(it);
  }
}

} // namespace auburnmux::retries
