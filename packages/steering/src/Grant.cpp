#include "steering/src/Grant.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace auburnmux::steering {

base::SlotCount PortionOfCap(base::SlotCount aCap, std::uint32_t aHosts,
                             std::uint32_t aIndex)
{
  assert(aHosts > 0 && aIndex < aHosts);
  const std::uint32_t remainder = aCap.Count() % aHosts;
  return base::SlotCount((aCap.Count() / aHosts) +
                         (aIndex < remainder ? 1 : 0));
}

base::SlotCount LinkConcurrencyLimit(const LinkBudget& aBudget)
{
  constexpr std::uint32_t kUnlimited =
    std::numeric_limits<std::uint32_t>::max();
  if (aBudget.mBytesPerRequest.Count() == 0 ||
      aBudget.mTimePerRequest.count() <= 0) {
    return base::SlotCount(kUnlimited);
  }
  const double requestsPerSecond =
    static_cast<double>(aBudget.mBytesPerSecond.Count()) /
    static_cast<double>(aBudget.mBytesPerRequest.Count());
  const std::chrono::duration<double> time = aBudget.mTimePerRequest;
  const double slots = requestsPerSecond * time.count();
  return base::SlotCount(static_cast<std::uint32_t>(
    std::min(slots, static_cast<double>(kUnlimited))));
}

} // namespace auburnmux::steering
