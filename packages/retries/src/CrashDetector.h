#pragma once

#include "retries/src/CrashQuarantine.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace auburnmux::retries {

/** A request and its attempt that ended in a crash of its upstream, or shortly
 * before. */
struct CrashSuspect
{
  Fingerprint mFingerprint;
  CrashedAttempt mAttempt;
};

/** Result of the periodic check of attempts that this side ended. */
struct CancelledCheck
{
  /** Requests of attempts whose upstreams went on running; one for each
   * attempt. */
  std::vector<Fingerprint> mOutlived;
  /** Upstreams of which it isn't known whether they went on running. */
  std::vector<base::UpstreamId> mUnknown;
};

/**
 * Distinguishes upstream crashes from lost responses. A broken connection alone
 * doesn't indicate a crash, but an upstream that refuses connections shortly
 * after connections to it broke has crashed. Other requests may not connect to
 * it in that time, so each broken connection is followed by a probe.
 *
 * An attempt that this side ended, as its time was up, its client left or
 * another attempt replaced it, may still run at its upstream. It stays suspect
 * until its deadline and somewhat longer; the upstream either crashes in that
 * time, or is seen running after it.
 */
class CrashDetector
{
public:
  /** A connection broke after the request was sent and before its response was
   * complete. \returns whether to start a probe: an attempt to connect */
  bool OnBroken(base::TimePoint aNow, Fingerprint aFingerprint,
                const CrashedAttempt& aAttempt);
  /** This side ended an attempt after the request was sent.
   * \param aDeadline until when the upstream was to work on it */
  void OnCancelled(base::TimePoint aNow, Fingerprint aFingerprint,
                   const CrashedAttempt& aAttempt, base::TimePoint aDeadline);
  /** A response of the request proves that it doesn't crash upstreams. */
  void OnSuccess(Fingerprint aFingerprint);
  /** The upstream's process is running. */
  void OnRunning(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** The upstream ended as planned, or isn't known any more. */
  void OnGone(const base::UpstreamId& aUpstream);
  /** \returns whether to start a probe for cancelled attempts; the upstream
   * then counts as being probed. If one was started shortly before,
   * CheckCancelled() names the upstream later. */
  bool StartProbe(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** The probe ended. \returns whether to start another one, as connections
   * broke since it was started */
  bool OnProbeEnded(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /**
   * The upstream refused a connection.
   * \returns the distinct requests that were in flight when it crashed, or that
   * it may have been running after this side had ended them
   */
  std::vector<CrashSuspect> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** Checks the cancelled attempts whose suspicion is about to end. */
  CancelledCheck CheckCancelled(base::TimePoint aNow);
  /** \returns the upstreams with cancelled attempts. */
  std::vector<base::UpstreamId> Watched() const;

  /** Removes expired entries of all upstreams; to be called periodically. */
  void RemoveExpired(base::TimePoint aNow);
  std::size_t Size() const { return mUpstreams.size(); }

private:
  struct CancelledAttempt
  {
    CrashSuspect mSuspect;
    /** Until when the upstream may be running it. */
    base::TimePoint mSuspectUntil;
  };
  struct Upstream
  {
    std::deque<CrashSuspect> mSuspects;
    std::deque<CancelledAttempt> mCancelled;
    /** When its process was last seen running. */
    base::TimePoint mLastRunning{};
    /** When the next probe for cancelled attempts may be started. */
    base::TimePoint mNextProbe{};
    base::Duration mProbeInterval{};
    /** Whether one is to be started then. */
    bool mNeedsProbe = false;
    bool mIsProbed = false;
    /** Whether a connection broke since the probe was started. */
    bool mHasBrokenSince = false;
  };

  static void RemoveExpiredFrom(base::TimePoint aNow, Upstream& aUpstream);
  /** Removes the cancelled attempts for which \a aPredicate holds. */
  template<typename Predicate>
  void RemoveCancelledIf(Upstream& aUpstream, Predicate aPredicate);
  /** A cancelled attempt of the request is no longer kept. */
  void Release(Fingerprint aFingerprint);
  /** Notes the cancelled attempts that the upstream outlived. */
  void TakeOutlived(Upstream& aUpstream);

  std::unordered_map<base::UpstreamId, Upstream> mUpstreams;
  /** Requests of attempts that were outlived since CheckCancelled(). */
  std::vector<Fingerprint> mOutlived;
  /** Number of cancelled attempts, by request. */
  std::unordered_map<Fingerprint, std::uint32_t> mCancelledCounts;
};

} // namespace auburnmux::retries
