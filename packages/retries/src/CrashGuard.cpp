#include "retries/src/CrashGuard.h"

namespace auburnmux::retries {

CrashGuard::CrashGuard(QuarantineSettings aSettings)
  : mQuarantine(aSettings)
{
}

void CrashGuard::OnBroken(base::TimePoint aNow,
                          const base::UpstreamId& aUpstream,
                          Fingerprint aFingerprint)
{
  mDetector.OnBroken(aNow, aUpstream, aFingerprint);
}

std::vector<CrashRecord> CrashGuard::OnRefusedConnection(
  base::TimePoint aNow, const base::UpstreamId& aUpstream)
{
  std::vector<CrashRecord> records;
  for (const Fingerprint it : mDetector.OnRefusedConnection(aNow, aUpstream)) {
    if (const auto record = mQuarantine.OnCrash(aNow, it, aUpstream)) {
      records.push_back(*record);
    }
  }
  return records;
}

void CrashGuard::OnSuccess(base::TimePoint aNow, Fingerprint aFingerprint)
{
  mQuarantine.OnSuccess(aNow, aFingerprint);
}

void CrashGuard::Merge(base::TimePoint aNow, const CrashRecord& aRecord)
{
  mQuarantine.Merge(aNow, aRecord);
}

bool CrashGuard::IsRefused(base::TimePoint aNow, Fingerprint aFingerprint) const
{
  return mQuarantine.IsRefused(aNow, aFingerprint);
}

} // namespace auburnmux::retries
