#pragma once

#include "retries/src/CrashQuarantine.h"
#include "retries/src/CrashWatch.h"

namespace auburnmux::retries {

/** Keeps requests that crash upstreams from reaching more of them. */
class CrashGuard
{
public:
  explicit CrashGuard(QuarantineSettings aSettings = {});

  /** A request's connection broke before any response, after it was sent. */
  void OnBroken(base::TimePoint aNow, const base::UpstreamId& aUpstream,
                Fingerprint aFingerprint);
  /** The upstream refused a connection. \returns what to tell peers */
  std::vector<CrashRecord> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);
  void OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint);
  /** Merges a peer's record. */
  void Merge(base::TimePoint aNow, const CrashRecord& aRecord);
  /** To be called about every second. */
  void OnTick(base::TimePoint aNow) { mWatch.Forget(aNow); }

  bool IsRefused(base::TimePoint aNow, Fingerprint aFingerprint) const;

private:
  CrashWatch mWatch;
  CrashQuarantine mQuarantine;
};

} // namespace auburnmux::retries
