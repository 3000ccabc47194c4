#include "routing/src/SplitSelector.h"

#include <cassert>

namespace auburnmux::routing {

const base::ServiceId& SplitSelector::Next(const Route& aRoute)
{
  assert(!aRoute.mParts.empty());
  if (aRoute.mParts.size() == 1) {
    return aRoute.mParts.front().mService;
  }
  Credits& credits = mCredits[aRoute.mId];
  std::int64_t total = 0;
  const SplitPart* best = &aRoute.mParts.front();
  for (const SplitPart& it : aRoute.mParts) {
    total += it.mWeight.Count();
    credits[it.mService] += it.mWeight.Count();
    if (credits[it.mService] > credits[best->mService]) {
      best = &it;
    }
  }
  credits[best->mService] -= total;
  return best->mService;
}

} // namespace auburnmux::routing
