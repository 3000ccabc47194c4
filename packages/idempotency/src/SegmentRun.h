#pragma once

#include <optional>
#include <set>
#include <vector>

#include "idempotency/src/PlatformCall.h"

namespace auburnmux::idempotency {

/** Segments with consecutive numbers. */
struct SegmentRun
{
  SegmentNumber mFirst;
  SegmentNumber mLast;
};

/**
 * \returns the run that ends at the highest number, which is the chain, or
 * nothing if \a aNumbers is empty. A segment below a gap was created by a write
 * delayed past the deletion of that number.
 */
inline std::optional<SegmentRun> LastRun(
  const std::vector<SegmentNumber>& aNumbers)
{
  if (aNumbers.empty()) {
    return std::nullopt;
  }
  constexpr SegmentNumber kOne(1);
  const std::set<SegmentNumber> numbers(aNumbers.begin(), aNumbers.end());
  SegmentRun run{ *numbers.rbegin(), *numbers.rbegin() };
  while (run.mFirst > SegmentNumber(0) &&
         numbers.count(run.mFirst - kOne) > 0) {
    run.mFirst -= kOne;
  }
  return run;
}

} // namespace auburnmux::idempotency
