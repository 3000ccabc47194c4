#include "cluster/src/QuotaCodec.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::cluster {

namespace {

constexpr double kMaxRate = 1e9;
constexpr std::uint32_t kMaxLifetimeMs = 1000;
constexpr std::uint32_t kMaxRetryMs = 600'000;

protocol::QuotaLevel ToWire(quotas::Level aLevel)
{
  return aLevel == quotas::Level::Aggregator ? protocol::QUOTA_LEVEL_AGGREGATOR
                                             : protocol::QUOTA_LEVEL_ROOT;
}

std::optional<quotas::Level> FromWire(protocol::QuotaLevel aLevel)
{
  switch (aLevel) {
    case protocol::QUOTA_LEVEL_AGGREGATOR:
      return quotas::Level::Aggregator;
    case protocol::QUOTA_LEVEL_ROOT:
      return quotas::Level::Root;
    default:
      return std::nullopt;
  }
}

protocol::QuotaGrant::Standing ToWire(quotas::Standing aStanding)
{
  switch (aStanding) {
    case quotas::Standing::Fresh:
      return protocol::QuotaGrant::FRESH;
    case quotas::Standing::Partial:
      return protocol::QuotaGrant::PARTIAL;
    case quotas::Standing::Whole:
      return protocol::QuotaGrant::WHOLE;
    case quotas::Standing::Unknown:
      break;
  }
  return protocol::QuotaGrant::UNKNOWN;
}

/** \returns Unknown for values of later versions. */
quotas::Standing FromWire(protocol::QuotaGrant::Standing aStanding)
{
  switch (aStanding) {
    case protocol::QuotaGrant::FRESH:
      return quotas::Standing::Fresh;
    case protocol::QuotaGrant::PARTIAL:
      return quotas::Standing::Partial;
    case protocol::QuotaGrant::WHOLE:
      return quotas::Standing::Whole;
    default:
      return quotas::Standing::Unknown;
  }
}

bool IsValidRate(float aRate)
{
  return std::isfinite(aRate) && aRate >= 0 && aRate <= kMaxRate;
}

bool IsValid(const protocol::QuotaDemand& aDemand)
{
  return aDemand.waiting() <= quotas::kMaxTokens &&
         aDemand.ahead() <= quotas::kMaxTokens && IsValidRate(aDemand.rate()) &&
         IsValidRate(aDemand.burst());
}

bool IsValid(const protocol::QuotaAllotment& aAllotment)
{
  return aAllotment.tokens() <= 2 * quotas::kMaxTokens &&
         aAllotment.lifetime_ms() <= kMaxLifetimeMs &&
         aAllotment.retry_ms() <= kMaxRetryMs;
}

} // namespace

protocol::Envelope ToQuotaReport(const quotas::Report& aReport)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_quota_report();
  message.set_level(ToWire(aReport.mLevel));
  message.set_stamp(aReport.mStamp.Count());
  message.set_echo(aReport.mEcho.Count());
  message.set_attached(aReport.mHosts.mAttached);
  message.set_counted(aReport.mHosts.mCounted);
  message.set_sharers(aReport.mHosts.mSharers);
  message.set_known(aReport.mHosts.mKnown);
  for (const quotas::Demand& it : aReport.mDemands) {
    protocol::QuotaDemand& demand = *message.add_demands();
    demand.set_customer(it.mCustomer.Count());
    demand.set_waiting(it.mWaiting);
    demand.set_ahead(it.mAhead);
    if (it.mQuota) {
      demand.set_rate(static_cast<float>(it.mQuota->mRate));
      demand.set_burst(static_cast<float>(it.mQuota->mBurst));
    }
  }
  return envelope;
}

protocol::Envelope ToQuotaGrant(const quotas::Grant& aGrant)
{
  using std::chrono::milliseconds;
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_quota_grant();
  message.set_level(ToWire(aGrant.mLevel));
  message.set_stamp(aGrant.mStamp.Count());
  message.set_echo(aGrant.mEcho.Count());
  message.set_standing(ToWire(aGrant.mStanding));
  for (const quotas::Allotment& it : aGrant.mAllotments) {
    protocol::QuotaAllotment& allotment = *message.add_allotments();
    allotment.set_customer(it.mCustomer.Count());
    allotment.set_tokens(it.mTokens);
    // Tokens must not live longer, and a refusal must stay one.
    allotment.set_lifetime_ms(static_cast<std::uint32_t>(
      std::chrono::floor<milliseconds>(it.mLifetime).count()));
    allotment.set_retry_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(it.mRetryAfter).count()));
  }
  return envelope;
}

std::optional<quotas::Report> FromWire(const protocol::QuotaReport& aMessage)
{
  const auto level = FromWire(aMessage.level());
  const bool isValid =
    level && aMessage.stamp() != 0 &&
    aMessage.attached() <= quotas::kMaxHosts &&
    aMessage.counted() <= aMessage.attached() &&
    aMessage.sharers() <= quotas::kMaxHosts &&
    aMessage.known() <= quotas::kMaxHosts &&
    aMessage.demands_size() <= static_cast<int>(quotas::kMaxDemands) &&
    std::all_of(aMessage.demands().begin(), aMessage.demands().end(),
                [](const protocol::QuotaDemand& aIt) { return IsValid(aIt); });
  if (!isValid) {
    return std::nullopt;
  }
  quotas::Report report;
  report.mLevel = *level;
  report.mStamp = quotas::Stamp(aMessage.stamp());
  report.mEcho = quotas::Stamp(aMessage.echo());
  report.mHosts = { aMessage.attached(), aMessage.counted(), aMessage.sharers(),
                    aMessage.known() };
  for (const protocol::QuotaDemand& it : aMessage.demands()) {
    quotas::Demand demand{ quotas::CustomerHash(it.customer()), it.waiting(),
                           it.ahead() };
    if (it.rate() > 0) {
      demand.mQuota = quotas::Quota{ it.rate(), it.burst() };
    }
    report.mDemands.push_back(demand);
  }
  return report;
}

std::optional<quotas::Grant> FromWire(const protocol::QuotaGrant& aMessage)
{
  const auto level = FromWire(aMessage.level());
  const bool isValid =
    level && aMessage.stamp() != 0 &&
    aMessage.allotments_size() <= static_cast<int>(quotas::kMaxDemands) &&
    std::all_of(
      aMessage.allotments().begin(), aMessage.allotments().end(),
      [](const protocol::QuotaAllotment& aIt) { return IsValid(aIt); });
  if (!isValid) {
    return std::nullopt;
  }
  quotas::Grant grant;
  grant.mLevel = *level;
  grant.mStamp = quotas::Stamp(aMessage.stamp());
  grant.mEcho = quotas::Stamp(aMessage.echo());
  grant.mStanding = FromWire(aMessage.standing());
  for (const protocol::QuotaAllotment& it : aMessage.allotments()) {
    grant.mAllotments.push_back({ quotas::CustomerHash(it.customer()),
                                  it.tokens(),
                                  std::chrono::milliseconds(it.lifetime_ms()),
                                  std::chrono::milliseconds(it.retry_ms()) });
  }
  return grant;
}

} // namespace auburnmux::cluster
