#pragma once

#include "retries/src/CrashDetector.h"
#include "retries/src/CrashQuarantine.h"

namespace auburnmux::retries {

/** Result of CrashGuard::OnTick(). */
struct GuardTick
{
  /** Records to send to peers. */
  std::vector<CrashRecord> mRecords;
  /** Upstreams of which to find out whether they are running. */
  std::vector<base::UpstreamId> mUnknown;
};

/** Detects requests that crash upstreams and refuses further attempts. */
class CrashGuard
{
public:
  explicit CrashGuard(QuarantineSettings aSettings = {});

  /** A connection broke after the request was sent and before its response was
   * complete. \returns whether to probe the upstream with a connection */
  bool OnBroken(base::TimePoint aNow, Fingerprint aFingerprint,
                const CrashedAttempt& aAttempt);
  /** An upstream crashed as it ran the request, without further evidence.
   * \returns the record to send to peers; none when the crash does not count */
  std::optional<CrashRecord> OnCrash(base::TimePoint aNow,
                                     Fingerprint aFingerprint,
                                     const CrashedAttempt& aAttempt)
  {
    return mQuarantine.OnCrash(aNow, aFingerprint, aAttempt);
  }
  /** This side ended an attempt after the request was sent, and the upstream
   * may run it until \a aDeadline or longer. */
  void OnCancelled(base::TimePoint aNow, Fingerprint aFingerprint,
                   const CrashedAttempt& aAttempt, base::TimePoint aDeadline);
  /** The upstream's process is running. */
  void OnRunning(base::TimePoint aNow, const base::UpstreamId& aUpstream)
  {
    mDetector.OnRunning(aNow, aUpstream);
  }
  /** The upstream ended as planned, or isn't known any more. */
  void OnGone(const base::UpstreamId& aUpstream)
  {
    mDetector.OnGone(aUpstream);
  }
  /** \returns whether to probe the upstream for its cancelled attempts */
  bool StartProbe(base::TimePoint aNow, const base::UpstreamId& aUpstream)
  {
    return mDetector.StartProbe(aNow, aUpstream);
  }
  /** The probe ended. \returns whether to probe the upstream again */
  bool OnProbeEnded(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** The upstream refused a connection. \returns the records to send to
   * peers. */
  std::vector<CrashRecord> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);
  void OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint);
  /** Merges the record of a peer. */
  void Merge(base::TimePoint aNow, const CrashRecord& aRecord,
             const base::HostId& aSender = {});
  /** Removes expired state; to be called several times a second. */
  GuardTick OnTick(base::TimePoint aNow);
  /** \returns the upstreams with cancelled attempts. */
  std::vector<base::UpstreamId> Watched() const { return mDetector.Watched(); }

  bool IsRefused(base::TimePoint aNow, Fingerprint aFingerprint) const;
  /** \returns the requests that are refused, to send to a host that joins. */
  std::vector<CrashRecord> Refused(base::TimePoint aNow) const;
  /** \returns whether a request may be sent again after its connection broke:
   * it would not be refused if that turned out to be a crash. */
  bool MayRetryAfterBreak(base::TimePoint aNow, Fingerprint aFingerprint) const;

private:
  CrashDetector mDetector;
  CrashQuarantine mQuarantine;
};

} // namespace auburnmux::retries
