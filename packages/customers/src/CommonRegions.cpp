#include "customers/src/CommonRegions.h"

#include <algorithm>
#include <iterator>

namespace auburnmux::customers {

std::optional<std::vector<base::RegionId>> CommonRegions(
  const std::vector<base::RegionId>& aFirst,
  const std::vector<base::RegionId>& aSecond)
{
  if (aFirst.empty() || aSecond.empty()) {
    return aFirst.empty() ? aSecond : aFirst;
  }
  std::vector<base::RegionId> common;
  std::copy_if(aFirst.begin(), aFirst.end(), std::back_inserter(common),
               [&aSecond](const base::RegionId& aIt) {
                 return std::find(aSecond.begin(), aSecond.end(), aIt) !=
                        aSecond.end();
               });
  return common.empty() ? std::nullopt : std::optional(std::move(common));
}

} // namespace auburnmux::customers
