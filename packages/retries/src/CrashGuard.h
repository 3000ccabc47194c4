#pragma once

#include "retries/src/CrashDetector.h"
#include "retries/src/CrashQuarantine.h"

namespace auburnmux::retries {

/** Detects requests that crash upstreams and refuses further attempts. */
class CrashGuard
{
public:
  explicit CrashGuard(QuarantineSettings aSettings = {});

  /** A connection broke after the request was sent and before its response was
   * complete. \returns whether to probe the upstream with a connection */
  bool OnBroken(base::TimePoint aNow, Fingerprint aFingerprint,
                const CrashedAttempt& aAttempt);
  /** The probe ended. \returns whether to probe the upstream again */
  bool OnProbeEnded(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /** The upstream refused a connection. \returns the records to send to
   * peers. */
  std::vector<CrashRecord> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);
  void OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint);
  /** Merges a peer's record. */
  void Merge(base::TimePoint aNow, const CrashRecord& aRecord);
  /** Removes expired state; to be called about once a second. */
  void OnTick(base::TimePoint aNow) { mDetector.RemoveExpired(aNow); }

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
