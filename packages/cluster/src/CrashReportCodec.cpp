#include "cluster/src/CrashReportCodec.h"

namespace auburnmux::cluster {

namespace {

/** Maximum upstreams in a report. Senders never exceed it. */
constexpr int kMaxUpstreams = 16;

} // namespace

protocol::Envelope ToCrashReport(const base::ServiceId& aService,
                                 const retries::CrashRecord& aRecord)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_crash_report();
  message.set_request_hash(aRecord.mFingerprint.Count());
  message.set_service(aService.Text());
  for (const base::UpstreamId& it : aRecord.mUpstreams) {
    message.add_upstreams(it.Text());
  }
  return envelope;
}

std::optional<retries::CrashRecord> FromWire(
  const protocol::CrashReport& aMessage)
{
  if (aMessage.upstreams_size() > kMaxUpstreams) {
    return std::nullopt;
  }
  retries::CrashRecord record;
  record.mFingerprint = retries::Fingerprint(aMessage.request_hash());
  for (const std::string& it : aMessage.upstreams()) {
    record.mUpstreams.emplace_back(it);
  }
  return record;
}

} // namespace auburnmux::cluster
