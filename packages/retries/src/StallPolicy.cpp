#include "retries/src/StallPolicy.h"

#include <cassert>

namespace auburnmux::retries {

StallPolicy::StallPolicy(base::Duration aTimeout)
  : mTimeout(aTimeout)
{
  assert(aTimeout.count() > 0);
}

StallDecision StallPolicy::Decide(base::TimePoint aNow,
                                  const ConnectionActivity& aActivity) const
{
  if (!aActivity.mInFlight) {
    return KeepConnection{ aNow + mTimeout };
  }
  const base::TimePoint due = aActivity.mLastProgress + mTimeout;
  if (aNow < due) {
    return KeepConnection{ due };
  }
  const bool connectsFail =
    aActivity.mLastConnectFailure > aActivity.mLastConnect;
  return RetireConnection{ connectsFail };
}

} // namespace auburnmux::retries
