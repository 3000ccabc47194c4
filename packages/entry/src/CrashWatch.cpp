#include "entry/src/CrashWatch.h"

namespace auburnmux::entry {

namespace {

/** Number of upstreams that a request may crash before all hosts refuse it. */
constexpr std::uint32_t kCrashThreshold = 3;

constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(500);

std::string_view OutcomeName(http::ConnectOutcome aOutcome)
{
  switch (aOutcome) {
    case http::ConnectOutcome::Connected:
      return "connected";
    case http::ConnectOutcome::Refused:
      return "refused";
    case http::ConnectOutcome::Failed:
      return "failed";
  }
  return "unknown";
}

} // namespace

CrashWatch::CrashWatch(http::Loop& aLoop, http::Client& aClient,
                       telemetry::Metrics& aMetrics,
                       const Endpoints& aEndpoints)
  : mLoop(aLoop)
  , mClient(aClient)
  , mMetrics(aMetrics)
  , mEndpoints(aEndpoints)
  , mGuard(retries::QuarantineSettings{ kCrashThreshold })
{
}

void CrashWatch::OnBroken(retries::Fingerprint aFingerprint,
                          const retries::CrashedAttempt& aAttempt)
{
  if (mGuard.OnBroken(mLoop.Now(), aFingerprint, aAttempt)) {
    Probe(aAttempt.mUpstream);
  }
}

void CrashWatch::Probe(const base::UpstreamId& aUpstream)
{
  const auto endpoint = mEndpoints.find(aUpstream);
  const bool isStarted =
    endpoint != mEndpoints.end() &&
    mClient.OpenIdle(endpoint->second, kProbeTimeout,
                     [this, aUpstream](http::ConnectOutcome aOutcome) {
                       OnProbeEnded(aUpstream, aOutcome);
                     });
  if (!isStarted) {
    OnProbeEnded(aUpstream, http::ConnectOutcome::Failed);
  }
}

void CrashWatch::OnProbeEnded(const base::UpstreamId& aUpstream,
                              http::ConnectOutcome aOutcome)
{
  const std::string_view outcome = OutcomeName(aOutcome);
  base::LogInfo(base::LogLine("upstream_probed")
                  .With("upstream", aUpstream)
                  .With("outcome", outcome));
  mMetrics.Count("auburnmux_upstream_probes_total",
                 { { "outcome", std::string(outcome) } });
  if (aOutcome == http::ConnectOutcome::Refused) {
    OnConnectRefused(aUpstream);
  }
  if (mGuard.OnProbeEnded(mLoop.Now(), aUpstream)) {
    Probe(aUpstream);
  }
}

void CrashWatch::OnConnectRefused(const base::UpstreamId& aUpstream)
{
  for (const retries::CrashRecord& it :
       mGuard.OnRefusedConnection(mLoop.Now(), aUpstream)) {
    base::LogWarning(base::LogLine("upstream_crash")
                       .With("upstream", aUpstream)
                       .With("fingerprint", it.mFingerprint)
                       .With("crashes", it.mAttempts.size()));
    mReporter(it);
  }
}

void CrashWatch::OnSuccess(retries::Fingerprint aFingerprint)
{
  mGuard.OnSuccess(mLoop.Now(), aFingerprint);
}

void CrashWatch::Merge(const retries::CrashRecord& aRecord)
{
  mGuard.Merge(mLoop.Now(), aRecord);
}

void CrashWatch::OnTick()
{
  mGuard.OnTick(mLoop.Now());
}

bool CrashWatch::IsRefused(retries::Fingerprint aFingerprint) const
{
  return mGuard.IsRefused(mLoop.Now(), aFingerprint);
}

std::vector<retries::CrashRecord> CrashWatch::Refused() const
{
  return mGuard.Refused(mLoop.Now());
}

bool CrashWatch::MayRetryAfterBreak(retries::Fingerprint aFingerprint) const
{
  return mGuard.MayRetryAfterBreak(mLoop.Now(), aFingerprint);
}

} // namespace auburnmux::entry
