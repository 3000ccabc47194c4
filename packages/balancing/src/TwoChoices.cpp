#include "balancing/src/TwoChoices.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::balancing::internal {

namespace {

/** The second upstream is picked only if its cost is below this fraction of the
 * first one's. Otherwise a host with few requests would send all of them to the
 * upstream with the lowest cost, however small the difference. */
constexpr double kClearlyCheaper = 0.9;

} // namespace

const UpstreamState* PickCheaperOfTwo(
  base::Random& aRandom, const std::vector<const UpstreamState*>& aEligible,
  const CostModel& aModel)
{
  assert(!aEligible.empty());
  const std::size_t first = aRandom.Below(aEligible.size());
  const UpstreamState* best = aEligible[first];
  if (aEligible.size() > 1) {
    const std::size_t step = 1 + aRandom.Below(aEligible.size() - 1);
    const UpstreamState* other = aEligible[(first + step) % aEligible.size()];
    const double bound = kClearlyCheaper * aModel.Cost(*best);
    best = aModel.Cost(*other) < bound ? other : best;
  }
  // Both may be failing if the maximum number of upstreams is ejected already.
  if (best->HasTooManyFailures()) {
    return *std::min_element(aEligible.begin(), aEligible.end(),
                             [&](const auto* aLeft, const auto* aRight) {
                               return aModel.Cost(*aLeft) <
                                      aModel.Cost(*aRight);
                             });
  }
  return best;
}

} // namespace auburnmux::balancing::internal
