#pragma once

#include "retries/src/CrashQuarantine.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace auburnmux::retries {

/** A request and its attempt that was in flight when its upstream crashed. */
struct CrashSuspect
{
  Fingerprint mFingerprint;
  CrashedAttempt mAttempt;
};

/**
 * Distinguishes upstream crashes from lost responses. A broken connection alone
 * doesn't indicate a crash, but an upstream that refuses connections shortly
 * after connections to it broke has crashed. Other requests may not connect to
 * it in that time, so each broken connection is followed by a probe.
 */
class CrashDetector
{
public:
  /** A connection broke after the request was sent and before its response was
   * complete. \returns whether to start a probe: an attempt to connect */
  bool OnBroken(base::TimePoint aNow, Fingerprint aFingerprint,
                const CrashedAttempt& aAttempt);
  /** The probe ended. \returns whether to start another one, as connections
   * broke since it was started */
  bool OnProbeEnded(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  /**
   * The upstream refused a connection.
   * \returns the distinct requests that were in flight when it crashed
   */
  std::vector<CrashSuspect> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);

  /** Removes expired entries of all upstreams; to be called periodically. */
  void RemoveExpired(base::TimePoint aNow);
  std::size_t Size() const { return mUpstreams.size(); }

private:
  struct Upstream
  {
    std::deque<CrashSuspect> mSuspects;
    bool mIsProbed = false;
    /** Whether a connection broke since the probe was started. */
    bool mHasBrokenSince = false;
  };

  static void RemoveExpiredFrom(base::TimePoint aNow, Upstream& aUpstream);

  std::unordered_map<base::UpstreamId, Upstream> mUpstreams;
};

} // namespace auburnmux::retries
