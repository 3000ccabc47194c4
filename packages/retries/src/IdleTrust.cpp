#include "retries/src/IdleTrust.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

/** Time beyond the round trip in which a reset still answers the first bytes:
 * the loops of both ends take turns of some milliseconds. */
constexpr base::Duration kTurns = std::chrono::milliseconds(25);

} // namespace

IdleTrust::IdleTrust(const IdleTrustSettings& aSettings)
  : mSettings(aSettings)
  , mLimit(aSettings.mMost)
{
}

base::Duration IdleTrust::MaxIdle(base::TimePoint aNow) const
{
  base::Duration limit = mLimit;
  for (base::TimePoint it = mLostAt + mSettings.mPatience;
       it <= aNow && limit < mSettings.mMost; it += mSettings.mPatience) {
    limit *= 2;
  }
  return std::min(limit, mSettings.mMost);
}

void IdleTrust::OnReset(base::TimePoint aNow, base::Duration aIdle,
                        base::Duration aAfter, base::Duration aRoundTrip)
{
  if (aIdle < mSettings.mLeast || aAfter > aRoundTrip + kTurns) {
    return;
  }
  mLimit = std::max(std::min(MaxIdle(aNow), aIdle) / 2, mSettings.mLeast);
  mLostAt = aNow;
}

} // namespace auburnmux::retries
