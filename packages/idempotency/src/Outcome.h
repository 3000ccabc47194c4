#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** HTTP status of an upstream's answer. */
using StatusCode = base::Quantity<struct StatusCodeTag, std::uint16_t>;

/** Longest body that is kept with an outcome. */
constexpr std::size_t kMaxOutcomeBody = 4096;
constexpr std::size_t kMaxContentType = 128;

/** The upstream's answer to a request that ran. */
struct Outcome
{
  StatusCode mStatus;
  std::string mBody;
  std::string mContentType;
  /** The request ran, but its body was too long to keep. */
  bool mIsBodyOmitted = false;

  friend bool operator==(const Outcome& aLeft, const Outcome& aRight)
  {
    return aLeft.mStatus == aRight.mStatus && aLeft.mBody == aRight.mBody &&
           aLeft.mContentType == aRight.mContentType &&
           aLeft.mIsBodyOmitted == aRight.mIsBodyOmitted;
  }
};

/** \returns \a aOutcome within the bounds: a body that is too long is left
 * out and marked so, as a truncated body could be taken for the whole. A
 * content type that is too long or not printable ASCII is left out. */
inline Outcome Bounded(Outcome aOutcome)
{
  if (aOutcome.mBody.size() > kMaxOutcomeBody) {
    aOutcome.mBody.clear();
    aOutcome.mBody.shrink_to_fit();
    aOutcome.mIsBodyOmitted = true;
  }
  const bool isPrintable =
    std::all_of(aOutcome.mContentType.begin(), aOutcome.mContentType.end(),
                [](char aIt) { return aIt >= ' ' && aIt <= '~'; });
  if (aOutcome.mContentType.size() > kMaxContentType || !isPrintable) {
    aOutcome.mContentType.clear();
  }
  return aOutcome;
}

} // namespace auburnmux::idempotency
