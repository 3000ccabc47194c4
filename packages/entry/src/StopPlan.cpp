#include "entry/src/StopPlan.h"

namespace auburnmux::entry {

namespace {

/** Fraction of the grace period after which new requests are refused. */
constexpr double kRefuseAfterFraction = 0.45;

/** Time before the end of the grace period at which the remaining requests are
 * ended. */
constexpr base::Duration kEndRequestsMargin = std::chrono::milliseconds(300);

/** Fraction of the grace period that finished responses have to reach their
 * clients once those before them on their connection were ended. */
constexpr double kDeliveryFraction = 1.0 / 12;

/** Time before the end of the grace period at which the process exits, so that
 * it isn't killed. */
constexpr base::Duration kExitMargin = std::chrono::milliseconds(150);

} // namespace

bool StopPlan::RefusesRequests(base::Duration aElapsed) const
{
  return aElapsed >= std::chrono::duration_cast<base::Duration>(
                       mGrace * kRefuseAfterFraction);
}

base::Duration StopPlan::UnblockAfter() const
{
  return EndRequestsAfter() -
         std::chrono::duration_cast<base::Duration>(mGrace * kDeliveryFraction);
}

base::Duration StopPlan::EndRequestsAfter() const
{
  return mGrace - kEndRequestsMargin;
}

base::Duration StopPlan::ExitAfter() const
{
  return mGrace - kExitMargin;
}

bool StopPlan::ShouldExit(base::Duration aElapsed, bool aIsWorkLeft) const
{
  return aElapsed >= ExitAfter() || (RefusesRequests(aElapsed) && !aIsWorkLeft);
}

} // namespace auburnmux::entry
