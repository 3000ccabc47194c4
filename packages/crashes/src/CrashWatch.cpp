#include "crashes/src/CrashWatch.h"

namespace auburnmux::crashes {

namespace {

constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(500);

constexpr base::Duration kTick = std::chrono::milliseconds(250);

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
                       telemetry::Metrics& aMetrics, Finder aFinder,
                       std::uint32_t aThreshold)
  : mLoop(aLoop)
  , mClient(aClient)
  , mMetrics(aMetrics)
  , mFinder(std::move(aFinder))
  , mGuard(retries::QuarantineSettings{ aThreshold })
  , mTick(aLoop.Every(kTick, [this] { OnTick(); }))
{
  mClient.ObserveIdle(
    [this](const http::Endpoint& aEndpoint) { OnIdleClosed(aEndpoint); });
}

CrashWatch::~CrashWatch()
{
  mLoop.Cancel(mTick);
  mClient.ObserveIdle(nullptr);
}

void CrashWatch::OnBroken(retries::Fingerprint aFingerprint,
                          const retries::CrashedAttempt& aAttempt)
{
  if (mGuard.OnBroken(mLoop.Now(), aFingerprint, aAttempt)) {
    Probe(aAttempt.mUpstream);
  }
}

void CrashWatch::OnCrash(retries::Fingerprint aFingerprint,
                         const retries::CrashedAttempt& aAttempt)
{
  if (const auto record = mGuard.OnCrash(mLoop.Now(), aFingerprint, aAttempt)) {
    Report(aAttempt.mUpstream, *record);
  }
}

void CrashWatch::OnCancelled(retries::Fingerprint aFingerprint,
                             const retries::CrashedAttempt& aAttempt,
                             base::TimePoint aDeadline)
{
  if (!mFinder(aAttempt.mUpstream)) {
    return;
  }
  mGuard.OnCancelled(mLoop.Now(), aFingerprint, aAttempt, aDeadline);
  KeepConnection(aAttempt.mUpstream);
}

bool CrashWatch::KeepConnection(const base::UpstreamId& aUpstream)
{
  const auto endpoint = mFinder(aUpstream);
  if (endpoint && mClient.HasIdle(*endpoint)) {
    return true;
  }
  if (mGuard.StartProbe(mLoop.Now(), aUpstream)) {
    Probe(aUpstream);
  }
  return false;
}

void CrashWatch::OnRunning(const base::UpstreamId& aUpstream)
{
  mGuard.OnRunning(mLoop.Now(), aUpstream);
}

void CrashWatch::OnIdleClosed(const http::Endpoint& aEndpoint)
{
  for (const base::UpstreamId& it : mGuard.Watched()) {
    if (mFinder(it) == aEndpoint && mGuard.StartProbe(mLoop.Now(), it)) {
      Probe(it);
    }
  }
}

void CrashWatch::Probe(const base::UpstreamId& aUpstream)
{
  const auto endpoint = mFinder(aUpstream);
  const bool isStarted =
    endpoint &&
    mClient.OpenIdle(*endpoint, kProbeTimeout,
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
  } else if (aOutcome == http::ConnectOutcome::Connected) {
    OnRunning(aUpstream);
  }
  if (mGuard.OnProbeEnded(mLoop.Now(), aUpstream)) {
    Probe(aUpstream);
  }
}

void CrashWatch::OnConnectRefused(const base::UpstreamId& aUpstream)
{
  if (!mFinder(aUpstream)) {
    mGuard.OnGone(aUpstream);
    return;
  }
  for (const retries::CrashRecord& it :
       mGuard.OnRefusedConnection(mLoop.Now(), aUpstream)) {
    Report(aUpstream, it);
  }
}

void CrashWatch::Report(const base::UpstreamId& aUpstream,
                        const retries::CrashRecord& aRecord)
{
  base::LogWarning(base::LogLine("upstream_crash")
                     .With("upstream", aUpstream)
                     .With("fingerprint", aRecord.mFingerprint)
                     .With("crashes", aRecord.mAttempts.size()));
  mReporter(aRecord);
}

void CrashWatch::OnSuccess(retries::Fingerprint aFingerprint)
{
  mGuard.OnSuccess(mLoop.Now(), aFingerprint);
}

void CrashWatch::Merge(const retries::CrashRecord& aRecord,
                       const base::HostId& aSender)
{
  mGuard.Merge(mLoop.Now(), aRecord, aSender);
}

void CrashWatch::OnTick()
{
  const retries::GuardTick tick = mGuard.OnTick(mLoop.Now());
  for (const retries::CrashRecord& it : tick.mRecords) {
    mReporter(it);
  }
  for (const base::UpstreamId& it : tick.mUnknown) {
    if (!mFinder(it)) {
      mGuard.OnGone(it);
    } else if (KeepConnection(it)) {
      OnRunning(it);
    }
  }
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

} // namespace auburnmux::crashes
