#include "cluster/Cluster.h"

#include "base/test/support/Property.h"

#include <limits>

using namespace auburnmux;
using namespace auburnmux::cluster;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

quotas::Report SampleReport()
{
  quotas::Report report;
  report.mLevel = quotas::Level::Root;
  report.mStamp = quotas::Stamp(7);
  report.mEcho = quotas::Stamp(9);
  report.mHosts = { 5, 4, 34, 33 };
  report.mDemands = { { quotas::CustomerHash(1), 2, 3, quotas::Quota{ 4, 5 } },
                      { quotas::CustomerHash(2), 1, 0 } };
  return report;
}

bool IsValid(const protocol::QuotaReport& aMessage)
{
  return FromWire(aMessage).has_value();
}

} // namespace

TEST_GROUP(QuotaCodec){};

// Guards against fields that get lost or mixed up between hosts.
TEST(QuotaCodec, ReportKeepsItsContent)
{
  const auto read = FromWire(ToQuotaReport(SampleReport()).quota_report());
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read->mLevel == quotas::Level::Root);
  CHECK_TRUE(read->mStamp == quotas::Stamp(7));
  CHECK_TRUE(read->mEcho == quotas::Stamp(9));
  CHECK_EQUAL(5, read->mHosts.mAttached);
  CHECK_EQUAL(4, read->mHosts.mCounted);
  CHECK_EQUAL(34, read->mHosts.mSharers);
  CHECK_EQUAL(33, read->mHosts.mKnown);
  CHECK_EQUAL(2, read->mDemands.size());
  CHECK_EQUAL(2, read->mDemands[0].mWaiting);
  CHECK_EQUAL(3, read->mDemands[0].mAhead);
  CHECK_TRUE(read->mDemands[0].mQuota->mRate == 4);
  CHECK_TRUE(read->mDemands[0].mQuota->mBurst == 5);
  CHECK_FALSE(read->mDemands[1].mQuota.has_value());
}

// Guards against tokens that live longer, or refusals that get lost, by
// rounding.
TEST(QuotaCodec, GrantIsRoundedToTheSafeSide)
{
  quotas::Grant grant;
  grant.mStamp = quotas::Stamp(3);
  grant.mStanding = quotas::Standing::Whole;
  grant.mAllotments = { { quotas::CustomerHash(1), 6, microseconds(1999),
                          microseconds(1) } };
  const auto read = FromWire(ToQuotaGrant(grant).quota_grant());
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read->mStanding == quotas::Standing::Whole);
  CHECK_EQUAL(6, read->mAllotments.at(0).mTokens);
  CHECK_TRUE(read->mAllotments[0].mLifetime == milliseconds(1));
  CHECK_TRUE(read->mAllotments[0].mRetryAfter == milliseconds(1));
}

// Guards against messages of faulty senders that break the bound on tokens or
// on memory.
TEST(QuotaCodec, InvalidMessagesAreIgnored)
{
  const protocol::QuotaReport good =
    ToQuotaReport(SampleReport()).quota_report();
  protocol::QuotaReport bad = good;
  bad.set_level(protocol::QUOTA_LEVEL_UNSPECIFIED);
  CHECK_FALSE(IsValid(bad));
  bad = good;
  bad.set_counted(bad.attached() + 1);
  CHECK_FALSE(IsValid(bad));
  bad = good;
  bad.set_sharers(quotas::kMaxHosts + 1);
  CHECK_FALSE(IsValid(bad));
  for (const float it : { -1.0F, std::numeric_limits<float>::quiet_NaN(),
                          std::numeric_limits<float>::infinity() }) {
    bad = good;
    bad.mutable_demands(0)->set_rate(it);
    CHECK_FALSE(IsValid(bad));
  }
  bad = good;
  while (bad.demands_size() <= static_cast<int>(quotas::kMaxDemands)) {
    bad.add_demands();
  }
  CHECK_FALSE(IsValid(bad));
  protocol::QuotaGrant grant = ToQuotaGrant({}).quota_grant();
  CHECK_FALSE(FromWire(grant).has_value()); // no stamp
  grant.set_stamp(1);
  CHECK_TRUE(FromWire(grant).has_value());
  grant.add_allotments()->set_lifetime_ms(1001);
  CHECK_FALSE(FromWire(grant).has_value());
}

// Guards against reports that the receiver drops for their size.
TEST(QuotaCodec, LargestReportIsAccepted)
{
  quotas::Report report = SampleReport();
  report.mDemands.assign(quotas::kMaxDemands,
                         { quotas::CustomerHash(1), quotas::kMaxTokens,
                           quotas::kMaxTokens, quotas::Quota{ 1e6, 1e6 } });
  protocol::Envelope envelope = ToQuotaReport(report);
  envelope.set_protocol_version(protocol::kProtocolVersion);
  envelope.set_sender(std::string(128, 'h'));
  protocol::EnvelopeGuard guard;
  protocol::Envelope read;
  CHECK_TRUE(guard.Accept(envelope.SerializeAsString(), read) ==
             protocol::Rejection::None);
}
