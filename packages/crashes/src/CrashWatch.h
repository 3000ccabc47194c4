#pragma once

#include "http/Http.h"
#include "retries/Retries.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <optional>
#include <vector>

namespace auburnmux::crashes {

/**
 * Finds the requests that crash upstreams, reports them to the other hosts, and
 * tells which requests to refuse. Which broken connections are due to crashes
 * is found out by probes. While an upstream may be running a request that this
 * host has ended, an idle connection to it is kept open, whose end leads to a
 * probe.
 */
class CrashWatch
{
public:
  /** Finds an upstream; none if it is unknown or gone, or leaves as planned. */
  using Finder =
    std::function<std::optional<http::Endpoint>(const base::UpstreamId&)>;
  using Reporter = std::function<void(const retries::CrashRecord&)>;

  /** The arguments must outlive the client's callbacks.
   * \param aThreshold number of upstreams that a request may crash before all
   * hosts refuse it */
  CrashWatch(http::Loop& aLoop, http::Client& aClient,
             telemetry::Metrics& aMetrics, Finder aFinder,
             std::uint32_t aThreshold);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /** Calls \a aReporter with all that is known of a request each time that it
   * has crashed an upstream. */
  void ReportTo(Reporter aReporter) { mReporter = std::move(aReporter); }

  /** The connection of an attempt broke before the response was complete. */
  void OnBroken(retries::Fingerprint aFingerprint,
                const retries::CrashedAttempt& aAttempt);
  /** Same, where a broken connection alone counts as a crash. */
  void OnCrash(retries::Fingerprint aFingerprint,
               const retries::CrashedAttempt& aAttempt);
  /** This host ended an attempt after the request was sent, and the upstream
   * may run it until \a aDeadline or longer. */
  void OnCancelled(retries::Fingerprint aFingerprint,
                   const retries::CrashedAttempt& aAttempt,
                   base::TimePoint aDeadline);
  /** An upstream's process is running, as a response shows. */
  void OnRunning(const base::UpstreamId& aUpstream);
  /** An upstream refused a connection. */
  void OnConnectRefused(const base::UpstreamId& aUpstream);
  void OnSuccess(retries::Fingerprint aFingerprint);
  /** Another host reported a request. */
  void Merge(const retries::CrashRecord& aRecord, const base::HostId& aSender);
  bool IsRefused(retries::Fingerprint aFingerprint) const;
  /** \returns the requests that are refused. */
  std::vector<retries::CrashRecord> Refused() const;
  /** \sa retries::CrashGuard::MayRetryAfterBreak */
  bool MayRetryAfterBreak(retries::Fingerprint aFingerprint) const;

private:
  void Report(const base::UpstreamId& aUpstream,
              const retries::CrashRecord& aRecord);
  void OnTick();
  /** The server closed an idle connection. */
  void OnIdleClosed(const http::Endpoint& aEndpoint);
  /** Opens an idle connection to the upstream unless there is one.
   * \returns whether there is one */
  bool KeepConnection(const base::UpstreamId& aUpstream);
  void Probe(const base::UpstreamId& aUpstream);
  void OnProbeEnded(const base::UpstreamId& aUpstream,
                    http::ConnectOutcome aOutcome);

  http::Loop& mLoop;
  http::Client& mClient;
  telemetry::Metrics& mMetrics;
  Finder mFinder;
  Reporter mReporter;
  retries::CrashGuard mGuard;
  http::Loop::TimerId mTick;
};

} // namespace auburnmux::crashes
