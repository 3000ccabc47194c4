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

/** An attempt that ended in the crash of its upstream, or shortly before. */
struct CrashedAttempt
{
  base::UpstreamId mUpstream;
  base::TimePoint mSent;
  /** When the connection broke, or this side closed it. */
  base::TimePoint mBroken;
  /** Time from this side's close to the crash; zero if the crash broke the
   * connection. */
  base::Duration mCrashDelay{};

  base::TimePoint CrashTime() const { return mBroken + mCrashDelay; }
};

/** Crashes attributed to one fingerprint, as sent to peers. */
struct CrashRecord
{
  Fingerprint mFingerprint;
  std::vector<CrashedAttempt> mAttempts;
  /** Attempts of the sender that it ended and whose upstreams went on running,
   * since it learned of a crash. */
  std::uint32_t mOutlived = 0;
};

/** Bounds of CrashQuarantine. */
struct QuarantineSettings
{
  std::uint32_t mCrashThreshold = 2;
  base::Duration mRefusalTime = std::chrono::minutes(10);
  /** Reports of crashes of one upstream within this time count as one. */
  base::Duration mSameCrashWindow = std::chrono::seconds(2);
  std::size_t mMaxEntries = 4096;
  /** Maximum number of attempts, for each crash, that all hosts ended and whose
   * upstreams went on running. Above it, the crashes are not attributed to the
   * request. */
  std::uint32_t mMaxOutlivedPerCrash = 8;
};

/**
 * Refuses requests that crashed upstreams. A crash resets every request in
 * flight at the upstream, including harmless ones. A fingerprint that succeeds
 * later is therefore cleared unless it is already refused, and of attempts that
 * overlapped in time only one counts: upstreams that crash together, for
 * another reason, have copies of any frequent request in flight. Where this
 * side had ended an attempt before, those of crashes at the same time count
 * once instead. Such attempts have no response that would clear the request;
 * instead, crashes count only if they are more frequent among the attempts than
 * upstreams that went on running allow.
 */
class CrashQuarantine
{
public:
  explicit CrashQuarantine(QuarantineSettings aSettings = {});

  /** Counts a crash of an upstream that ran the request. \returns the record
   * to send to peers; none when the crash does not count. */
  std::optional<CrashRecord> OnCrash(base::TimePoint aNow,
                                     Fingerprint aFingerprint,
                                     const CrashedAttempt& aAttempt);
  /** Merges the record of a peer; merging it twice has no further effect. */
  void Merge(base::TimePoint aNow, const CrashRecord& aRecord,
             const base::HostId& aSender = {});
  void OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint);
  /** The upstream of an attempt that this side ended went on running.
   * \returns the record to send to peers; none unless it changes much */
  std::optional<CrashRecord> OnOutlived(base::TimePoint aNow,
                                        Fingerprint aFingerprint);

  bool IsRefused(base::TimePoint aNow, Fingerprint aFingerprint) const;
  /** \returns the requests that are refused, to send to a host that joins. */
  std::vector<CrashRecord> Refused(base::TimePoint aNow) const;
  /** \returns the number of further crashes after which the request is
   * refused; 0 if it is. */
  std::uint32_t CrashesLeft(base::TimePoint aNow,
                            Fingerprint aFingerprint) const;
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    /** The attempts that count, in the order of their crashes. */
    std::vector<CrashedAttempt> mAttempts;
    std::optional<base::TimePoint> mRefusedUntil;
    base::TimePoint mExpires{};
    /** See CrashRecord::mOutlived; of this host and of others. */
    std::uint32_t mOutlived = 0;
    std::map<base::HostId, std::uint32_t> mOutlivedElsewhere;
    std::list<Fingerprint>::iterator mLruPosition;
  };

  Entry& FindOrInsert(base::TimePoint aNow, Fingerprint aFingerprint);
  bool IsKnown(const Entry& aEntry, const CrashedAttempt& aAttempt) const;
  /** Adds attempts and removes those that overlap with an earlier one. */
  void Add(Entry& aEntry, const std::vector<CrashedAttempt>& aAttempts) const;
  void UpdateRefusal(base::TimePoint aNow, Entry& aEntry);
  void Evict(base::TimePoint aNow);
  void Erase(Fingerprint aFingerprint);

  QuarantineSettings mSettings;
  std::unordered_map<Fingerprint, Entry> mEntries;
  /** Least recently changed first. */
  std::list<Fingerprint> mLru;
};

} // namespace auburnmux::retries
