#pragma once

#include "http/Http.h"
#include "retries/Retries.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <unordered_map>

namespace auburnmux::entry {

/**
 * Finds the requests that crash upstreams, reports them to the other hosts, and
 * tells which requests to refuse. Which broken connections are due to crashes
 * is found out by probes.
 */
class CrashWatch
{
public:
  using Endpoints = std::unordered_map<base::UpstreamId, http::Endpoint>;
  using Reporter = std::function<void(const retries::CrashRecord&)>;

  /** The arguments must outlive the client's callbacks. */
  CrashWatch(http::Loop& aLoop, http::Client& aClient,
             telemetry::Metrics& aMetrics, const Endpoints& aEndpoints);

  /** Calls \a aReporter with all that is known of a request each time that it
   * has crashed an upstream. */
  void ReportTo(Reporter aReporter) { mReporter = std::move(aReporter); }

  /** The connection of an attempt broke before the response was complete. */
  void OnBroken(retries::Fingerprint aFingerprint,
                const retries::CrashedAttempt& aAttempt);
  /** An upstream refused a connection. */
  void OnConnectRefused(const base::UpstreamId& aUpstream);
  void OnSuccess(retries::Fingerprint aFingerprint);
  /** Another host reported a request. */
  void Merge(const retries::CrashRecord& aRecord);
  /** Removes expired state; to be called about once a second. */
  void OnTick();

  bool IsRefused(retries::Fingerprint aFingerprint) const;
  /** \returns the requests that are refused. */
  std::vector<retries::CrashRecord> Refused() const;
  /** \sa retries::CrashGuard::MayRetryAfterBreak */
  bool MayRetryAfterBreak(retries::Fingerprint aFingerprint) const;

private:
  void Probe(const base::UpstreamId& aUpstream);
  void OnProbeEnded(const base::UpstreamId& aUpstream,
                    http::ConnectOutcome aOutcome);

  http::Loop& mLoop;
  http::Client& mClient;
  telemetry::Metrics& mMetrics;
  const Endpoints& mEndpoints;
  Reporter mReporter;
  retries::CrashGuard mGuard;
};

} // namespace auburnmux::entry
