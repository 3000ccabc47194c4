#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** HTTP status code of an upstream's response. */
using StatusCode = base::Quantity<struct StatusCodeTag, std::uint16_t>;

/** Longest body that is stored with an outcome. */
constexpr std::size_t kMaxOutcomeBodyBytes = 4096;
constexpr std::size_t kMaxContentTypeBytes = 128;

/** The upstream's response to a request that ran. */
struct Outcome
{
  StatusCode mStatus;
  std::string mBody;
  std::string mContentType;
  /** The response had a body that was too long, or was removed to save memory.
   */
  bool mIsBodyOmitted = false;

  friend bool operator==(const Outcome& aLeft, const Outcome& aRight)
  {
    return aLeft.mStatus == aRight.mStatus && aLeft.mBody == aRight.mBody &&
           aLeft.mContentType == aRight.mContentType &&
           aLeft.mIsBodyOmitted == aRight.mIsBodyOmitted;
  }
};

/** \returns \a aOutcome within the size limits. A body that is too long is
 * omitted and marked as omitted, as a truncated body could be mistaken for the
 * complete one. A content type that is too long or not printable ASCII is
 * omitted. */
inline Outcome Bounded(Outcome aOutcome)
{
  if (aOutcome.mBody.size() > kMaxOutcomeBodyBytes) {
    aOutcome.mBody.clear();
    aOutcome.mBody.shrink_to_fit();
    aOutcome.mIsBodyOmitted = true;
  }
  const bool isPrintable =
    std::all_of(aOutcome.mContentType.begin(), aOutcome.mContentType.end(),
                [](char aIt) { return aIt >= ' ' && aIt <= '~'; });
  if (aOutcome.mContentType.size() > kMaxContentTypeBytes || !isPrintable) {
    aOutcome.mContentType.clear();
  }
  return aOutcome;
}

} // namespace auburnmux::idempotency
