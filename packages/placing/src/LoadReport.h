#pragma once

#include "base/Base.h"

namespace auburnmux::placing {

/** Load that an upstream reported in a response. */
struct LoadReport
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  base::SlotCount mSlots;
  /** Current work time on its machine relative to normal; 1 is normal. */
  double mSlowness = 1;
};

} // namespace auburnmux::placing
