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
 * \returns the run that ends at the highest number, or nothing if \a aNumbers
 * is empty. This run is the chain. A segment below a gap isn't part of it: it
 * was created by a delayed write after the segment of that number was deleted.
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
