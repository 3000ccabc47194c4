#pragma once

#include "balancing/src/UpstreamState.h"

#include <vector>

namespace auburnmux::balancing::internal {

/** Cost of an upstream for a request of a given class at a given time. */
struct CostModel
{
  base::TimePoint mNow;
  base::WorkClass mClass = base::WorkClass::Short;
  base::Duration mTypicalLatency{};

  double Cost(const UpstreamState& aState) const
  {
    return aState.Cost(mNow, mClass, mTypicalLatency);
  }
};

/** \returns the cheaper of two different upstreams drawn at random.
 * \pre \a aEligible isn't empty. */
const UpstreamState* PickCheaperOfTwo(
  base::Random& aRandom, const std::vector<const UpstreamState*>& aEligible,
  const CostModel& aModel);

} // namespace auburnmux::balancing::internal
