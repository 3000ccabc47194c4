#pragma once

#include "base/Base.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburnmux::quotas {

/** 64-bit hash of a customer's name. */
using CustomerHash = base::Quantity<struct CustomerHashTag>;
/** A time on the sender's own clock; 0 means none. Only the process that
 * issued a stamp can convert it to a time. */
using Stamp = base::Quantity<struct StampTag>;

/** Requests that a customer may run on all hosts together. */
struct Quota
{
  double mRate = 0;
  double mBurst = 0;
};

/** The customers that have a quota. */
using QuotaTable = std::unordered_map<CustomerHash, Quota>;

/** Role in which the receiver of a report, or the sender of a grant, acts. */
enum class Level
{
  Aggregator,
  Root
};

/** How many of the hosts that may be using their share are attached to a root.
 */
enum class Standing
{
  /** No root has answered yet. */
  Unknown,
  /** All attached hosts have started too recently to know. */
  Fresh,
  Partial,
  Whole
};

/** Hosts for which the sender of a report speaks. */
struct HostTotals
{
  std::uint32_t mAttached = 0;
  /** Those of the attached hosts that contribute a share. */
  std::uint32_t mCounted = 0;
  /** Hosts among which quotas are divided; 0 if the sender doesn't know. */
  std::uint32_t mSharers = 0;
  /** As mSharers, without hosts that are only assumed. */
  std::uint32_t mKnown = 0;
};

/** Tokens wanted for a customer. */
struct Demand
{
  CustomerHash mCustomer;
  /** For requests that wait. */
  std::uint32_t mWaiting = 0;
  /** For requests that are expected. */
  std::uint32_t mAhead = 0;
  /** Sent while the receiver may not have the quota yet. */
  std::optional<Quota> mQuota;
};

/** Message from a leaf to its aggregator, or from an aggregator to the root. */
struct Report
{
  Level mLevel = Level::Aggregator;
  Stamp mStamp;
  /** The receiver's last stamp. */
  Stamp mEcho;
  HostTotals mHosts;
  std::vector<Demand> mDemands;
};

/** Answer to a demand. A demand without one is still being processed. */
struct Allotment
{
  CustomerHash mCustomer;
  std::uint32_t mTokens = 0;
  /** Validity of the tokens, from the stamp that the grant echoes. */
  base::Duration mLifetime{};
  /** If positive: there are no more tokens for this time. */
  base::Duration mRetryAfter{};
};

/** Answer to a report. */
struct Grant
{
  Level mLevel = Level::Aggregator;
  Stamp mStamp;
  /** The stamp of the report that is answered. */
  Stamp mEcho;
  Standing mStanding = Standing::Unknown;
  std::vector<Allotment> mAllotments;
};

/** Limits of a message. Senders don't exceed them. */
constexpr std::size_t kMaxDemands = 384;
constexpr std::uint32_t kMaxHosts = 65536;
constexpr std::uint32_t kMaxTokens = 1U << 20U;

} // namespace auburnmux::quotas
