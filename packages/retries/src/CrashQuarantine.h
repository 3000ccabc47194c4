#pragma once

#include "base/Base.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnmux::retries {

/** Identifies a request across attempts and repeats by the caller. */
using Fingerprint = base::Quantity<struct FingerprintTag>;

/** \returns the fingerprint; \a aContent is the idempotency key where there
 * is one, and otherwise the digest of the body. */
Fingerprint MakeFingerprint(const base::ServiceId& aService,
                            std::string_view aMethod, std::string_view aPath,
                            std::string_view aContent);

/** Crashes attributed to one fingerprint, as sent to peers. An upstream that
 * crashed twice is listed twice. */
struct CrashRecord
{
  Fingerprint mFingerprint;
  std::vector<base::UpstreamId> mUpstreams;
};

/** Bounds of CrashQuarantine. */
struct QuarantineSettings
{
  std::uint32_t mCrashThreshold = 2;
  base::Duration mRefusalTime = std::chrono::minutes(10);
  /** Reports of crashes of one upstream within this time count as one. */
  base::Duration mSameCrashWindow = std::chrono::seconds(2);
  std::size_t mMaxEntries = 4096;
};

/**
 * Refuses requests that crashed upstreams. A crash resets every request in
 * flight at the upstream, including harmless ones, so a fingerprint that
 * succeeds later is cleared unless it is already refused.
 */
class CrashQuarantine
{
public:
  explicit CrashQuarantine(QuarantineSettings aSettings = {});

  /** Counts a crash of an upstream that ran the request. \returns the record
   * to send to peers; none when the crash was already counted or the maximum
   * number of upstreams is already recorded. */
  std::optional<CrashRecord> OnCrash(base::TimePoint aNow,
                                     Fingerprint aFingerprint,
                                     const base::UpstreamId& aUpstream);
  /** Merges a peer's record; merging it twice has no further effect. */
  void Merge(base::TimePoint aNow, const CrashRecord& aRecord);
  void OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint);

  bool IsRefused(base::TimePoint aNow, Fingerprint aFingerprint) const;
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Crashes
  {
    std::uint32_t mCount = 0;
    base::TimePoint mLast{};
  };
  struct Entry
  {
    std::map<base::UpstreamId, Crashes> mUpstreams;
    std::optional<base::TimePoint> mRefusedUntil;
    base::TimePoint mExpires{};
    std::list<Fingerprint>::iterator mLruPosition;
  };

  Entry& FindOrInsert(base::TimePoint aNow, Fingerprint aFingerprint);
  void UpdateRefusal(base::TimePoint aNow, Entry& aEntry);
  static CrashRecord MakeRecord(Fingerprint aFingerprint, const Entry& aEntry);
  void Evict(base::TimePoint aNow);
  void Erase(Fingerprint aFingerprint);

  QuarantineSettings mSettings;
  std::unordered_map<Fingerprint, Entry> mEntries;
  /** Least recently changed first. */
  std::list<Fingerprint> mLru;
};

} // namespace auburnmux::retries
