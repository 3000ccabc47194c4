#pragma once

#include "base/Base.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnmux::customers {

/** Name of a customer. */
using CustomerId = base::StrongId<struct CustomerIdTag>;
/** Importance of a customer's requests; 0 is the highest. */
using Rank = base::Quantity<struct CustomerRankTag, std::uint32_t>;

/** Limit on a customer's requests over all hosts together. */
struct Quota
{
  /** Requests per second; 0 means no limit. */
  double mRate = 0;
  /** Requests that may exceed the rate at once. */
  double mBurst = 0;

  bool IsLimited() const { return mRate > 0; }
};

/** A party whose requests are identified by a key. */
struct Customer
{
  CustomerId mId;
  std::vector<std::string> mKeys;
  /** Takes precedence over the route's rank. */
  std::optional<Rank> mRank;
  Quota mQuota;
  /** Regions in which requests may be handled; empty allows all. */
  std::vector<base::RegionId> mAllowedRegions;

  /** \returns the customer's share of what others compete for as well. */
  double Weight() const { return mQuota.IsLimited() ? mQuota.mRate : 1; }
};

} // namespace auburnmux::customers
