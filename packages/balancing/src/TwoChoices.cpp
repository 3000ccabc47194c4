#include "balancing/src/TwoChoices.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::balancing::internal {

const UpstreamState* PickCheaperOfTwo(
  base::Random& aRandom, const std::vector<const UpstreamState*>& aEligible,
  const CostModel& aModel)
{
  assert(!aEligible.empty());
  const auto cheaper = [&](const UpstreamState* aLeft,
                           const UpstreamState* aRight) {
    return aModel.Cost(*aLeft) < aModel.Cost(*aRight);
  };
  const std::size_t first = aRandom.Below(aEligible.size());
  const UpstreamState* best = aEligible[first];
  if (aEligible.size() > 1) {
    const std::size_t step = 1 + aRandom.Below(aEligible.size() - 1);
    const UpstreamState* other = aEligible[(first + step) % aEligible.size()];
    best = cheaper(other, best) ? other : best;
  }
  // Two failing upstreams may be drawn while ejection is at its bound.
  if (best->IsSuspect()) {
    return *std::min_element(aEligible.begin(), aEligible.end(), cheaper);
  }
  return best;
}

} // namespace auburnmux::balancing::internal
