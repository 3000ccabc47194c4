#include "limits/src/StragglerBound.h"

#include <algorithm>

namespace auburnmux::limits {

using base::SlotCount;

SlotCount StragglerBound::Bound(SlotCount aShare)
{
  const std::uint32_t share = aShare.Count();
  return SlotCount(std::max(share / 2, std::min(share, 1U)));
}

StragglerDecision StragglerBound::Decide(
  base::TimePoint aNow, base::Duration aMedian, SlotCount aShare,
  const std::vector<RunningRequest>& aRunning)
{
  StragglerDecision decision;
  if (aMedian.count() <= 0) {
    return decision;
  }
  std::vector<RunningRequest> stragglers;
  for (const RunningRequest& it : aRunning) {
    if (aNow - it.mStart > kMedianMultiple * aMedian) {
      stragglers.push_back(it);
    }
  }
  std::sort(stragglers.begin(), stragglers.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mStart < aRight.mStart;
            });
  const std::size_t bound = Bound(aShare).Count();
  std::size_t remaining = stragglers.size();
  for (const RunningRequest& it : stragglers) {
    if (remaining > bound && it.mCancellable) {
      decision.mCancel.push_back(it.mAttempt);
      --remaining;
    }
  }
  decision.mRemaining = SlotCount(static_cast<std::uint32_t>(remaining));
  decision.mExceeded = remaining > bound;
  return decision;
}

} // namespace auburnmux::limits
