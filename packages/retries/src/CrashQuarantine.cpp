#include "retries/src/CrashQuarantine.h"

#include <algorithm>

namespace auburnmux::retries {

using base::TimePoint;
using base::UpstreamId;

namespace {

/** Maximum number of attempts of a request that are kept. */
constexpr std::size_t kMaxAttempts = 16;

/** Crashes within this time are attributed to one cause if a host had ended one
 * of the attempts before. */
constexpr base::Duration kCommonCause = std::chrono::milliseconds(250);

/** \returns whether \a aNext is evidence of its own beside \a aLast. The times
 * of attempts that a host ended don't tell: their clients repeat them at once.
 */
bool IsIndependent(const CrashedAttempt& aLast, const CrashedAttempt& aNext)
{
  const bool wasEnded = aLast.mCrashDelay > base::Duration::zero() ||
                        aNext.mCrashDelay > base::Duration::zero();
  return wasEnded ? aNext.CrashTime() - aLast.CrashTime() > kCommonCause
                  : aNext.mSent >= aLast.mBroken;
}

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

std::optional<CrashRecord> CrashQuarantine::OnCrash(
  TimePoint aNow, Fingerprint aFingerprint, const CrashedAttempt& aAttempt)
{
  Entry& entry = FindOrInsert(aNow, aFingerprint);
  const std::size_t before = entry.mAttempts.size();
  Add(entry, { aAttempt });
  UpdateRefusal(aNow, entry);
  if (entry.mAttempts.size() == before) {
    return std::nullopt;
  }
  return CrashRecord{ aFingerprint, entry.mAttempts, entry.mOutlived };
}

void CrashQuarantine::Merge(TimePoint aNow, const CrashRecord& aRecord,
                            const base::HostId& aSender)
{
  std::vector<CrashedAttempt> attempts = aRecord.mAttempts;
  attempts.resize(std::min(attempts.size(), kMaxAttempts));
  Entry& entry = FindOrInsert(aNow, aRecord.mFingerprint);
  std::uint32_t& outlived = entry.mOutlivedElsewhere[aSender];
  outlived = std::max(outlived, aRecord.mOutlived);
  Add(entry, attempts);
  UpdateRefusal(aNow, entry);
}

bool CrashQuarantine::IsKnown(const Entry& aEntry,
                              const CrashedAttempt& aAttempt) const
{
  return std::any_of(aEntry.mAttempts.begin(), aEntry.mAttempts.end(),
                     [&](const CrashedAttempt& aOther) {
                       return aOther.mUpstream == aAttempt.mUpstream &&
                              std::chrono::abs(aOther.CrashTime() -
                                               aAttempt.CrashTime()) <
                                mSettings.mSameCrashWindow;
                     });
}

void CrashQuarantine::Add(Entry& aEntry,
                          const std::vector<CrashedAttempt>& aAttempts) const
{
  std::vector<CrashedAttempt> all = aEntry.mAttempts;
  for (const CrashedAttempt& it : aAttempts) {
    if (!IsKnown(aEntry, it)) {
      all.push_back(it);
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const CrashedAttempt& aA, const CrashedAttempt& aB) {
                     return aA.CrashTime() < aB.CrashTime();
                   });
  // Taking each attempt that was sent after the last one taken had ended gives
  // the longest sequence without overlaps.
  aEntry.mAttempts.clear();
  for (const CrashedAttempt& it : all) {
    const bool counts =
      aEntry.mAttempts.empty() || IsIndependent(aEntry.mAttempts.back(), it);
    if (counts && aEntry.mAttempts.size() < kMaxAttempts) {
      aEntry.mAttempts.push_back(it);
    }
  }
}

void CrashQuarantine::OnSuccess(TimePoint aNow, Fingerprint aFingerprint)
{
  if (mEntries.count(aFingerprint) != 0 && !IsRefused(aNow, aFingerprint)) {
    Erase(aFingerprint);
  }
}

std::optional<CrashRecord> CrashQuarantine::OnOutlived(TimePoint aNow,
                                                       Fingerprint aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end() || IsRefused(aNow, aFingerprint)) {
    return std::nullopt;
  }
  Entry& entry = it->second;
  ++entry.mOutlived;
  // Above the maximum, further reports would not change any host's decision.
  const bool isReported =
    entry.mOutlived % mSettings.mMaxOutlivedPerCrash == 0 &&
    entry.mOutlived <= kMaxAttempts * mSettings.mMaxOutlivedPerCrash;
  return isReported ? std::optional(CrashRecord{ aFingerprint, entry.mAttempts,
                                                 entry.mOutlived })
                    : std::nullopt;
}

bool CrashQuarantine::IsRefused(TimePoint aNow, Fingerprint aFingerprint) const
{
  const auto it = mEntries.find(aFingerprint);
  return it != mEntries.end() && it->second.mRefusedUntil &&
         aNow < *it->second.mRefusedUntil;
}

std::vector<CrashRecord> CrashQuarantine::Refused(TimePoint aNow) const
{
  std::vector<CrashRecord> refused;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (IsRefused(aNow, fingerprint)) {
      refused.push_back({ fingerprint, entry.mAttempts, entry.mOutlived });
    }
  }
  return refused;
}

std::uint32_t CrashQuarantine::CrashesLeft(TimePoint aNow,
                                           Fingerprint aFingerprint) const
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end() || aNow >= it->second.mExpires) {
    return mSettings.mCrashThreshold;
  }
  if (it->second.mRefusedUntil) {
    return 0;
  }
  const auto n = static_cast<std::uint32_t>(it->second.mAttempts.size());
  return n < mSettings.mCrashThreshold ? mSettings.mCrashThreshold - n : 1;
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
  std::uint32_t outlived = aEntry.mOutlived;
  for (const auto& [host, n] : aEntry.mOutlivedElsewhere) {
    outlived += n;
  }
  const std::size_t n = aEntry.mAttempts.size();
  const bool isRefused = n >= mSettings.mCrashThreshold &&
                         outlived <= n * mSettings.mMaxOutlivedPerCrash;
  if (isRefused && !aEntry.mRefusedUntil) {
    aEntry.mRefusedUntil =
      aEntry.mAttempts.back().CrashTime() + mSettings.mRefusalTime;
  }
  aEntry.mExpires =
    aEntry.mRefusedUntil.value_or(aNow + mSettings.mRefusalTime);
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
