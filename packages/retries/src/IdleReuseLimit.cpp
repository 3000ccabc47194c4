#include "retries/src/IdleReuseLimit.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

/** Time beyond the round trip within which a reset is still attributed to the
 * first bytes of the request: an iteration of the event loop takes some
 * milliseconds at either end. */
constexpr base::Duration kEventLoopDelay = std::chrono::milliseconds(25);

} // namespace

IdleReuseLimit::IdleReuseLimit(const IdleReuseLimitSettings& aSettings)
  : mSettings(aSettings)
  , mLimit(aSettings.mMaxLimit)
{
}

base::Duration IdleReuseLimit::MaxIdle(base::TimePoint aNow) const
{
  base::Duration limit = mLimit;
  for (base::TimePoint it = mLastResetAt + mSettings.mDoublingInterval;
       it <= aNow && limit < mSettings.mMaxLimit;
       it += mSettings.mDoublingInterval) {
    limit *= 2;
  }
  return std::min(limit, mSettings.mMaxLimit);
}

void IdleReuseLimit::OnReset(base::TimePoint aNow, base::Duration aIdle,
                             base::Duration aTimeToReset,
                             base::Duration aRoundTrip)
{
  if (aIdle < mSettings.mMinLimit ||
      aTimeToReset > aRoundTrip + kEventLoopDelay) {
    return;
  }
  mLimit = std::max(std::min(MaxIdle(aNow), aIdle) / 2, mSettings.mMinLimit);
  mLastResetAt = aNow;
}

} // namespace auburnmux::retries
