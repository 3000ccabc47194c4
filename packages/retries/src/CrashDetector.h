#pragma once

#include "retries/src/CrashQuarantine.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace auburnmux::retries {

/**
 * Distinguishes upstream crashes from lost responses. A broken connection alone
 * doesn't indicate a crash, but an upstream that refuses connections shortly
 * after connections to it broke has crashed.
 */
class CrashDetector
{
public:
  /** A connection broke after the request was sent and before a response. */
  void OnBroken(base::TimePoint aNow, const base::UpstreamId& aUpstream,
                Fingerprint aFingerprint);
  /**
   * The upstream refused a connection.
   * \returns the distinct requests that were in flight when it crashed
   */
  std::vector<Fingerprint> OnRefusedConnection(
    base::TimePoint aNow, const base::UpstreamId& aUpstream);

  /** Removes expired entries of all upstreams; to be called periodically. */
  void RemoveExpired(base::TimePoint aNow);
  std::size_t Size() const { return mFailedRequests.size(); }

private:
  struct FailedRequest
  {
    base::TimePoint mAt;
    Fingerprint mFingerprint;
  };
  using FailedRequests = std::deque<FailedRequest>;

  static void RemoveExpiredFrom(base::TimePoint aNow,
                                FailedRequests& aRequests);

  std::unordered_map<base::UpstreamId, FailedRequests> mFailedRequests;
};

} // namespace auburnmux::retries
