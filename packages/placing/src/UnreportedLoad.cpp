#include "placing/src/UnreportedLoad.h"

#include <algorithm>

namespace auburnmux::placing {

namespace {

/** Change of the ratio for one response. */
constexpr double kStep = 0.002;

/** Share of rejected requests at which the ratio stays constant. */
constexpr double kRejectedShare = 0.01;

} // namespace

void UnreportedLoad::OnAnswered()
{
  mRatio = std::max(0.0, mRatio - kStep);
}

void UnreportedLoad::OnFull()
{
  mRatio = std::min(1.0, mRatio + kStep / kRejectedShare);
}

} // namespace auburnmux::placing
