#include "cluster/src/CrashReportCodec.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace auburnmux::cluster {

namespace {

/** Maximum attempts in a report. Senders never exceed it. */
constexpr int kMaxAttempts = 16;

std::uint32_t ToMilliseconds(base::Duration aTime)
{
  const auto n =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(n, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

protocol::Envelope ToCrashReport(base::TimePoint aNow,
                                 const retries::CrashRecord& aRecord)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_crash_report();
  message.set_request_hash(aRecord.mFingerprint.Count());
  message.set_outlived(aRecord.mOutlived);
  for (const retries::CrashedAttempt& it : aRecord.mAttempts) {
    message.add_upstreams(it.mUpstream.Text());
    protocol::CrashedAttempt& attempt = *message.add_attempts();
    attempt.set_upstream(it.mUpstream.Text());
    attempt.set_crashed_ms_ago(ToMilliseconds(aNow - it.CrashTime()));
    attempt.set_lasted_ms(ToMilliseconds(it.CrashTime() - it.mSent));
    attempt.set_cancelled_ms_before(ToMilliseconds(it.mCrashDelay));
  }
  return envelope;
}

std::optional<retries::CrashRecord> FromWire(
  base::TimePoint aNow, const protocol::CrashReport& aMessage)
{
  if (aMessage.attempts_size() == 0 ||
      aMessage.attempts_size() > kMaxAttempts) {
    return std::nullopt;
  }
  retries::CrashRecord record;
  record.mFingerprint = retries::Fingerprint(aMessage.request_hash());
  record.mOutlived = aMessage.outlived();
  for (const protocol::CrashedAttempt& it : aMessage.attempts()) {
    const base::TimePoint crash =
      aNow - std::chrono::milliseconds(it.crashed_ms_ago());
    const std::chrono::milliseconds delay(
      std::min(it.cancelled_ms_before(), it.lasted_ms()));
    record.mAttempts.push_back(
      { base::UpstreamId(it.upstream()),
        crash - std::chrono::milliseconds(it.lasted_ms()), crash - delay,
        delay });
  }
  return record;
}

} // namespace auburnmux::cluster
