#include "entry/src/StopPlan.h"

namespace auburnmux::entry {

namespace {

/** Fraction of the grace period after which new requests are refused. */
constexpr double kRefuseAfterFraction = 0.45;

/** Time before the end of the grace period at which the remaining requests are
 * aborted, so that the process exits before it is killed. */
constexpr base::Duration kStopMargin = std::chrono::milliseconds(300);

} // namespace

bool StopPlan::RefusesRequests(base::Duration aElapsed) const
{
  return aElapsed >= std::chrono::duration_cast<base::Duration>(
                       mGrace * kRefuseAfterFraction);
}

base::Duration StopPlan::ExitAfter() const
{
  return mGrace - kStopMargin;
}

bool StopPlan::ShouldExit(base::Duration aElapsed, bool aIsWorkLeft) const
{
  return aElapsed >= ExitAfter() || (RefusesRequests(aElapsed) && !aIsWorkLeft);
}

} // namespace auburnmux::entry
