#include "entry/src/StopPlan.h"

namespace auburnmux::entry {

namespace {

/** Part of the grace after which no new requests are taken. */
constexpr double kQuietAfter = 0.45;

/** Time before the end of the grace at which what is left is cut, so that the
 * process ends by itself. */
constexpr base::Duration kStopMargin = std::chrono::milliseconds(300);

} // namespace

bool StopPlan::IsQuiet(base::Duration aElapsed) const
{
  return aElapsed >=
         std::chrono::duration_cast<base::Duration>(mGrace * kQuietAfter);
}

bool StopPlan::IsOver(base::Duration aElapsed, bool aIsWorkLeft) const
{
  return aElapsed >= mGrace - kStopMargin ||
         (IsQuiet(aElapsed) && !aIsWorkLeft);
}

} // namespace auburnmux::entry
