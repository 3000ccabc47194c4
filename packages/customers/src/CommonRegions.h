#pragma once

#include "base/Base.h"

#include <optional>
#include <vector>

namespace auburnmux::customers {

/**
 * Combines two lists of allowed regions, of which an empty one allows all.
 * \returns the regions that both allow, or none if they have none in common
 */
std::optional<std::vector<base::RegionId>> CommonRegions(
  const std::vector<base::RegionId>& aFirst,
  const std::vector<base::RegionId>& aSecond);

} // namespace auburnmux::customers
