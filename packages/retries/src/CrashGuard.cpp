#include "retries/src/CrashGuard.h"

#include <utility>

namespace auburnmux::retries {

CrashGuard::CrashGuard(QuarantineSettings aSettings)
  : mQuarantine(aSettings)
{
}

bool CrashGuard::OnBroken(base::TimePoint aNow, Fingerprint aFingerprint,
                          const CrashedAttempt& aAttempt)
{
  return mDetector.OnBroken(aNow, aFingerprint, aAttempt);
}

void CrashGuard::OnCancelled(base::TimePoint aNow, Fingerprint aFingerprint,
                             const CrashedAttempt& aAttempt,
                             base::TimePoint aDeadline)
{
  mDetector.OnCancelled(aNow, aFingerprint, aAttempt, aDeadline);
}

bool CrashGuard::OnProbeEnded(base::TimePoint aNow,
                              const base::UpstreamId& aUpstream)
{
  return mDetector.OnProbeEnded(aNow, aUpstream);
}

std::vector<CrashRecord> CrashGuard::OnRefusedConnection(
  base::TimePoint aNow, const base::UpstreamId& aUpstream)
{
  std::vector<CrashRecord> records;
  for (const CrashSuspect& it :
       mDetector.OnRefusedConnection(aNow, aUpstream)) {
    if (const auto record =
          mQuarantine.OnCrash(aNow, it.mFingerprint, it.mAttempt)) {
      records.push_back(*record);
    }
  }
  return records;
}

void CrashGuard::OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint)
{
  mDetector.OnSuccess(aFingerprint);
  mQuarantine.OnSuccess(aNow, aFingerprint);
}

GuardTick CrashGuard::OnTick(base::TimePoint aNow)
{
  CancelledCheck check = mDetector.CheckCancelled(aNow);
  GuardTick result;
  for (const Fingerprint it : check.mOutlived) {
    if (auto record = mQuarantine.OnOutlived(aNow, it)) {
      result.mRecords.push_back(std::move(*record));
    }
  }
  result.mUnknown = std::move(check.mUnknown);
  mDetector.RemoveExpired(aNow);
  return result;
}

void CrashGuard::Merge(base::TimePoint aNow, const CrashRecord& aRecord,
                       const base::HostId& aSender)
{
  mQuarantine.Merge(aNow, aRecord, aSender);
}

bool CrashGuard::IsRefused(base::TimePoint aNow, Fingerprint aFingerprint) const
{
  return mQuarantine.IsRefused(aNow, aFingerprint);
}

std::vector<CrashRecord> CrashGuard::Refused(base::TimePoint aNow) const
{
  return mQuarantine.Refused(aNow);
}

bool CrashGuard::MayRetryAfterBreak(base::TimePoint aNow,
                                    Fingerprint aFingerprint) const
{
  return mQuarantine.CrashesLeft(aNow, aFingerprint) > 1;
}

} // namespace auburnmux::retries
